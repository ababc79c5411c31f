#include "StatusReport.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <set>

namespace Figward {

namespace {

constexpr std::uint64_t maxReportAge = 900; // Seconds. A zone whose state does not change still writes its report every five minutes.
constexpr std::uint64_t minute = 60;
constexpr std::uint64_t hour = 60 * minute;

std::string describeAge(std::uint64_t seconds)
{
    if (seconds < 2 * minute) {
        return absl::StrCat(seconds, " s");
    }
    return seconds < 2 * hour ? absl::StrCat(seconds / minute, " min") : absl::StrCat(seconds / hour, " h");
}

/** Returns the time since \p since in the form " for 12 s", or an empty string if the start is not known. */
std::string describeDuration(std::uint64_t since, std::uint64_t now)
{
    const bool known = since != 0 && since <= now;
    return known ? " for " + describeAge(now - since) : "";
}

/** Collects the problems in the reports as texts. */
class ProblemCollector
{
public:
    ProblemCollector(absl::Span<const ZoneReport> zones, std::uint64_t now)
        : zones_(zones)
        , now_(now)
    {
    }

    std::vector<std::string> collect()
    {
        for (const ZoneReport &zone : zones_) {
            reviewZone(zone);
            for (const VmReport &vm : zone.vms_) {
                reviewVm(vm);
                std::ranges::for_each(vm.groups_, [&](const GroupReport &group) { reviewGroup(group); });
            }
        }
        return std::move(texts_);
    }

private:
    void reviewZone(const ZoneReport &zone)
    {
        if (now_ > zone.writtenAt_ + maxReportAge) {
            texts_.push_back(absl::StrCat("zone ",
                                          zone.zone_.value(),
                                          ": no report",
                                          describeDuration(zone.writtenAt_, now_),
                                          ". Its proxies serve on with what they know. Look whether the zone reaches the platform."));
        }
    }

    void reviewVm(const VmReport &vm)
    {
        const std::string name = absl::StrCat("VM ", vm.address_, " (", vm.zone_.value(), ")");
        if (vm.refusedVersion_ > vm.version_) {
            texts_.push_back(absl::StrCat(name,
                                          ": cannot use configuration ",
                                          vm.refusedVersion_.value(),
                                          " and keeps ",
                                          vm.version_.value(),
                                          ": ",
                                          vm.refusal_,
                                          ". Correct the text, or replace the VM by one of the present release."));
        } else if (vm.version_ < newestVersion()) {
            texts_.push_back(absl::StrCat(name,
                                          ": works by configuration ",
                                          vm.version_.value(),
                                          " and not yet by ",
                                          newestVersion().value(),
                                          ". It takes it from the next VM it hears. If this lasts, look whether it is cut off."));
        }
        if (vm.platformAway_) {
            texts_.push_back(absl::StrCat(name, ": cannot reach the platform. It serves on and takes news from other VMs. Look at the platform."));
        }
    }

    void reviewGroup(const GroupReport &group)
    {
        const std::string name = absl::StrCat("group ", group.id_.value(), " of service ", group.service_.value());
        if (!group.primary_) {
            texts_.push_back(
                absl::StrCat(name,
                             ": no primary",
                             describeDuration(group.primarySince_, now_),
                             ". Writes wait or are refused as not run, reads that replicas can serve go on. figward promotes a member as soon as it"
                             " reaches a majority of them. If this lasts, start the members that cannot be reached."));
        }
        for (const MemberReport &member : group.members_) {
            if (!member.reachable_) {
                texts_.push_back(absl::StrCat(
                    name, ": member ", member.id_.value(), " cannot be reached. The others serve. Start it, or mark it as leaving and add another."));
            }
        }
    }

    [[nodiscard]] ConfigVersion newestVersion() const
    {
        ConfigVersion newest;
        for (const ZoneReport &zone : zones_) {
            for (const VmReport &vm : zone.vms_) {
                newest = std::max(newest, vm.version_);
            }
        }
        return newest;
    }

