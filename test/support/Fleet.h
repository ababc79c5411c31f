/** \file
 * Defines a fleet of reducers joined in virtual time by a network, a platform and database groups, for tests of how many proxies act together.
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

/** Size and times of a fleet. */
struct FleetOptions
{
    unsigned vms_ = 8;
    unsigned zones_ = 3;
    std::uint64_t seed_ = 1;
    Duration latency_ = std::chrono::microseconds(1500); ///< One way between zones.
    Duration zoneLatency_ = std::chrono::microseconds(300); ///< One way within a zone.
    unsigned lossPercent_ = 0; ///< Messages between proxies that are lost without notice.
    bool seeds_ = true; ///< Each VM knows the addresses of the first VM of each zone.
    FleetTuning tuning_;
    Standin::PlatformModelConfig platform_;
};

/** What one VM has sent and received for control, in bytes on the wire. */
struct Traffic
{
    std::uint64_t sentMessages_ = 0;
    std::uint64_t sentBytes_ = 0;
    std::uint64_t receivedBytes_ = 0;
    std::uint64_t platformCalls_ = 0;
    std::uint64_t platformBytes_ = 0; ///< Of calls and answers.
};

/** One proxy of the fleet. */
struct FleetVm
{
    ProxyState state_;
    bool running_ = true;
    Traffic traffic_;
    std::vector<std::pair<RequestId, Answer>> answers_;
    std::optional<Time> configuredAt_; ///< When the version awaited by awaitVersion() came into force.
    std::uint64_t wakeUp_ = 0; ///< Number of the wake-up asked for last.
};

/** The fleet. All VMs start at time zero and are on the platform's list. */
class Fleet
{
public:
    explicit Fleet(FleetOptions options);

    [[nodiscard]] Time now() const;
    [[nodiscard]] std::vector<FleetVm> &vms();
    [[nodiscard]] Standin::PlatformModel &platform();
    /** Runs all that happens within \p span. */
    void run(Duration span);
    /** Hands an event to a VM now. */
    void give(std::size_t vm, EventBody body);

    /** Writes \p text to the platform as the next version, as an operator's apply does. Returns the version. */
    ConfigVersion apply(const std::string &text);
    /** From now on notes at each VM when \p version or a later one is in force. */
    void awaitVersion(ConfigVersion version);

    /** Ends a VM without notice. \p listed: it stays on the platform's list. */
    void kill(std::size_t vm, bool listed);
    /** Starts a new incarnation in the place of a VM that has ended; returns its index. */
    std::size_t replace(std::size_t vm);
    /** Cuts or joins two zones. */
    void setCut(unsigned zoneA, unsigned zoneB, bool cut);
    /** Cuts or joins a zone and the platform: its calls are then unavailable. */
    void setPlatformCut(unsigned zone, bool cut);
    /** Adds a database group with members named "GROUP-0" and so on, as configured. */
    void addGroup(const GroupId &group, Standin::GroupModelConfig config);
    [[nodiscard]] Standin::GroupModel &group(const GroupId &group);
    /** Called after each event of each VM, to check what must always hold. */
    void setObserver(std::function<void(Fleet &, std::size_t)> observer);
    /** Whether the sizes of messages are measured; off at the start, since it costs time. */
    void setMeasuring(bool measuring);

private:
    struct Due
    {
        Time at_;
        std::uint64_t order_ = 0;
        std::function<void()> action_;
    };
    struct Later
    {
        bool operator()(const Due &a, const Due &b) const;
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
    void takeGroupReply(const GroupId &group, const Standin::GroupReply &reply);
    [[nodiscard]] unsigned zoneOf(std::size_t vm) const;
    std::optional<GroupId> groupOf(const MemberId &member) const;

    FleetOptions options_;
    Time now_;
    std::uint64_t nextOrder_ = 0;
    std::priority_queue<Due, std::vector<Due>, Later> due_;
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
    std::optional<ConfigVersion> awaited_;
    bool measuring_ = false;
};

/** Text of a configuration with \p services services of one group each, named "service-0" and "group-0" on; \p mark makes a text differ from another. */
std::string configurationText(unsigned services, unsigned mark, unsigned connectionLimit = 35, unsigned slots = 5);
/** Name of a zone. */
ZoneId zoneName(unsigned zone);

} // namespace Figward::Testing
