/** \file
 * Defines a simulation in virtual time that connects reducers: an event queue, the network between zones, and the models of groups and platform.
 *
 * It makes no decisions on behalf of the proxies. Messages between two places that are cut off from each other are held as TCP would hold them, and arrive
 * in order once the cut is healed; the sender detects the loss by its own timeout. Each proxy's clock starts at a different time, so that comparing
 * instants of two processes by mistake gives an obviously wrong result.
 */
#pragma once

#include "GroupModel.h"
#include "PlatformModel.h"
#include "Reducer.h"

#include <functional>
#include <memory>
#include <queue>

namespace Figward::Testing {

/** Index of a proxy's VM in the world; a VM that is replaced keeps it. */
using ProxyIndex = std::size_t;

/** Location in the network: a zone or the platform. */
struct Place
{
    std::size_t zone_ = 0;
    bool platform_ = false; ///< Whether this is the location of the platform, which is in no zone.
};

/** Size and latencies of a simulation. Proxies, and the members of each group, are spread over the zones in turn. */
struct WorldConfig
{
    std::uint64_t seed_ = 1;
    std::size_t zones_ = 3;
    std::size_t proxies_ = 3;
    std::size_t groups_ = 1;
    std::size_t membersPerGroup_ = 3;
    Duration insideZone_ = std::chrono::microseconds(100); ///< One-way latency within a zone.
    Duration betweenZones_ = std::chrono::microseconds(1500); ///< One-way latency between zones.
    Duration toPlatform_ = std::chrono::microseconds(500); ///< One-way latency between a zone and the platform.
    Duration lossDetectionDelay_ = std::chrono::milliseconds(200); ///< Time until a sender is told that a peer or an upstream is unreachable.
    Standin::GroupModelConfig group_; ///< Settings of each group; the simulation adds the members' names.
    Standin::PlatformModelConfig platform_;
    Policy policy_;
};

/** Probabilities, in percent, of network faults of a message between proxies. */
struct PeerFaults
{
    unsigned dropPercent_ = 0;
    unsigned doublePercent_ = 0;
    unsigned delayPercent_ = 0;
    Duration delay_ = std::chrono::milliseconds(30);
};

/** Receives the answer to a caller, or nothing if its proxy was killed or exited. */
using CallerReply = std::function<void(const std::optional<Answer> &)>;

/** Callbacks that inspect or alter the events and effects of a proxy, to show that the oracle detects a missing safeguard. */
struct WorldHooks
{
    std::function<void(ProxyIndex, ProxyState &, EventBody &)> beforeEvent_;
    std::function<void(ProxyIndex, ProxyState &, Effects &)> afterEvent_;
};

/** Simulation of proxies, members, platform and network in virtual time. */
class World
{
public:
    explicit World(WorldConfig config);

    [[nodiscard]] Time now() const;
    /** Processes all events of the next \p duration of virtual time. */
    void run(Duration duration);
    /** Schedules \p action at time \p at. */
    void schedule(Time at, std::function<void()> action);

    /** Submits a request to \p proxy as a caller. \p reply is called once. */
    void ask(ProxyIndex proxy, Request request, CallerReply reply);
    /** Submits a request and advances the simulation until it is answered; returns nothing if the proxy was killed or the answer takes over 60 s. */
    std::optional<Answer> askAndWait(ProxyIndex proxy, Request request);
    /** Tells the proxy that the caller of an open transaction has disconnected. */
    void leaveTransaction(ProxyIndex proxy, TransactionId transaction);

    // Network faults.
    void setZonesCut(std::size_t a, std::size_t b, bool cut);
    void setPlatformCut(std::size_t zone, bool cut);
    void setPeerFaults(PeerFaults faults);

