#include "FieldTable.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <arpa/inet.h>
#include <cassert>

namespace Figward {

namespace {

constexpr std::size_t maxNameLength = 63;
constexpr unsigned maxPort = 65535;

absl::string_view asAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view toString(JsonKind kind)
{
    switch (kind) {
    case JsonKind::Null:
        return "null";
    case JsonKind::Boolean:
        return "a boolean";
    case JsonKind::Integer:
        return "an integer";
    case JsonKind::Number:
        return "a number that is not a signed 64-bit integer";
    case JsonKind::Text:
        return "a string";
    case JsonKind::Array:
        return "an array";
    case JsonKind::Object:
        return "an object";
    }
    return "?";
}

JsonKind expectedKind(FieldType type)
{
    switch (type) {
    case FieldType::Integer:
        return JsonKind::Integer;
    case FieldType::Boolean:
        return JsonKind::Boolean;
    case FieldType::Text:
    case FieldType::Name:
    case FieldType::Choice:
    case FieldType::Address:
        return JsonKind::Text;
    case FieldType::Object:
        return JsonKind::Object;
    case FieldType::Names:
    case FieldType::Addresses:
    case FieldType::Objects:
        return JsonKind::Array;
    }
    return JsonKind::Null;
}

bool checkKind(const JsonNode &node, JsonKind expected, const std::string &pointer, TextProblems &problems)
{
    if (node.kind_ == expected) {
        return true;
    }
    problems.add(
        TextProblemKind::WrongType, node.offset_, pointer, absl::StrCat("expected ", asAbsl(toString(expected)), ", found ", asAbsl(toString(node.kind_))));
    return false;
}

void checkRange(std::int64_t value, std::string_view what, const JsonNode &node, const FieldInfo &field, const std::string &pointer, TextProblems &problems)
{
    if (value < field.minimum_ || value > field.maximum_) {
        problems.add(
            TextProblemKind::OutOfRange, node.offset_, pointer, absl::StrCat(asAbsl(what), " ", value, " is outside ", field.minimum_, " to ", field.maximum_));
    }
}

void checkName(const JsonNode &node, const std::string &pointer, TextProblems &problems)
{
    if (checkKind(node, JsonKind::Text, pointer, problems) && !isName(node.text_)) {
        problems.add(TextProblemKind::InvalidValue,
                     node.offset_,
                     pointer,
                     "a name consists of 1 to 63 characters of A-Z a-z 0-9 . _ - and begins with a letter or digit");
    }
}

void checkChoice(const JsonNode &node, const FieldInfo &field, const std::string &pointer, TextProblems &problems)
{
    const std::vector<absl::string_view> choices = absl::StrSplit(asAbsl(field.choices_), ' ');
    if (std::ranges::find(choices, node.text_) == choices.end()) {
        problems.add(TextProblemKind::InvalidValue, node.offset_, pointer, absl::StrCat("expected one of: ", asAbsl(field.choices_)));
    }
}

void checkAddress(const JsonNode &node, const std::string &pointer, TextProblems &problems)
{
    if (checkKind(node, JsonKind::Text, pointer, problems) && !isAddress(node.text_)) {
        problems.add(
            TextProblemKind::InvalidValue, node.offset_, pointer, "an address consists of an IP address and a port, such as 10.0.1.5:5432 or [fd00::5]:5432");
    }
}

void checkItem(const JsonNode &node, const FieldInfo &field, const std::string &pointer, TextProblems &problems)
{
    if (field.type_ == FieldType::Names) {
        checkName(node, pointer, problems);
    } else if (field.type_ == FieldType::Addresses) {
        checkAddress(node, pointer, problems);
    } else {
        checkObject(node, *field.object_, pointer, problems);
    }
}

void checkValue(const JsonNode &node, const FieldInfo &field, const std::string &pointer, TextProblems &problems)
{
    if (!checkKind(node, expectedKind(field.type_), pointer, problems)) {
        return;
    }
    switch (field.type_) {
    case FieldType::Integer:
        checkRange(node.integer_, "the value", node, field, pointer, problems);
        break;
    case FieldType::Boolean:
        break;
    case FieldType::Text:
        checkRange(static_cast<std::int64_t>(node.text_.size()), "the length", node, field, pointer, problems);
        break;
    case FieldType::Name:
        checkName(node, pointer, problems);
        break;
    case FieldType::Choice:
        checkChoice(node, field, pointer, problems);
        break;
    case FieldType::Address:
        checkAddress(node, pointer, problems);
        break;
    case FieldType::Object:
        checkObject(node, *field.object_, pointer, problems);
        break;
    case FieldType::Names:
    case FieldType::Addresses:
    case FieldType::Objects:
        checkRange(static_cast<std::int64_t>(node.items_.size()), "the number of items", node, field, pointer, problems);
        for (std::size_t i = 0; i < node.items_.size(); ++i) {
            checkItem(node.items_[i], field, childPointer(pointer, i), problems);
        }
        break;
    }
}

std::string fieldNames(const ObjectInfo &info)
{
    std::string names;
    for (const FieldInfo &field : info.fields_) {
        absl::StrAppend(&names, names.empty() ? "" : ", ", asAbsl(field.name_));
    }
    return names;
}

} // namespace

std::string_view toString(FieldType type)
{
    switch (type) {
    case FieldType::Integer:
        return "integer";
    case FieldType::Boolean:
        return "boolean";
    case FieldType::Text:
        return "string";
    case FieldType::Name:
        return "name";
    case FieldType::Choice:
        return "choice";
    case FieldType::Address:
        return "address";
    case FieldType::Object:
        return "object";
    case FieldType::Names:
        return "array of names";
    case FieldType::Addresses:
        return "array of addresses";
    case FieldType::Objects:
        return "array of objects";
    }
    return "?";
}

bool isName(std::string_view text)
{
    const auto allowed = [](unsigned char c) { return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-'; };
    if (text.empty() || text.size() > maxNameLength || !absl::ascii_isalnum(static_cast<unsigned char>(text.front()))) {
        return false;
    }
    return std::ranges::all_of(text, allowed);
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || text.find('\0') != std::string_view::npos) {
        return false;
    }
    const std::string_view port = text.substr(colon + 1);
    unsigned number = 0;
    const bool digits = !port.empty() && std::ranges::all_of(port, [](unsigned char c) { return absl::ascii_isdigit(c); });
    if (!digits || !absl::SimpleAtoi(asAbsl(port), &number) || number == 0 || number > maxPort) {
        return false;
    }
    const std::string host(text.substr(0, colon));
    in6_addr parsed{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &parsed) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

void checkObject(const JsonNode &node, const ObjectInfo &info, const std::string &pointer, TextProblems &problems)
{
    if (!checkKind(node, JsonKind::Object, pointer, problems)) {
        return;
    }
    for (const JsonMember &member : node.members_) {
        const std::string memberPointer = childPointer(pointer, member.key_);
        const auto *field = std::ranges::find(info.fields_, std::string_view(member.key_), &FieldInfo::name_);
        if (field == info.fields_.end()) {
            problems.add(TextProblemKind::UnknownField,
                         member.keyOffset_,
                         memberPointer,
                         absl::StrCat("a ", asAbsl(info.title_), " has no such field; its fields are ", fieldNames(info)));
        } else {
            checkValue(member.value_, *field, memberPointer, problems);
        }
    }
    for (const FieldInfo &field : info.fields_) {
        if (field.required_ && findMember(node, field.name_) == nullptr) {
            problems.add(TextProblemKind::MissingField,
                         node.offset_,
                         childPointer(pointer, field.name_),
                         absl::StrCat("this ", asAbsl(info.title_), " does not have the required field ", asAbsl(field.name_)));
        }
    }
}

const FieldInfo &fieldInfo(const ObjectInfo &info, std::string_view name)
{
    const auto *field = std::ranges::find(info.fields_, name, &FieldInfo::name_);
    assert(field != info.fields_.end());
    return *field;
}

std::int64_t integerField(const JsonNode &node, const ObjectInfo &info, std::string_view name)
{
    if (const JsonNode *value = findMember(node, name)) {
        return value->integer_;
    }
    std::int64_t defaultValue = 0;
    const bool isInteger = absl::SimpleAtoi(asAbsl(fieldInfo(info, name).default_), &defaultValue);
    assert(isInteger);
    static_cast<void>(isInteger);
    return defaultValue;
}

bool booleanField(const JsonNode &node, const ObjectInfo &info, std::string_view name)
{
    const JsonNode *value = findMember(node, name);
    return value != nullptr ? value->boolean_ : fieldInfo(info, name).default_ == "true";
}

std::string textField(const JsonNode &node, const ObjectInfo &info, std::string_view name)
{
    if (const JsonNode *value = findMember(node, name)) {
        return value->text_;
    }
    const std::string_view defaultValue = fieldInfo(info, name).default_;
    return defaultValue.size() < 2 ? std::string() : std::string(defaultValue.substr(1, defaultValue.size() - 2));
}

absl::Span<const JsonNode> itemsField(const JsonNode &node, std::string_view name)
{
    const JsonNode *value = findMember(node, name);
    return value == nullptr ? absl::Span<const JsonNode>() : absl::MakeConstSpan(value->items_);
}

} // namespace Figward
