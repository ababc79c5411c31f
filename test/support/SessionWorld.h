/** \file
 * Defines a simulation in virtual time of proxies that serve database sessions: VMs, groups of members, the store, clients, and faults between them.
 *
 * Every proxy is a real ProxyState driven by reduce(); members are LineGroupModel; the store is a typed model with revisions and conditional writes. As
 * answers arrive, the simulation checks the guarantees given to clients; violations() lists those that were broken.
 */
#pragma once

#include "LineGroupModel.h"
#include "ProxyState.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Figward::Testing {

/** Sizes of the store's answers and bandwidths of the links over which they arrive; all zero: answers arrive at once. */
struct TransferModel
{
    double storeBytesPerSecond_ = 0; ///< Shared by all answers that are under way.
    double vmBytesPerSecond_ = 0; ///< Shared by the mirror answers of one VM.
    unsigned mirrorAnswers_ = 3; ///< Mirror answers of one VM at the same time; further reads are refused.
    double configurationBytes_ = 0;
    double entryBytes_ = 0; ///< Of each member, VM or claim in a list.
    unsigned pageEntries_ = 500; ///< Entries in one answer; each page has the timeout of a call.
};

/** Size, times and limits of a simulation. */
struct SessionWorldConfig
{
    unsigned vms_ = 4; ///< Number of VMs, spread over three availability zones in turn.
    unsigned members_ = 3; ///< Members of each group, spread over the zones in turn; the first is the primary.
    unsigned groups_ = 1;
    unsigned maxConnections_ = 34; ///< Connection limit in the configuration; members enforce it only if slots_ is not zero.
    unsigned slots_ = 0; ///< Connection attempts and statements that a member processes at once; others queue in order. Zero: unlimited.
    Duration openTime_ = std::chrono::milliseconds(12); ///< Time that a connection attempt takes at the member.
    unsigned syncReplicas_ = 0; ///< Replicas that must have received a commit before members acknowledge it.
    unsigned organisations_ = 0; ///< Number of organisations, named from "org-0" with the keys from "key-0"; zero: the configuration has none.
    OrganisationLimits limits_; ///< Limits of each organisation.
    std::uint64_t seed_ = 1;
    Duration networkDelay_ = std::chrono::milliseconds(1);
    Duration workTime_ = std::chrono::milliseconds(12);
    Duration promotionTime_ = std::chrono::milliseconds(300);
    TransferModel transfers_;
};

/** The answer to a statement, of which there is exactly one. */
struct ClientAnswer
{
    std::string id_;
    SessionReply reply_;
    Time at_;
};

/** Fault of a member that is running and reachable. The shares are of the statements that arrive at it. */
struct MemberFault
{
    double failed_ = 0; ///< Share that it answers with an error.
    double busy_ = 0; ///< Share that it refuses as busy.
    double silent_ = 0; ///< Share that it neither runs nor answers.
    double workFactor_ = 1; ///< Factor on the execution time of statements and connection attempts.
    std::optional<ZoneId> seenFrom_; ///< Zone whose VMs see the fault; absent: all.
};

/** Number of statements that arrived at a member, and of those that its fault affected. */
struct StatementTries
{
    unsigned all_ = 0;
    unsigned failed_ = 0;
};

/** Client of one session, with the statements that it sent and the answers that it received. */
struct WorldClient
{
    unsigned vm_ = 0;
    SessionKey key_;
    std::string database_;
    unsigned group_ = 0; ///< Group of the database.
    std::string keyName_; ///< API key that the client gave; empty: none.
    std::optional<LogPoint> lastCommit_;
    bool open_ = false;
    bool refused_ = false;
    bool closed_ = false;
    std::vector<ClientAnswer> answers_;
    std::set<std::string> sent_;
    std::deque<std::string> unanswered_; ///< Oldest first; statements of a session are answered in their order.
};

/**
 * Simulation of proxies that serve sessions. VMs are named from "vm-0" by their number. Members are named from "member-0", those of the first group first, and
 * zones from "zone-0".
 */
class SessionWorld
{
public:
    explicit SessionWorld(const SessionWorldConfig &config = {});

    /** Called before a VM processes an event; may alter its state. */
    using BeforeEvent = std::function<void(ProxyState &state, EventBody &event, Time now)>;
    void setBeforeEvent(BeforeEvent beforeEvent);