    // Proxy faults.
    void pauseProxy(ProxyIndex proxy);
    void resumeProxy(ProxyIndex proxy);
    /** Kills the process, whose state is lost; its callers get no answer and its connections are closed. */
    void killProxy(ProxyIndex proxy);
    /** Starts a new incarnation on the VM of a proxy that was killed or has exited. */
    void startProxy(ProxyIndex proxy);
    void drainProxy(ProxyIndex proxy);
    // Member faults; the log of a killed member is kept.
    void killMember(std::size_t group, Standin::MemberIndex member, bool closesLinks);
    void restartMember(std::size_t group, Standin::MemberIndex member);
    void pauseMember(std::size_t group, Standin::MemberIndex member);
    void resumeMember(std::size_t group, Standin::MemberIndex member);

    /** Updates the platform's list to the running VMs; without this call a killed VM stays listed. */
    void publishVms();
    /** Activates \p configuration on every running proxy. */
    void applyConfiguration(const Configuration &configuration);

    [[nodiscard]] std::size_t proxies() const;
    [[nodiscard]] bool isUp(ProxyIndex proxy) const;
    [[nodiscard]] bool isAlive(ProxyIndex proxy) const;
    /** Returns whether the proxy has exited after a drain. */
    [[nodiscard]] bool hasExited(ProxyIndex proxy) const;
    /** Returns the number of requests that were received but unanswered when their proxy exited after a drain. */
    [[nodiscard]] std::size_t cutByExit() const;
    [[nodiscard]] ProxyState &state(ProxyIndex proxy);
    [[nodiscard]] std::size_t groups() const;
    [[nodiscard]] Standin::GroupModel &group(std::size_t index);
    [[nodiscard]] Standin::PlatformModel &platform();
    [[nodiscard]] const Configuration &configuration() const;
    [[nodiscard]] static GroupId groupId(std::size_t index);
    [[nodiscard]] std::size_t zoneOfMember(std::size_t group, Standin::MemberIndex member) const;
    [[nodiscard]] std::size_t zoneOfProxy(ProxyIndex proxy) const;
    /** Returns the index of the member that is primary of the highest term, whether it is running or not. */
    [[nodiscard]] Standin::MemberIndex primaryOf(std::size_t group) const;
    /** Ends all faults of network, platform and members, resumes paused proxies and starts stopped ones. */
    void healAll();

    /** Appends a trace of the messages between callers, proxies and members to \p lines; null disables the trace. */
    void setTrace(std::vector<std::string> *lines);
    /** Appends a line to the trace. */
    void note(const std::string &line);
    WorldHooks hooks_;

private:
    struct Scheduled
    {
        Time at_;
        std::uint64_t order_ = 0;
        std::function<void()> action_;
    };
    struct Later
    {
        bool operator()(const Scheduled &a, const Scheduled &b) const;
    };
    struct UpstreamLink
    {
        std::size_t group_ = 0;
        Standin::MemberIndex member_ = 0;
        std::optional<Standin::LinkId> link_; ///< Empty until the connection is established.
    };
    struct Proxy
    {
        VmInfo vm_;
        std::size_t zone_ = 0;
        Duration clockOffset_{};
        std::unique_ptr<ProxyState> state_; ///< Empty while the process is not running.
        bool paused_ = false;
        bool exited_ = false;
        std::vector<EventBody> queuedEvents_;
        std::map<ConnectionId, UpstreamLink> links_;
        std::map<RequestId, CallerReply> callers_;
        std::set<RequestId> unanswered_; ///< Requests that the process has received and not answered.
        std::uint64_t wakeUp_ = 0; ///< Number of the last ArmWakeUp; earlier ones are ignored.
        RequestId nextRequest_{1};
        std::set<ControlId> probes_; ///< Probes in flight, which are not traced.
    };
    struct LinkOwner
    {
        ProxyIndex proxy_ = 0;
        VmId incarnation_;
        ConnectionId connection_;
        Standin::MemberIndex member_ = 0;
    };
    struct MemberPlace
    {
        std::size_t group_ = 0;
        Standin::MemberIndex member_ = 0;
    };
    struct HeldMessage
    {
        Place from_;
        Place to_;
        std::function<void()> action_;
    };
    using ConnectHandler = std::function<void(const Standin::ConnectReply &)>;
    using ControlHandler = std::function<void(const Standin::ControlReply &)>;

