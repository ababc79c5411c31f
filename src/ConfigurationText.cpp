#include "ConfigurationText.h"

#include "ConfigurationFields.h"
#include "ConfigurationRules.h"
#include "FieldTable.h"
#include "JsonDocument.h"

#include <absl/strings/match.h>
#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace Figward {

namespace {

constexpr std::string_view policyPart = "policy";
constexpr std::string_view servicePartPrefix = "service/";

MemberConfig readMember(const JsonNode &node)
{
    return {
        .id_ = MemberId(textField(node, memberObject, "name")),
        .zone_ = ZoneId(textField(node, memberObject, "zone")),
        .address_ = textField(node, memberObject, "address"),
        .leaving_ = booleanField(node, memberObject, "leaving"),
    };
}

GroupConfig readGroup(const JsonNode &node, const ServiceId &service)
{
    GroupConfig group;
    group.id_ = GroupId(textField(node, groupObject, "name"));
    group.service_ = service;
    group.connectionLimit_ = ConnectionCount(static_cast<std::uint32_t>(integerField(node, groupObject, "connection_limit")));
    group.slots_ = SlotCount(static_cast<std::uint32_t>(integerField(node, groupObject, "slots")));
    for (const JsonNode &member : itemsField(node, "members")) {
        group.members_.push_back(readMember(member));
    }
    return group;
}

std::vector<WorkClass> readClasses(const JsonNode &service)
{
    std::vector<WorkClass> classes;
    for (const JsonNode &node : itemsField(service, "classes")) {
        classes.push_back({ClassId(textField(node, classObject, "name")), static_cast<unsigned>(integerField(node, classObject, "priority"))});
    }
    if (classes.empty()) {
        classes.push_back({ClassId("default"), 0});
    }
    std::ranges::stable_sort(classes, {}, &WorkClass::priority_);
    return classes;
}

void readService(const JsonNode &node, Configuration &configuration)
{
    ServiceConfig service;
    service.id_ = ServiceId(textField(node, serviceObject, "name"));
    service.classes_ = readClasses(node);
    for (const JsonNode &target : itemsField(node, "depends_on")) {
        service.dependsOn_.emplace_back(target.text_);
    }
    for (const JsonNode &groupNode : itemsField(node, "groups")) {
        GroupConfig group = readGroup(groupNode, service.id_);
        service.groups_.push_back(group.id_);
        configuration.groups_.emplace(group.id_, std::move(group));
    }
    configuration.services_.emplace(service.id_, std::move(service));
}

Configuration readConfiguration(const JsonNode &root)
{
    Configuration configuration;
    const JsonNode *policy = findMember(root, "policy");
    configuration.policy_ = readPolicy(policy != nullptr ? *policy : JsonNode{.kind_ = JsonKind::Object});
    for (const JsonNode &service : itemsField(root, "services")) {
        readService(service, configuration);
    }
    return configuration;
}

std::optional<JsonNode> parseAndCheck(std::string_view text, TextProblems &problems)
{
    std::optional<JsonNode> root = parseJsonDocument(text, problems);
    if (root) {
        checkObject(*root, configurationObject, "", problems);
        checkConfigurationRules(*root, problems);
    }
    return root;
}

boost::json::value toJson(const JsonNode &node)
{
    switch (node.kind_) {
    case JsonKind::Null:
        return nullptr;
    case JsonKind::Boolean:
        return node.boolean_;
    case JsonKind::Integer:
        return node.integer_;
    case JsonKind::Number:
        return node.number_;
    case JsonKind::Text:
        return boost::json::value(node.text_);
    case JsonKind::Array: {
        boost::json::array items;
        for (const JsonNode &item : node.items_) {
            items.push_back(toJson(item));
        }
        return items;
    }
    case JsonKind::Object: {
        boost::json::object members;
        for (const JsonMember &member : node.members_) {
            members.emplace(member.key_, toJson(member.value_));
        }
        return members;
    }
    }
    return nullptr;
}

std::string canonicalText(const JsonNode &node)
{
    return boost::json::serialize(toJson(node));
}

} // namespace

CheckedConfiguration checkConfiguration(std::string_view text)
{
    TextProblems problems(text);
    const std::optional<JsonNode> root = parseAndCheck(text, problems);
    CheckedConfiguration result{.configuration_ = std::nullopt, .problems_ = problems.take()};
    if (result.problems_.empty()) {
        result.configuration_ = readConfiguration(*root);
    }
    return result;
}

std::vector<ConfigurationPart> splitConfiguration(std::string_view text)
{
    TextProblems problems(text);
    const std::optional<JsonNode> root = parseJsonDocument(text, problems);
    std::vector<ConfigurationPart> parts;
    if (!root) {
        return parts;
    }
    const JsonNode *policy = findMember(*root, "policy");
    parts.push_back({std::string(policyPart), policy != nullptr ? canonicalText(*policy) : "{}"});
    for (const JsonNode &service : itemsField(*root, "services")) {
        parts.push_back({std::string(servicePartPrefix) + textField(service, serviceObject, "name"), canonicalText(service)});
    }
    std::ranges::sort(parts, {}, &ConfigurationPart::name_);
    return parts;
}

std::string joinConfiguration(absl::Span<const ConfigurationPart> parts)
{
    std::string policy = "{}";
    std::string services;
    for (const ConfigurationPart &part : parts) {
        if (part.name_ == policyPart) {
            policy = part.text_;
        } else if (absl::StartsWith(part.name_, absl::string_view(servicePartPrefix.data(), servicePartPrefix.size()))) {
            services += (services.empty() ? "" : ",") + part.text_;
        }
    }
    return "{\"policy\":" + policy + ",\"services\":[" + services + "]}";
}

} // namespace Figward