    /** Advances the virtual time by \p duration and processes all events due in it. */
    void run(Duration duration);
    /** Runs \p step at \p delay from now. */
    void after(Duration delay, std::function<void()> step);
    [[nodiscard]] Time now() const;

    /**
     * Opens a session at \p vm for \p database and returns its client. The databases of the first group are "ledger" (reads at the primary), "history" (at most
     * 1,500 ms stale) and "dispatch" (read your writes, at most 2,500 ms stale); those of the others are named "ledger-1" and so on.
     */
    std::size_t open(unsigned vm, const std::string &database, const std::string &key = {});
    /** Sends a statement; returns its id. */
    std::string send(std::size_t client, StatementKind kind, const std::string &text = {});
    /** Sets the execution time of the statement with this id, in place of workTime_. */
    void setWork(const std::string &id, Duration work);
    /** Called when a client's statement is answered; must not advance the time. */
    using OnAnswer = std::function<void(std::size_t client, const ClientAnswer &answer)>;
    void setOnAnswer(OnAnswer onAnswer);
    /** Sends a statement with the id that it holds. */
    void send(std::size_t client, const ClientStatement &statement);
    void close(std::size_t client);
    /** Returns the answer to \p id; null if there is none yet. */
    [[nodiscard]] const SessionReply *answerTo(std::size_t client, const std::string &id) const;
    /** Sends a statement and advances the time until it is answered, by at most \p limit. */
    SessionReply ask(std::size_t client, StatementKind kind, const std::string &text = {}, Duration limit = std::chrono::seconds(3));
    [[nodiscard]] const WorldClient &client(std::size_t client) const;

    // Faults.
    void cutVmFromMember(unsigned vm, unsigned member, bool cut);
    /** Sets whether cuts between VMs and members reset new connections from now on; otherwise packets are lost. */
    void cutsReset(bool reset);
    void cutVms(unsigned a, unsigned b, bool cut);
    /** Returns the additional delay of each copy of a datagram that is delivered; no copies: it is lost. */
    using DatagramFault = std::function<std::vector<Duration>(unsigned from, unsigned to, const SessionEvent &event)>;
    void setDatagramFault(DatagramFault fault);
    void cutVmFromStore(unsigned vm, bool cut);
    void storeDown(bool down);
    /** Sets whether the store executes writes but loses their answers from now on. */
    void storeLosesAnswers(bool loses);
    /** Sets whether calls to the platform to promote a member remain unanswered. */
    void promotionsDown(bool down);
    /**
     * Sets whether promotion calls of the VM are held up on the way, as by a partition from the platform. They arrive when this ends, except those whose timeout
     * has passed: the VM has reset their connections.
     */
    void holdUpPromotions(unsigned vm, bool heldUp);
    void killVm(unsigned vm);
    void startVm(unsigned vm);
    void freezeVm(unsigned vm, bool frozen);
    void drainVm(unsigned vm);
    void crashMember(unsigned member);
    /** Resets the connections of all VMs to the member, which continues to run its statements. */
    void resetConnections(unsigned member);
    void restartMember(unsigned member);
    /** Starts a crashed member again under its id without its log; the directory shows its new start time from \p listedAfter on. */
    void restartMemberEmpty(unsigned member, Duration listedAfter);
    void memberLeaves(unsigned member);
    /** Sets whether the member refuses new connections, as at its connection limit. */
    void memberIsFull(unsigned member, bool full);
    void setFault(unsigned member, const MemberFault &fault);
    /** Adds or removes a directory entry of another writer that cannot be parsed. */
    void garbleEntry(const std::string &name, bool garbled);
    void newConfiguration(const std::function<void(SessionConfiguration &)> &change);
    /** Sets the transfer time of store answers that hold a configuration, as over a link of low bandwidth. */
    void configurationTakes(Duration transfer);
    /** Sets whether watches with a long wait miss changes; watches that return at once still report them. */
    void watchesAreDeaf(bool deaf);
    /** Sets whether all watches miss changes, however long they wait. */
    void watchesAreSilent(bool silent);
    /** Discards the change history of the store: watches and checks from an older revision are answered that the history is gone. */
    void dropHistory();
    /** Sets whether watches and checks report a change in an unreadable form; full reads remain readable. */
    void garbleEvents(bool garbled);
    /** Makes the VM's connections to the store unresponsive for good: its watch reports nothing more, and the next calls on existing connections time out. */
    void silenceStoreConnections(unsigned vm);
    /** Sets whether the VM's calls to the configuration mirrors of other VMs remain unanswered; datagrams are still delivered. */
    void mirrorsAreCutFrom(unsigned vm, bool cut);

