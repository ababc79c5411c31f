/** \file
 * Defines a tree of JSON values that know where in the text they stand, read by Boost.JSON from JSON with comments.
 */
#pragma once

#include "TextProblem.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Figward {

/** Type of a JSON value. Only numbers without fraction and exponent that fit 64 bits are integers. */
enum class JsonKind {
    Null,
    Boolean,
    Integer,
    Number,
    Text,
    Array,
    Object,
};

struct JsonMember;

/** A JSON value with its place. */
struct JsonNode
{
    JsonKind kind_ = JsonKind::Null;
    std::size_t offset_ = 0; ///< Of its first byte in the text.
    bool boolean_ = false;
    std::int64_t integer_ = 0;
    double number_ = 0;
    std::string text_;
    std::vector<JsonNode> items_; ///< Of an array.
    std::vector<JsonMember> members_; ///< Of an object, in the order of the text.
};

/** One key of an object with its value. */
struct JsonMember
{
    std::string key_;
    std::size_t keyOffset_ = 0;
    JsonNode value_;
};

/** Longest text that is read, in bytes. Far above any configuration; it bounds the work that a wrong file can cause. */
inline constexpr std::size_t maxTextBytes = 8U << 20U;

/**
 * Reads \p text. Syntax errors, doubled keys and texts that are too long are added to \p problems.
 * Nothing is returned if the syntax is wrong, so that one slip is not followed by a list of its consequences.
 */
std::optional<JsonNode> parseJsonDocument(std::string_view text, TextProblems &problems);

/** The value of \p key in \p object, or null. */
const JsonNode *findMember(const JsonNode &object, std::string_view key);

} // namespace Figward
