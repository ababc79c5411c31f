/** \file
 * Defines schema tables that describe the fields of a JSON text. Validation, readers and the test of docs/CONFIGURATION.md all use them.
 */
#pragma once

#include "JsonDocument.h"
#include "TextProblem.h"

#include <absl/types/span.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Figward {

/** Type of a field. */
enum class FieldType {
    Integer,
    Boolean,
    Text,
    Name, ///< 1 to 63 characters of A-Z a-z 0-9 . _ - that begin with a letter or digit.
    Choice, ///< One of the words in FieldInfo::choices_.
    Address, ///< "IP:port"; an IPv6 address is written in brackets.
    Object,
    Names, ///< Array of Name.
    Addresses, ///< Array of Address.
    Objects, ///< Array of Object.
};

struct ObjectInfo;

/** Schema of a field. The range applies to the value of an integer, the length of a text, or the number of items of an array. */
struct FieldInfo
{
    std::string_view name_;
    FieldType type_ = FieldType::Integer;
    std::string_view unit_; ///< Unit, such as "ms"; may be empty.
    bool required_ = false;
    std::string_view default_; ///< Default value as JSON; empty if the field is required or optional without a default.
    std::int64_t minimum_ = 0;
    std::int64_t maximum_ = 0;
    std::string_view meaning_; ///< Description for operators, one sentence.
    const ObjectInfo *object_ = nullptr; ///< Schema of the objects; for Object and Objects only.
    std::string_view choices_{}; ///< Allowed words, separated by spaces; for Choice only.
};

/** Schema of an object. */
struct ObjectInfo
{
    std::string_view title_; ///< Name for messages and documentation, such as "group".
    absl::Span<const FieldInfo> fields_;
};

/** Returns the name of \p type for messages and documentation, such as "integer". */
std::string_view toString(FieldType type);
/** Returns whether \p text is a valid name of a service, group, member, class or zone. */
bool isName(std::string_view text);
/** Returns whether \p text is an IP address and a port from 1 to 65535. */
bool isAddress(std::string_view text);

/** Validates \p node and its descendants against \p info: unknown and missing fields, types, ranges, names and addresses. */
void checkObject(const JsonNode &node, const ObjectInfo &info, const std::string &pointer, TextProblems &problems);

/** Returns the integer field \p name of \p node, or its default. The node must have passed checkObject(). */
std::int64_t integerField(const JsonNode &node, const ObjectInfo &info, std::string_view name);
/** Returns the boolean field \p name of \p node, or its default. The node must have passed checkObject(). */
bool booleanField(const JsonNode &node, const ObjectInfo &info, std::string_view name);
/** Returns the text, name or address field \p name of \p node, or its default. */
std::string textField(const JsonNode &node, const ObjectInfo &info, std::string_view name);
/** Returns the items of the array field \p name of \p node; empty if the field is absent or not an array. */
absl::Span<const JsonNode> itemsField(const JsonNode &node, std::string_view name);
/** Returns the schema of the field \p name, which must exist. */
const FieldInfo &fieldInfo(const ObjectInfo &info, std::string_view name);

} // namespace Figward
