/** \file
 * Defines a tree of JSON values that record their offsets in the text, and its parser for JSON with comments, based on Boost.JSON.
 */
#pragma once

#include "TextProblem.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Figward {

/** Type of a JSON value. Only numbers without fraction and exponent that fit into a signed 64-bit integer are integers. */
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

/** A JSON value with its offset in the text. */
struct JsonNode
{
    JsonKind kind_ = JsonKind::Null;
    std::size_t offset_ = 0; ///< Offset of the first byte of the value in the text.
    bool boolean_ = false;
    std::int64_t integer_ = 0;
    double number_ = 0;
    std::string text_;
    std::vector<JsonNode> items_; ///< Elements, if the value is an array.
    std::vector<JsonMember> members_; ///< Members, if the value is an object, in the order of the text.
};

/** A key of an object with its value. */
struct JsonMember
{
    std::string key_;
    std::size_t keyOffset_ = 0;
    JsonNode value_;
};

/** Maximum size of a text, in bytes. It is far above the size of any configuration and bounds the work that a wrong file can cause. */
inline constexpr std::size_t maxTextBytes = 8U << 20U;

/**
 * Parses \p text. Syntax errors, duplicate keys and an excessive size of the text are added to \p problems.
 * Returns nullopt on a syntax error, so that a single error is not followed by a list of errors that only result from it.
 */
std::optional<JsonNode> parseJsonDocument(std::string_view text, TextProblems &problems);

/** Returns the value of \p key in \p object, or null. */
const JsonNode *findMember(const JsonNode &object, std::string_view key);

} // namespace Figward
