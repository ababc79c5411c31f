/** \file
 * Defines a harness that joins reducers in virtual time: an event queue, the network between zones, and the models of groups and platform.
 *
 * It decides nothing of its own. Messages between two sides that are cut off from each other are held as TCP would hold them and arrive, in
 * order, once the cut is healed; the sender learns of the loss by its own timeout. Each proxy's clock starts elsewhere, so that instants of
 * two processes can never be compared by accident.
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

/** A place in the network. */
struct Place
{
    std::size_t zone_ = 0;
    bool platform_ = false; ///< The platform's own, in no zone.
};

/** Size and speed of a world. Proxies, and the members of each group, are spread over the zones in turn. */
struct WorldConfig
{
    std::uint64_t seed_ = 1;
    std::size_t zones_ = 3;
    std::size_t proxies_ = 3;
    std::size_t groups_ = 1;
    std::size_t membersPerGroup_ = 3;
    Duration insideZone_ = std::chrono::microseconds(100); ///< One way.
    Duration betweenZones_ = std::chrono::microseconds(1500); ///< One way.
    Duration toPlatform_ = std::chrono::microseconds(500); ///< One way.
    Duration lossNoticed_ = std::chrono::milliseconds(200); ///< Until a sender hears that a peer or an upstream cannot be reached.
    Standin::GroupModelConfig group_; ///< The members' names are filled in.
    Standin::PlatformModelConfig platform_;
    Policy policy_;
};

/** Chances, in percent, of what the network does to a message between proxies. */
struct PeerFaults
{
    unsigned dropPercent_ = 0;
    unsigned doublePercent_ = 0;
    unsigned delayPercent_ = 0;
    Duration delay_ = std::chrono::milliseconds(30);
};

/** What a caller hears: its answer, or nothing when its proxy died. */
using CallerReply = std::function<void(const std::optional<Answer> &)>;

/** Lets a test look at, or alter, what passes a proxy: to show that the oracle notices when a safeguard is missing. */
struct WorldHooks
{
    std::function<void(ProxyIndex, ProxyState &, EventBody &)> beforeEvent_;
    std::function<void(ProxyIndex, ProxyState &, Effects &)> afterEvent_;
};

/** The world. */
class World
{
public:
    explicit World(WorldConfig config);

    [[nodiscard]] Time now() const;
    /** Runs all that happens in the next \p duration. */
    void run(Duration duration);
    /** Has \p action happen at \p at. */
    void schedule(Time at, std::function<void()> action);

    /** A caller asks at \p proxy. \p reply is called once. */
    void ask(ProxyIndex proxy, Request request, CallerReply reply);
    /** Asks and runs the world until the answer is there; nothing if the proxy died. */
    std::optional<Answer> askAndWait(ProxyIndex proxy, Request request);
    /** The caller of an open transaction is gone. */
    void leaveTransaction(ProxyIndex proxy, TransactionId transaction);

    // Faults of the network
    void setZonesCut(std::size_t a, std::size_t b, bool cut);
    void setPlatformCut(std::size_t zone, bool cut);
    void setPeerFaults(PeerFaults faults);

    // Faults of proxies
    void pauseProxy(ProxyIndex proxy);
    void resumeProxy(ProxyIndex proxy);
    /** The process is gone with its state; its callers hear nothing and its connections close. */
    void killProxy(ProxyIndex proxy);
    /** Starts a new incarnation on the VM of a proxy that was killed or has exited. */
    void startProxy(ProxyIndex proxy);
    void drainProxy(ProxyIndex proxy);
    // Faults of members; a dead member's log stays
    void killMember(std::size_t group, Standin::MemberIndex member, bool closesLinks);
    void restartMember(std::size_t group, Standin::MemberIndex member);
    void pauseMember(std::size_t group, Standin::MemberIndex member);
    void resumeMember(std::size_t group, Standin::MemberIndex member);

    /** Tells the platform's list which VMs are there; without it, a dead VM stays listed. */
    void publishVms();
    /** Hands \p configuration to every proxy that runs. */
    void applyConfiguration(const Configuration &configuration);