    [[nodiscard]] ProxyState &vm(unsigned vm);
    /** Returns the first group. */
    [[nodiscard]] Standin::LineGroupModel &group();
    /** Number of heartbeats sent by all VMs, and of calls to the store by kind, since the start. */
    [[nodiscard]] std::uint64_t heartbeats() const;
    [[nodiscard]] const std::map<std::string, std::uint64_t> &storeCalls() const;
    /** Number of connections that VMs tried to open for statements of organisations, since the start. */
    [[nodiscard]] std::uint64_t openings() const;
    [[nodiscard]] bool ready(unsigned vm) const;
    [[nodiscard]] bool runs(unsigned vm) const;
    /** Returns the VM that leads the group, if there is one. */
    [[nodiscard]] std::optional<unsigned> leader(unsigned group = 0) const;
    [[nodiscard]] unsigned promotions() const;
    [[nodiscard]] const std::vector<std::string> &violations() const;
    /** Ids of the statements that were unanswered when their VM closed their session or exited by itself. */
    [[nodiscard]] const std::vector<std::string> &cutOff() const;
    /** Returns the statements that arrived at the member since the start. */
    [[nodiscard]] StatementTries tries(unsigned member) const;
    /** Time at which the member last ran a client's statement that was the first of its operation. */
    [[nodiscard]] Time lastRun(unsigned member) const;
    /** Total time for which statements and connection attempts have occupied or will occupy slots; zero if slots are unlimited. */
    [[nodiscard]] Duration slotTime() const;
    /** Returns the log events of one number, as "MS vm: field=value ...". */
    [[nodiscard]] std::vector<std::string> logged(LogNumber number) const;
    /** Returns the notes of the simulation and all log events, oldest first. */
    [[nodiscard]] std::vector<std::string> story() const;
    /** Returns all log events as the lines of a log file; the simulation starts at 03:00 of an arbitrary day. */
    [[nodiscard]] std::string logText() const;
    /** Adds a note to story(). */
    void note(const std::string &text);
    /** Checks the answers given to clients against the members' logs. */
    void checkLogs();

    /** Returns the times at which members ran operations of the organisation, oldest first. */
    [[nodiscard]] const std::vector<Time> &operationsOf(const OrganisationId &organisation);
    /** Returns the maximum number of operations of the organisation that members ran in any span of \p window. */
    [[nodiscard]] std::size_t mostOperations(const OrganisationId &organisation, Duration window);
    /** Returns the id "org-N" of an organisation; keyOf() returns its key "key-N". */
    static OrganisationId organisationId(unsigned organisation);
    static std::string keyOf(unsigned organisation);

    static MemberId memberId(unsigned member);
    /** Returns the name of a database of \p group, such as "ledger-1". */
    static std::string databaseOf(const std::string &kind, unsigned group);

private:
    struct Vm
    {
        std::string name_;
        std::string address_;
        ZoneId zone_;
        std::optional<ProxyState> state_;
        std::uint64_t incarnation_ = 0;
        std::uint64_t wakeUp_ = 0;
        bool frozen_ = false;
        unsigned silentConnections_ = 0; ///< Number of existing connections to the store that are unresponsive.
        unsigned silenceCount_ = 0; ///< Number of times that the connections to the store became unresponsive.
        bool ready_ = false;
        std::vector<EventBody> queuedEvents_; ///< Events that arrived while the VM was frozen.
        std::map<ConnectionId, unsigned> connections_;
        std::map<ConnectionId, OrganisationId> connectionOrganisations_; ///< Organisation for which each connection was opened.
    };
    struct Scheduled
    {
        Time at_;
        std::uint64_t order_ = 0;
        std::function<void()> step_;
    };
    struct Later
    {
        bool operator()(const Scheduled &a, const Scheduled &b) const
        {
            return std::pair(a.at_, a.order_) > std::pair(b.at_, b.order_);
        }
    };
    struct Store
    {
        std::uint64_t revision_ = 10;
        SessionConfiguration configuration_;
        std::uint64_t configurationRevision_ = 10;
        std::uint64_t oldestRevision_ = 0; ///< Oldest revision from which changes are known.
        std::vector<DirectoryEntry> members_;
        std::set<std::string> unreadableEntries_; ///< Names of entries that cannot be parsed.
        std::map<std::string, EntryVm> vms_;
        std::map<ServiceId, LeaderClaim> claims_;
    };
    /** A promotion call that has not reached the platform yet. */
    struct HeldUpPromotion
    {
        std::uint64_t number_ = 0;
        unsigned vm_ = 0;
        std::uint64_t incarnation_ = 0;
        CallPromotion effect_;
    };
    struct Acknowledged
    {
        std::string id_;
        unsigned group_ = 0;
        LogPoint point_;
        Time at_;
    };
    /** Commits that a read, or the transaction that it is part of, must include. */
    struct ReadNeed
    {
        std::optional<LogPoint> own_;
        Time sent_;
    };

