/** \file
 * Defines a simulation in virtual time of many reducers connected by a network, a platform and database groups, for tests of large fleets.
 */
#pragma once

#include "GroupModel.h"
#include "PlatformModel.h"
#include "Reducer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace Figward::Testing {

/** Size, latencies and faults of a simulated fleet. */
struct FleetOptions
{
    unsigned vms_ = 8;
    unsigned zones_ = 3;
    std::uint64_t seed_ = 1;
    Duration latency_ = std::chrono::microseconds(1500); ///< One-way latency between zones.
    Duration zoneLatency_ = std::chrono::microseconds(300); ///< One-way latency within a zone.
    unsigned lossPercent_ = 0; ///< Percentage of the messages between proxies that are lost without an error at the sender.
    bool seeds_ = true; ///< Whether each VM is configured with the addresses of the first VM of each zone.
    FleetTuning tuning_;
    Standin::PlatformModelConfig platform_;
};

/** Control traffic of one VM, in messages, calls and bytes on the wire. */
struct Traffic
{
    std::uint64_t sentMessages_ = 0;
    std::uint64_t sentBytes_ = 0;
    std::uint64_t receivedBytes_ = 0;
    std::uint64_t platformCalls_ = 0;
    std::uint64_t platformBytes_ = 0; ///< Bytes of calls to the platform and of their answers.
};

/** One proxy of the fleet. */
struct FleetVm
{
    ProxyState state_;
    bool running_ = true;
    Traffic traffic_;
    std::vector<std::pair<RequestId, Answer>> answers_;
    std::optional<Time> configuredAt_; ///< Time at which the version passed to awaitVersion() became active.
    std::uint64_t wakeUp_ = 0; ///< Number of the last wake-up requested; earlier ones are ignored.
};

/** Simulated fleet. All VMs start at time zero and are on the platform's list. */
class Fleet
{
public:
    explicit Fleet(FleetOptions options);

    [[nodiscard]] Time now() const;
    [[nodiscard]] std::vector<FleetVm> &vms();
    [[nodiscard]] Standin::PlatformModel &platform();
    /** Processes all events of the next \p span of virtual time. */
    void run(Duration span);
    /** Delivers an event to a VM at the current time. */
    void give(std::size_t vm, EventBody body);

    /** Writes \p text to the platform as the next configuration version, as an operator's apply does, and returns that version. */
    ConfigVersion apply(const std::string &text);
    /** Records from now on, for each VM, when \p version or a later one becomes active. */
    void awaitVersion(ConfigVersion version);

    /** Stops a VM abruptly. If \p listed is true, it stays on the platform's list. */
    void kill(std::size_t vm, bool listed);
    /** Starts a new incarnation to replace a stopped VM and returns its index. */
    std::size_t replace(std::size_t vm);
    /** Cuts or restores the network between two zones. */
    void setCut(unsigned zoneA, unsigned zoneB, bool cut);
    /** Cuts or restores the network between a zone and the platform; while it is cut, the platform calls of the zone fail as unavailable. */
    void setPlatformCut(unsigned zone, bool cut);
    /** Adds a database group with members named "GROUP-0", "GROUP-1" and so on, with the settings of \p config. */
    void addGroup(const GroupId &group, Standin::GroupModelConfig config);
    [[nodiscard]] Standin::GroupModel &group(const GroupId &group);
    /** Sets a function that is called after each event of each VM, to check invariants. */
    void setObserver(std::function<void(Fleet &, std::size_t)> observer);
    /** Enables or disables measuring of message sizes; disabled by default because it slows the simulation. */
    void setMeasuring(bool measuring);

private:
    struct ScheduledEvent
    {
        Time at_;
        std::uint64_t order_ = 0;
        std::function<void()> action_;
    };
    struct Later
    {
        bool operator()(const ScheduledEvent &a, const ScheduledEvent &b) const;
    };
    struct Link
    {
        std::size_t vm_ = 0;
        ConnectionId connection_;
        GroupId group_;
        std::optional<Standin::LinkId> link_;
    };
    struct Control
    {
        std::size_t vm_ = 0;
    };

    void after(Duration delay, std::function<void()> action);
    void at(Time time, std::function<void()> action);
    std::size_t startVm(unsigned zone);
    void listVms();
    void perform(std::size_t vm, const Effect &effect);
    void send(std::size_t vm, const SendPeer &effect);
    void callPlatform(std::size_t vm, const PlatformCall &call);
    void collectPlatform();
    void deliver(Standin::PlatformReply reply);
    void open(std::size_t vm, const OpenConnection &effect);
    void collectGroup(const GroupId &group);
    void handleGroupReply(const GroupId &group, const Standin::GroupReply &reply);
    [[nodiscard]] unsigned zoneOf(std::size_t vm) const;
    std::optional<GroupId> groupOf(const MemberId &member) const;

    FleetOptions options_;
    Time now_;
    std::uint64_t nextOrder_ = 0;
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, Later> queue_;
    std::vector<FleetVm> vms_;
    std::map<std::string, std::size_t> byAddress_;
    std::set<std::size_t> unlisted_;
    Standin::PlatformModel platform_;
    std::mt19937_64 random_;
    std::set<std::pair<unsigned, unsigned>> cuts_;
    std::set<unsigned> platformCuts_;
    std::map<std::uint64_t, std::pair<std::size_t, CallId>> platformTags_;
    std::uint64_t nextTag_ = 1;
    std::map<GroupId, std::unique_ptr<Standin::GroupModel>> groups_;
    std::map<MemberId, GroupId> members_;
    std::map<Standin::ReplyTag, Link> opening_;
    std::map<std::pair<std::size_t, ConnectionId>, Link> links_;
    std::map<Standin::LinkId, std::pair<std::size_t, ConnectionId>> linkOwners_;
    std::map<Standin::ReplyTag, Control> controls_;
    std::function<void(Fleet &, std::size_t)> observer_;
    std::optional<ConfigVersion> awaitedVersion_;
    bool measuring_ = false;
};

/**
 * Returns the text of a configuration with \p services services of one group each, named from "service-0" and "group-0". Different values of \p mark give
 * different texts.
 */
std::string configurationText(unsigned services, unsigned mark, unsigned connectionLimit = 35, unsigned slots = 5);
ZoneId zoneName(unsigned zone);

} // namespace Figward::Testing