    // Proxies (World.cpp).
    void boot(ProxyIndex proxy);
    void deliver(ProxyIndex proxy, VmId incarnation, EventBody body);
    void processEvent(ProxyIndex proxy, EventBody body);
    // Messages between proxies and to the platform (WorldNetwork.cpp) and to members (WorldUpstreams.cpp).
    void transmit(Place from, Place to, std::function<void()> action);
    [[nodiscard]] bool isCut(Place a, Place b) const;
    [[nodiscard]] Duration delayBetween(Place a, Place b) const;
    void releaseHeld();
    void execute(ProxyIndex proxy, const Effect &effect);
    void execute(ProxyIndex proxy, const AnswerCaller &effect);
    void execute(ProxyIndex proxy, const SendPeer &effect);
    void execute(ProxyIndex proxy, const OpenConnection &effect);
    void execute(ProxyIndex proxy, const CloseConnection &effect);
    void execute(ProxyIndex proxy, const SendStatement &effect);
    void execute(ProxyIndex proxy, const SendControl &effect);
    void execute(ProxyIndex proxy, const CallPlatform &effect);
    void execute(ProxyIndex proxy, const ArmWakeUp &effect);
    void execute(ProxyIndex proxy, const WriteLog &effect);
    void execute(ProxyIndex proxy, const ExitProcess &effect);
    void execute(ProxyIndex /*proxy*/, const SessionEffect & /*effect*/)
    {
    } // The simulation supports only figward's own protocol.
    void sendOnLink(std::size_t group, Standin::LinkId link, Place from, Place to, const UpstreamStatement &statement);
    void loseLink(std::size_t group, Standin::LinkId link, Place proxyPlace, Place memberPlace);
    void onStatementReply(std::size_t group, const Standin::StatementReply &reply);
    void closeLink(std::size_t group, Standin::LinkId link, Place from, Place to);
    bool onConnected(ProxyIndex proxy, VmId incarnation, ConnectionId connection, const Standin::ConnectReply &reply);
    void scheduleGroupReplies(std::size_t group);
    void onGroupReply(std::size_t group, const Standin::GroupReply::Body &body);
    void schedulePlatformReplies();
    bool happens(unsigned percent);
    [[nodiscard]] Place placeOf(ProxyIndex proxy) const;
    [[nodiscard]] Place placeOfMember(std::size_t group, Standin::MemberIndex member) const;
    [[nodiscard]] MemberPlace memberAt(const MemberId &member) const;
    [[nodiscard]] std::optional<ProxyIndex> proxyAt(const std::string &address) const;
    void trace(ProxyIndex proxy, const std::string &line);
    [[nodiscard]] std::string timeText() const;

    WorldConfig config_;
    Configuration configuration_;
    std::mt19937_64 random_;
    Time now_;
    std::priority_queue<Scheduled, std::vector<Scheduled>, Later> queue_;
    std::uint64_t nextOrder_ = 0;
    std::uint64_t nextVm_ = 1;
    std::uint64_t nextTag_ = 1;
    std::vector<Proxy> proxies_;
    std::vector<std::unique_ptr<Standin::GroupModel>> groups_;
    std::unique_ptr<Standin::PlatformModel> platform_;
    std::set<std::pair<std::size_t, std::size_t>> zoneCuts_;
    std::set<std::size_t> platformCuts_;
    PeerFaults peerFaults_;
    std::vector<HeldMessage> held_;
    std::vector<std::map<Standin::LinkId, LinkOwner>> linkOwners_; ///< Indexed by group.
    std::map<Standin::ReplyTag, ConnectHandler> connects_;
    std::map<Standin::ReplyTag, ControlHandler> controls_;
    std::map<Standin::PlatformTag, std::function<void(const PlatformAnswer &)>> platformCalls_;
    std::size_t cutByExit_ = 0;
    std::size_t eventsAtThisInstant_ = 0; ///< Number of events since the virtual time last advanced.
    std::vector<std::string> *trace_ = nullptr;
};

} // namespace Figward::Testing