    absl::Span<const ZoneReport> zones_;
    std::uint64_t now_;
    std::vector<std::string> texts_;
};

std::string describeGroup(const GroupReport &group, std::uint64_t now)
{
    std::string line = absl::StrCat("  ", group.id_.value(), ": term ", group.term_.value(), ", ");
    absl::StrAppend(&line, group.primary_ ? "primary " + group.primary_->value() : "no primary", describeDuration(group.primarySince_, now));
    for (const MemberReport &member : group.members_) {
        if (group.primary_ != member.id_) {
            const std::string state = member.reachable_ ? absl::StrCat(member.behind_, " entries behind") : "unreachable";
            absl::StrAppend(&line, "; ", member.id_.value(), " ", state, member.leaving_ ? ", leaving" : "");
        }
    }
    if (group.failovers_ > 0) {
        absl::StrAppend(&line, "; ", group.failovers_, " changes of primary, the last one took ", group.lastGapMillis_, " ms");
    }
    if (group.queued_ > 0) {
        absl::StrAppend(&line, "; up to ", group.queued_, " requests wait");
    }
    return line + "\n";
}

std::string describeVm(const VmReport &vm)
{
    return absl::StrCat("  VM ", vm.address_, ": configuration ", vm.version_.value(), vm.draining_ ? ", draining" : "", "\n");
}

/** Whether the group cannot accept writes because it has no primary or no reachable majority. */
bool isImpaired(const GroupReport &group)
{
    const auto reachable = static_cast<std::size_t>(std::ranges::count_if(group.members_, &MemberReport::reachable_));
    return !group.primary_ || reachable * 2 <= group.members_.size();
}

std::set<ServiceId> directlyImpaired(absl::Span<const ZoneReport> zones)
{
    std::set<ServiceId> impaired;
    for (const ZoneReport &zone : zones) {
        for (const VmReport &vm : zone.vms_) {
            for (const GroupReport &group : vm.groups_) {
                if (isImpaired(group)) {
                    impaired.insert(group.service_);
                }
            }
        }
    }
    return impaired;
}

} // namespace

std::vector<ServiceId> impairedServices(absl::Span<const ZoneReport> zones)
{
    std::set<ServiceId> impaired = directlyImpaired(zones);
    std::map<ServiceId, std::vector<ServiceId>> dependencies;
    for (const ZoneReport &zone : zones) {
        for (const ServiceDependency &dependency : zone.dependencies_) {
            dependencies[dependency.id_] = dependency.dependsOn_;
        }
    }
    bool changed = true;
    while (changed) {
        changed = false;
        for (const auto &[service, others] : dependencies) {
            const bool affected = std::ranges::any_of(others, [&](const ServiceId &other) { return impaired.contains(other); });
            changed = (affected && impaired.insert(service).second) || changed;
        }
    }
    return {impaired.begin(), impaired.end()};
}

std::string renderStatus(absl::Span<const ZoneReport> zones, std::uint64_t nowSeconds)
{
    std::string text;
    const std::vector<std::string> problems = ProblemCollector(zones, nowSeconds).collect();
    text += problems.empty() ? "Nothing is wrong.\n" : absl::StrCat("Wrong (", problems.size(), "):\n");
    for (const std::string &problem : problems) {
        text += "- " + problem + "\n";
    }
    for (const ServiceId &service : impairedServices(zones)) {
        text += "- service " + service.value() + " is impaired: a group of it, or of a service that it depends on, cannot take writes.\n";
    }
    for (const ZoneReport &zone : zones) {
        absl::StrAppend(&text, "zone ", zone.zone_.value(), ", reported ", describeAge(nowSeconds - std::min(nowSeconds, zone.writtenAt_)), " ago\n");
        std::ranges::for_each(zone.vms_, [&](const VmReport &vm) { text += describeVm(vm); });
        for (const VmReport &vm : zone.vms_) {
            std::ranges::for_each(vm.groups_, [&](const GroupReport &group) { text += describeGroup(group, nowSeconds); });
        }
    }
    return text;
}

} // namespace Figward