    /** Returns the group of \p member. */
    Standin::LineGroupModel &groupOf(unsigned member);
    void disconnect(unsigned vm, ConnectionId connection);
    void schedule(Time at, std::function<void()> step);
    void deliverEvent(unsigned vm, EventBody body);
    void deliverEvent(unsigned vm, std::uint64_t incarnation, EventBody body);
    void perform(unsigned vm, const Effect &effect);
    void perform(unsigned vm, const SessionEffect &effect);
    void openConnection(unsigned vm, const OpenConnection &effect);
    /** Refuses the connection attempt if the member is down or full; returns whether it did. */
    bool refuseIfUnavailable(unsigned vm, unsigned member, const OpenConnection &effect);
    void openAtBusyMember(unsigned vm, unsigned member, std::uint64_t incarnation, const OpenConnection &effect);
    /** Assigns \p work that arrives at \p arrives to the slot of \p member that is free first; returns the time of completion. */
    Time scheduleWork(unsigned member, Time arrives, Duration work);
    [[nodiscard]] bool isFull(unsigned member);
    void sendToMember(unsigned vm, const SendToMember &effect);
    /** Returns the fault of the member as this VM sees it. */
    [[nodiscard]] MemberFault faultOf(unsigned vm, unsigned member) const;
    /** Returns the error with which a faulty member answers a statement, None if it runs it, or Timeout if it does not answer. */
    ReplyCode drawFailure(unsigned vm, unsigned member);
    void runAtMember(unsigned vm, std::uint64_t incarnation, const SendToMember &effect);
    /** Delivers the answer of a member. The answer to a statement that \p committed an entry is held until enough replicas have received that entry. */
    void answerFromMember(unsigned vm,
                          std::uint64_t incarnation,
                          unsigned member,
                          const SendToMember &effect,
                          const Standin::LineAnswer &answer,
                          std::optional<LogPoint> committed);
    /** Reports acknowledged commits that \p member, which has just been promoted, lacks in a group with synchronous replicas. */
    void checkPromoted(unsigned member);
    void loseConnection(unsigned vm, ConnectionId connection);
    void callStore(unsigned vm, const StoreCall &call);
    /** Delivers the answer to \p call, sent at \p askedAt, after the transfer time, or an unknown result at its timeout if that is earlier. */
    void answerConfiguration(unsigned vm, const StoreCall &call, StoreAnswered answer, Time askedAt);
    void callMirror(unsigned vm, const StoreCall &call);
    /** Ends the call with an unknown result at its timeout, as when packets are lost. */
    void endCallAtTimeout(unsigned vm, const StoreCall &call);
    StoreAnswered execute(const StoreCall &call);
    /** Delivers \p answer when it has been transferred over a link that \p active answers share, or an unknown result if that takes longer than the call. */
    void transfer(unsigned vm, const StoreCall &call, StoreAnswered answer, double bytesPerSecond, unsigned &active);
    [[nodiscard]] double bytesOf(const StoreContent &content) const;
    StoreAnswered executeWrite(CallId id, const WriteClaim &write);
    void sendHeartbeat(unsigned vm, const SendHeartbeat &effect);
    void callPromotion(unsigned vm, const CallPromotion &effect);
    void receivePromotion(unsigned vm, std::uint64_t incarnation, const CallPromotion &effect);
    void sendDatagram(unsigned vm, const std::string &address, const SessionEvent &event);
    /** Records the organisation of a statement and checks that it is the one for which the connection was opened. */
    void checkOrganisation(unsigned vm, const SendToMember &effect, const SessionReply &reply);
    void recordAnswer(unsigned vm, const AnswerSession &effect);
    void recordOperation(const WorldClient &client, const ClientStatement &statement, bool begins);
    void recordAcknowledgedWrite(WorldClient &client, const ClientAnswer &answer);
    void checkRead(const WorldClient &client, const ClientAnswer &answer);
    void reportViolation(const std::string &what);
    /** Closes the client's connection on behalf of its VM. */
    void closeFromVm(WorldClient &client);
    void exitVm(unsigned vm);
    WorldClient *findClient(unsigned vm, SessionKey key);
    ConnectionId worldConnection(unsigned vm, ConnectionId connection) const;

