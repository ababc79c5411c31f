#include "StatusReport.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace Figward {

namespace {

std::string stringOf(const json::value &value)
{
    const json::string &text = value.as_string();
    return {text.data(), text.size()};
}

std::uint64_t numberOf(const json::value &value)
{
    return value.to_number<std::uint64_t>();
}

template<typename T, typename Encode>
json::array arrayOf(const std::vector<T> &items, Encode encode)
{
    json::array array;
    for (const T &item : items) {
        array.push_back(encode(item));
    }
    return array;
}

template<typename T, typename Decode>
std::vector<T> vectorOf(const json::value &array, Decode decode)
{
    std::vector<T> items;
    for (const json::value &item : array.as_array()) {
        items.push_back(decode(item));
    }
    return items;
}

json::value encodeMember(const MemberReport &member)
{
    return json::object{{"name", member.id_.value()}, {"reachable", member.reachable_}, {"leaving", member.leaving_}, {"behind", member.behind_}};
}

MemberReport decodeMember(const json::value &value)
{
    return {MemberId(stringOf(value.at("name"))), value.at("reachable").as_bool(), value.at("leaving").as_bool(), numberOf(value.at("behind"))};
}

json::value encodeGroup(const GroupReport &group)
{
    json::object object{{"name", group.id_.value()},
                        {"service", group.service_.value()},
                        {"term", group.term_.value()},
                        {"primary_since", group.primarySince_},
                        {"failovers", group.failovers_},
                        {"last_gap_ms", group.lastGapMillis_},
                        {"queued", group.queued_},
                        {"connections_quarters", group.connections_},
                        {"members", arrayOf(group.members_, encodeMember)}};
    if (group.primary_) {
        object["primary"] = group.primary_->value();
    }
    return object;
}

GroupReport decodeGroup(const json::value &value)
{
    GroupReport group;
    group.id_ = GroupId(stringOf(value.at("name")));
    group.service_ = ServiceId(stringOf(value.at("service")));
    group.term_ = Term(numberOf(value.at("term")));
    if (const json::value *primary = value.as_object().if_contains("primary")) {
        group.primary_ = MemberId(stringOf(*primary));
    }
    group.primarySince_ = numberOf(value.at("primary_since"));
    group.failovers_ = numberOf(value.at("failovers"));
    group.lastGapMillis_ = numberOf(value.at("last_gap_ms"));
    group.queued_ = static_cast<unsigned>(numberOf(value.at("queued")));
    group.connections_ = static_cast<unsigned>(numberOf(value.at("connections_quarters")));
    group.members_ = vectorOf<MemberReport>(value.at("members"), decodeMember);
    return group;
}

json::value encodeVm(const VmReport &vm)
{
    return json::object{{"id", vm.id_.value()},
                        {"zone", vm.zone_.value()},
                        {"address", vm.address_},
                        {"version", vm.version_.value()},
                        {"refused_version", vm.refusedVersion_.value()},
                        {"refusal", vm.refusal_},
                        {"draining", vm.draining_},
                        {"platform_away", vm.platformAway_},
                        {"groups", arrayOf(vm.groups_, encodeGroup)}};
}

VmReport decodeVm(const json::value &value)
{
    VmReport vm;
    vm.id_ = VmId(numberOf(value.at("id")));
    vm.zone_ = ZoneId(stringOf(value.at("zone")));
    vm.address_ = stringOf(value.at("address"));
    vm.version_ = ConfigVersion(numberOf(value.at("version")));
    vm.refusedVersion_ = ConfigVersion(numberOf(value.at("refused_version")));
    vm.refusal_ = stringOf(value.at("refusal"));
    vm.draining_ = value.at("draining").as_bool();
    vm.platformAway_ = value.at("platform_away").as_bool();
    vm.groups_ = vectorOf<GroupReport>(value.at("groups"), decodeGroup);
    return vm;
}

json::value encodeName(const ServiceId &service)
{
    return json::value_from(service.value());
}

ServiceId decodeName(const json::value &value)
{
    return ServiceId(stringOf(value));
}

json::value encodeDependency(const ServiceDependency &dependency)
{
    return json::object{{"service", dependency.id_.value()}, {"depends_on", arrayOf(dependency.dependsOn_, encodeName)}};
}

ServiceDependency decodeDependency(const json::value &value)
{
    return {ServiceId(stringOf(value.at("service"))), vectorOf<ServiceId>(value.at("depends_on"), decodeName)};
}

} // namespace

std::string statusPath(const ZoneId &zone)
{
    return "figward/status/" + zone.value();
}

std::string encodeVmReport(const VmReport &report)
{
    return json::serialize(encodeVm(report));
}

std::string encodeZoneReport(const ZoneReport &report)
{
    return json::serialize(json::object{{"zone", report.zone_.value()},
                                        {"written_at", report.writtenAt_},
                                        {"vms", arrayOf(report.vms_, encodeVm)},
                                        {"dependencies", arrayOf(report.dependencies_, encodeDependency)}});
}

absl::StatusOr<VmReport> decodeVmReport(std::string_view text)
{
    try {
        return decodeVm(json::parse({text.data(), text.size()}));
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

absl::StatusOr<ZoneReport> decodeZoneReport(std::string_view text)
{
    try {
        const json::value value = json::parse({text.data(), text.size()});
        ZoneReport report;
        report.zone_ = ZoneId(stringOf(value.at("zone")));
        report.writtenAt_ = numberOf(value.at("written_at"));
        report.vms_ = vectorOf<VmReport>(value.at("vms"), decodeVm);
        report.dependencies_ = vectorOf<ServiceDependency>(value.at("dependencies"), decodeDependency);
        return report;
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace Figward