    [[nodiscard]] std::size_t proxies() const;
    [[nodiscard]] bool isUp(ProxyIndex proxy) const;
    [[nodiscard]] bool isAlive(ProxyIndex proxy) const;
    /** A proxy that has exited after a drain. */
    [[nodiscard]] bool hasExited(ProxyIndex proxy) const;
    /** Requests that a proxy had taken in and not answered when it exited after a drain. */
    [[nodiscard]] std::size_t cutByExit() const;
    [[nodiscard]] ProxyState &state(ProxyIndex proxy);
    [[nodiscard]] std::size_t groups() const;
    [[nodiscard]] Standin::GroupModel &group(std::size_t index);
    [[nodiscard]] Standin::PlatformModel &platform();
    [[nodiscard]] const Configuration &configuration() const;
    [[nodiscard]] static GroupId groupId(std::size_t index);
    [[nodiscard]] std::size_t zoneOfMember(std::size_t group, Standin::MemberIndex member) const;
    [[nodiscard]] std::size_t zoneOfProxy(ProxyIndex proxy) const;
    /** Index of the member that is primary of the highest term, dead or alive. */
    [[nodiscard]] Standin::MemberIndex primaryOf(std::size_t group) const;
    /** Ends all faults of network, platform and members, and resumes and starts proxies. */
    void healAll();

    /** Lines of text about what callers, proxies and members exchange are added to \p lines; null ends it. */
    void setTrace(std::vector<std::string> *lines);
    /** Adds a line of the test's own to the trace. */
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
        std::optional<Standin::LinkId> link_; ///< Empty while it opens.
    };
    struct Proxy
    {
        VmInfo vm_;
        std::size_t zone_ = 0;
        Duration clockOffset_{};
        std::unique_ptr<ProxyState> state_; ///< Empty when dead.
        bool paused_ = false;
        bool exited_ = false;
        std::vector<EventBody> waiting_;
        std::map<ConnectionId, UpstreamLink> links_;
        std::map<RequestId, CallerReply> callers_;
        std::set<RequestId> taken_; ///< Requests that the process has taken in, and not answered.
        std::uint64_t wakeUp_ = 0; ///< Number of the last ArmWakeUp; earlier ones are replaced.
        RequestId nextRequest_{1};
        std::set<ControlId> probes_; ///< Under way; the trace leaves them out.
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
    struct Held
    {
        Place from_;
        Place to_;
        std::function<void()> action_;
    };
    using ConnectHandler = std::function<void(const Standin::ConnectReply &)>;
    using ControlHandler = std::function<void(const Standin::ControlReply &)>;

    // World.cpp: proxies
    void boot(ProxyIndex proxy);
    void deliver(ProxyIndex proxy, VmId incarnation, EventBody body);
    void take(ProxyIndex proxy, EventBody body);
    // WorldNetwork.cpp: messages between proxies and to the platform; WorldUpstreams.cpp: what goes to members
    void carry(Place from, Place to, std::function<void()> action);
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
    } // These proxies speak figward's own protocol only.
    void sendOnLink(std::size_t group, Standin::LinkId link, Place from, Place to, const UpstreamStatement &statement);
    void loseLink(std::size_t group, Standin::LinkId link, Place proxyPlace, Place memberPlace);
    void onStatementReply(std::size_t group, const Standin::StatementReply &reply);
    void closeLink(std::size_t group, Standin::LinkId link, Place from, Place to);
    bool onConnected(ProxyIndex proxy, VmId incarnation, ConnectionId connection, const Standin::ConnectReply &reply);
    void pumpGroup(std::size_t group);
    void onGroupReply(std::size_t group, const Standin::GroupReply::Body &body);
    void pumpPlatform();
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
    std::vector<Held> held_;
    std::vector<std::map<Standin::LinkId, LinkOwner>> linkOwners_; ///< By group.
    std::map<Standin::ReplyTag, ConnectHandler> connects_;
    std::map<Standin::ReplyTag, ControlHandler> controls_;
    std::map<Standin::PlatformTag, std::function<void(const PlatformAnswer &)>> platformCalls_;
    std::size_t cutByExit_ = 0;
    std::size_t atThisInstant_ = 0; ///< Events since time last moved on.
    std::vector<std::string> *trace_ = nullptr;
};

} // namespace Figward::Testing