    SessionWorldConfig config_;
    std::mt19937_64 random_;
    Time now_{std::chrono::seconds(1000)};
    std::uint64_t order_ = 0;
    std::uint64_t heartbeats_ = 0;
    std::map<std::string, std::uint64_t> storeCalls_;
    unsigned storeTransfers_ = 0; ///< Answers of the store that are under way.
    std::map<unsigned, unsigned> mirrorTransfers_; ///< The same by VM that answers.
    std::priority_queue<Scheduled, std::vector<Scheduled>, Later> queue_;
    std::vector<Vm> vms_;
    std::vector<Standin::LineGroupModel> groups_;
    Store store_;
    bool watchesMissChanges_ = false;
    bool unreadableEvents_ = false;
    std::set<unsigned> mirrorCuts_;
    bool storeDown_ = false;
    bool storeLosesAnswers_ = false;
    bool promotionsDown_ = false;
    std::set<unsigned> promotionHolds_; ///< VMs whose promotion calls are held up.
    std::vector<HeldUpPromotion> heldUpPromotions_;
    std::uint64_t nextPromotion_ = 1;
    Duration configurationTransferTime_{}; ///< Transfer time of a configuration.
    bool longWatchesMissChanges_ = false;
    std::set<std::pair<unsigned, unsigned>> vmMemberCuts_;
    bool cutsReset_ = false;
    std::set<std::pair<unsigned, unsigned>> vmCuts_;
    std::set<unsigned> storeCuts_;
    std::set<unsigned> fullMembers_;
    std::map<unsigned, MemberFault> faults_;
    std::map<unsigned, StatementTries> tries_;
    std::mt19937_64 faultRandom_{1};
    std::map<unsigned, std::vector<Time>> slots_; ///< Time at which each slot becomes free, keyed by member.
    Duration slotTime_{};
    std::map<std::string, Duration> work_; ///< Execution time where it is not workTime_, keyed by statement id.
    OnAnswer onAnswer_;
    std::vector<WorldClient> clients_;
    std::uint64_t nextStatement_ = 1;
    std::map<std::string, ReadNeed> needs_; ///< Keyed by statement id.
    std::map<std::size_t, ReadNeed> transactionNeeds_; ///< Needs as of the BEGIN of the open transaction, keyed by client.
    std::map<std::size_t, std::string> transactionWrites_; ///< Last write of the open transaction, keyed by client.
    std::vector<Acknowledged> acknowledged_;
    std::set<std::string> reportedNotRun_;
    std::map<ServiceId, std::uint64_t> highestGenerations_;
    std::map<std::pair<ServiceId, std::uint64_t>, std::string> promoters_; ///< VM that called for a promotion, keyed by group and generation.
    unsigned promotions_ = 0;
    std::vector<std::string> violations_;
    std::vector<std::string> cutOff_;
    std::vector<std::pair<LogNumber, std::string>> log_;
    std::map<unsigned, Time> lastRuns_;
    std::map<std::string, OrganisationId> requestingOrganisations_; ///< Keyed by statement id; only statements of clients that gave a key.
    std::set<std::string> operations_; ///< Ids of statements that are, or begin, an operation.
    std::map<OrganisationId, std::vector<Time>> operationsRun_;
    std::vector<std::string> story_;
    std::string logText_;
    BeforeEvent beforeEvent_;
    DatagramFault datagramFault_;
    std::uint64_t openings_ = 0; ///< Connection attempts for organisations.
};

} // namespace Figward::Testing
