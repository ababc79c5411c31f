/** \file
 * Defines the tables that describe each field of a text: the checker, the readers and the test of docs/CONFIGURATION.md all use them.
 */
#pragma once

#include "JsonDocument.h"
#include "TextProblem.h"

#include <absl/types/span.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Figward {

/** What a field holds. */
enum class FieldType {
    Integer,
    Boolean,
    Text,
    Name, ///< 1 to 63 of A-Z a-z 0-9 . _ - and no leading mark.
    Choice, ///< One of the words in choices_.
    Address, ///< "IP:port"; an IPv6 number stands in brackets.
    Object,
    Names, ///< Array of Name.
    Addresses, ///< Array of Address.
    Objects, ///< Array of Object.
};

struct ObjectInfo;

/** One field of an object. The range bounds an integer, the length of a text, or the number of items of an array. */
struct FieldInfo
{
    std::string_view name_;
    FieldType type_ = FieldType::Integer;
    std::string_view unit_; ///< "ms" and the like; empty if there is none.
    bool required_ = false;
    std::string_view default_; ///< As JSON; empty if the field is required or simply absent.
    std::int64_t minimum_ = 0;
    std::int64_t maximum_ = 0;
    std::string_view meaning_; ///< One sentence for operators.
    const ObjectInfo *object_ = nullptr; ///< Of Object and Objects.
    std::string_view choices_{}; ///< Of Choice, separated by spaces.
};

/** One kind of object. */
struct ObjectInfo
{
    std::string_view title_; ///< Such as "group", for messages and documents.
    absl::Span<const FieldInfo> fields_;
};

/** Name of \p type as it stands in messages and documents, such as "integer". */
std::string_view toString(FieldType type);
/** Whether \p text may name a service, group, member, class or zone. */
bool isName(std::string_view text);
/** Whether \p text is an IP number and a port from 1 to 65535. */
bool isAddress(std::string_view text);

/** Checks \p node and all below it against \p info: unknown and missing fields, types, ranges, names and addresses. */
void checkObject(const JsonNode &node, const ObjectInfo &info, const std::string &pointer, TextProblems &problems);

/** The integer \p name of \p node, or its default. The node has passed checkObject(). */
std::int64_t integerField(const JsonNode &node, const ObjectInfo &info, std::string_view name);
/** The flag \p name of \p node, or its default. The node has passed checkObject(). */
bool booleanField(const JsonNode &node, const ObjectInfo &info, std::string_view name);
/** The text, name or address \p name of \p node, or its default. */
std::string textField(const JsonNode &node, const ObjectInfo &info, std::string_view name);
/** The items of the array \p name of \p node; none if it is absent or no array. */
absl::Span<const JsonNode> itemsField(const JsonNode &node, std::string_view name);
/** The row of \p name; it must exist. */
const FieldInfo &fieldInfo(const ObjectInfo &info, std::string_view name);

} // namespace Figward
