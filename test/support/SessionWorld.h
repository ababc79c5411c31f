/** \file
 * Defines a world in virtual time for proxies that serve database sessions: VMs, groups of members, the store, clients, and faults between them.
 *
 * Every proxy is a real ProxyState driven by reduce(); members are LineGroupModel; the store is a typed model with revisions and conditions. The world
 * checks, as answers come, what clients are promised: violations() lists what was broken.
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

/** Shape of a world. */
struct SessionWorldConfig
{
    unsigned vms_ = 4; ///< Over three availability zones in turn.
    unsigned members_ = 3; ///< Of each group; one a zone, the first is the primary.
    unsigned groups_ = 1;
    unsigned maxConnections_ = 34; ///< By the configuration; members refuse more only if they have slots.
    unsigned slots_ = 0; ///< Openings and statements that a member works on at once, the others in their order; zero: any number.
    Duration openTime_ = std::chrono::milliseconds(12); ///< That an opening takes at the member.
    unsigned syncReplicas_ = 0;
    unsigned organisations_ = 0; ///< "org-0" and on, each with the key "key-0" and on; zero: the configuration knows none.
    OrganisationLimits limits_; ///< Of each organisation.
    std::uint64_t seed_ = 1;
    Duration networkDelay_ = std::chrono::milliseconds(1);
    Duration workTime_ = std::chrono::milliseconds(12);
    Duration promotionTime_ = std::chrono::milliseconds(300);
};

/** The one answer to a statement. */
struct ClientAnswer
{
    std::string id_;
    SessionReply reply_;
    Time at_;
};

/** What a client asks of a world: one operation of a few statements, the next sent when the one before is answered. */
struct WorldClient
{
    unsigned vm_ = 0;
    SessionKey key_;
    std::string database_;
    unsigned group_ = 0; ///< Of the database.
    std::string keyName_; ///< The key that it named; empty: none.
    std::optional<LogPoint> lastCommit_;
    bool open_ = false;
    bool refused_ = false;
    bool closed_ = false;
    std::vector<ClientAnswer> answers_;
    std::set<std::string> sent_;
    std::deque<std::string> unanswered_; ///< Oldest first; statements of a session are answered in their order.
};

/** The world. VMs are numbered from 0 and named "vm-0" and on; members are "member-0" and on, those of the first group first, in zone "zone-0" and on. */
class SessionWorld
{
public:
    explicit SessionWorld(const SessionWorldConfig &config = {});

    /** Called before a VM takes an event in; may alter its state. */
    using BeforeEvent = std::function<void(ProxyState &state, EventBody &event, Time now)>;
    void setBeforeEvent(BeforeEvent beforeEvent);

    /** Lets time pass. */
    void run(Duration duration);
    /** Runs \p step at \p delay from now. */
    void after(Duration delay, std::function<void()> step);
    [[nodiscard]] Time now() const;

    /**
     * Opens a session at \p vm for \p database: "ledger" (primary), "history" (1,500 ms) or "dispatch" (own writes, 2,500 ms) of the first group, "ledger-1" and
     * so on of the others.
     */
    std::size_t open(unsigned vm, const std::string &database, const std::string &key = {});
    /** Sends a statement; returns its id. */
    std::string send(std::size_t client, StatementKind kind, const std::string &text = {});
    /** The member works on the statement with this id for so long, in place of workTime_. */
    void setWork(const std::string &id, Duration work);
    /** Called when a client's statement was answered; must not let time pass. */
    using OnAnswer = std::function<void(std::size_t client, const ClientAnswer &answer)>;
    void setOnAnswer(OnAnswer onAnswer);
    /** Sends any statement. */
    void send(std::size_t client, const ClientStatement &statement);
    void close(std::size_t client);
    /** The answer to \p id, if it has come. */
    [[nodiscard]] const SessionReply *answerTo(std::size_t client, const std::string &id) const;
    /** Sends a statement and lets time pass until it is answered, \p limit at most. */
    SessionReply ask(std::size_t client, StatementKind kind, const std::string &text = {}, Duration limit = std::chrono::seconds(3));
    [[nodiscard]] const WorldClient &client(std::size_t client) const;

    // Faults
    void cutVmFromMember(unsigned vm, unsigned member, bool cut);
    /** Cuts between VMs and members from now on answer packets with resets; otherwise they lose them. */
    void cutsReset(bool reset);
    void cutVms(unsigned a, unsigned b, bool cut);
    void cutVmFromStore(unsigned vm, bool cut);
    void storeDown(bool down);
    /** Writes from now on are done, and their answers lost. */
    void storeLosesAnswers(bool loses);
    /** The platform's call to promote is not answered. */
    void promotionsDown(bool down);
    void killVm(unsigned vm);
    void startVm(unsigned vm);
    void freezeVm(unsigned vm, bool frozen);
    void drainVm(unsigned vm);
    void crashMember(unsigned member);
    /** The connections of all VMs to the member are reset; it goes on, with what it was running. */
    void resetConnections(unsigned member);
    void restartMember(unsigned member);
    void memberLeaves(unsigned member);
    /** The member refuses new connections, as one does that has as many as it takes. */
    void memberIsFull(unsigned member, bool full);
    /** Another writer leaves an entry that cannot be understood, or takes it away. */
    void garbleEntry(const std::string &name, bool garbled);
    void newConfiguration(const std::function<void(SessionConfiguration &)> &change);
    /** Answers of the store that hold a configuration take this long to arrive from now on, as over a small link. */
    void configurationTakes(Duration transfer);
    /** Watches that wait for long hear no change; those that end at once do. */
    void watchesAreDeaf(bool deaf);
    /** No watch hears a change, however long it waits. */
    void watchesAreSilent(bool silent);
    /** The store forgets what changed before: watches and checks from then are told so. */
    void dropHistory();
    /** Watches and checks answer a change with something that cannot be read; reads of the whole can be. */
    void garbleEvents(bool garbled);
    /** The VM's connections to the store go silent for good: its watch hears nothing more, and the next calls on kept connections are not answered. */
    void silenceStoreConnections(unsigned vm);
    /** The VM's calls to the mirrors of others are not answered; datagrams pass. */
    void mirrorsAreCutFrom(unsigned vm, bool cut);

    [[nodiscard]] ProxyState &vm(unsigned vm);
    /** The first group. */
    [[nodiscard]] Standin::LineGroupModel &group();
    /** Datagrams that VMs have sent, and calls to the store by kind, since the start. */
    [[nodiscard]] std::uint64_t heartbeats() const;
    [[nodiscard]] const std::map<std::string, std::uint64_t> &storeCalls() const;
    [[nodiscard]] bool ready(unsigned vm) const;
    [[nodiscard]] bool runs(unsigned vm) const;
    /** The VM that leads the group, if one does. */
    [[nodiscard]] std::optional<unsigned> leader(unsigned group = 0) const;
    [[nodiscard]] unsigned promotions() const;
    [[nodiscard]] const std::vector<std::string> &violations() const;
    /** When the member last ran a client's statement that was the first of its operation. */
    [[nodiscard]] Time lastRun(unsigned member) const;
    /** Log events of one number, as "MS vm: field=value ...". */
    [[nodiscard]] std::vector<std::string> logged(LogNumber number) const;
    /** What the world itself did, and all log events, oldest first. */
    [[nodiscard]] std::vector<std::string> story() const;
    /** All log events as the lines of a file; the world begins at 03:00 of an arbitrary day. */
    [[nodiscard]] std::string logText() const;
    /** Notes what a test does for story(). */
    void note(const std::string &text);
    /** Compares what clients were told with the members' logs. */
    void checkLogs();

    /** When members ran operations of the organisation, in their order. */
    [[nodiscard]] const std::vector<Time> &operationsOf(const OrganisationId &organisation);
    /** Most operations of the organisation that members ran in any span of \p window. */
    [[nodiscard]] std::size_t mostOperations(const OrganisationId &organisation, Duration window);
    /** "org-N" and its key "key-N". */
    static OrganisationId organisationId(unsigned organisation);
    static std::string keyOf(unsigned organisation);

    static MemberId memberId(unsigned member);
    /** Name of a database of \p group, such as "ledger-1". */
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
        unsigned silentConnections_ = 0; ///< Kept ones to the store, that answer nothing.
        unsigned silences_ = 0; ///< How often those connections have gone silent.
        bool ready_ = false;
        std::vector<EventBody> held_; ///< Came while it was frozen.
        std::map<ConnectionId, unsigned> connections_;
        std::map<ConnectionId, OrganisationId> callers_; ///< For whom each connection was opened.
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
        std::uint64_t oldestRevision_ = 0; ///< Changes before are forgotten.
        std::vector<DirectoryEntry> members_;
        std::set<std::string> garbled_; ///< Names of entries that cannot be understood.
        std::map<std::string, EntryVm> vms_;
        std::map<ServiceId, LeaderClaim> claims_;
    };
    struct Acknowledged
    {
        std::string id_;
        unsigned group_ = 0;
        LogPoint point_;
        Time at_;
    };
    /** What a read, or the transaction that it is part of, must include. */
    struct ReadNeed
    {
        std::optional<LogPoint> own_;
        Time sent_;
    };

    /** The group that \p member is one of. */
    Standin::LineGroupModel &groupOf(unsigned member);
    void disconnect(unsigned vm, ConnectionId connection);
    void schedule(Time at, std::function<void()> step);
    void give(unsigned vm, EventBody body);
    void give(unsigned vm, std::uint64_t incarnation, EventBody body);
    void perform(unsigned vm, const Effect &effect);
    void perform(unsigned vm, const SessionEffect &effect);
    void openConnection(unsigned vm, const OpenConnection &effect);
    /** Refuses the opening if the member is down or full; true if so. */
    bool refuseOpening(unsigned vm, unsigned member, const OpenConnection &effect);
    void openAtBusyMember(unsigned vm, unsigned member, std::uint64_t incarnation, const OpenConnection &effect);
    /** When \p member has done \p work that comes at \p arrives: it takes the slot that is free first. */
    Time workDone(unsigned member, Time arrives, Duration work);
    [[nodiscard]] bool isFull(unsigned member);
    void sendToMember(unsigned vm, const SendToMember &effect);
    void runAtMember(unsigned vm, std::uint64_t incarnation, const SendToMember &effect);
    void loseConnection(unsigned vm, ConnectionId connection);
    void callStore(unsigned vm, const StoreCall &call);
    /** Gives the answer to \p call, asked at \p askedAt, when it has arrived, or none when its time is over. */
    void answerConfiguration(unsigned vm, const StoreCall &call, StoreAnswered answer, Time askedAt);
    void callMirror(unsigned vm, const StoreCall &call);
    /** The call ends when its time is over: nothing refuses it. */
    void answerNothing(unsigned vm, const StoreCall &call);
    StoreAnswered execute(const StoreCall &call);
    StoreAnswered executeWrite(CallId id, const WriteClaim &write);
    void sendHeartbeat(unsigned vm, const SendHeartbeat &effect);
    void callPromotion(unsigned vm, const CallPromotion &effect);
    void sendDatagram(unsigned vm, const std::string &address, const SessionEvent &event);
    /** Notes for whom a statement runs, and compares it with whom the member was told when the connection was opened. */
    void checkOrganisation(unsigned vm, const SendToMember &effect, const SessionReply &reply);
    void takeAnswer(unsigned vm, const AnswerSession &effect);
    void noteOperation(const WorldClient &client, const ClientStatement &statement, bool begins);
    void noteAcknowledged(WorldClient &client, const ClientAnswer &answer);
    void checkRead(const WorldClient &client, const ClientAnswer &answer);
    void violate(const std::string &what);
    WorldClient *findClient(unsigned vm, SessionKey key);
    ConnectionId worldConnection(unsigned vm, ConnectionId connection) const;

    SessionWorldConfig config_;
    std::mt19937_64 random_;
    Time now_{std::chrono::seconds(1000)};
    std::uint64_t order_ = 0;
    std::uint64_t heartbeats_ = 0;
    std::map<std::string, std::uint64_t> storeCalls_;
    std::priority_queue<Scheduled, std::vector<Scheduled>, Later> queue_;
    std::vector<Vm> vms_;
    std::vector<Standin::LineGroupModel> groups_;
    Store store_;
    bool silentWatches_ = false;
    bool garbledEvents_ = false;
    std::set<unsigned> mirrorCuts_;
    bool storeDown_ = false;
    bool storeLosesAnswers_ = false;
    bool promotionsDown_ = false;
    Duration transfer_{}; ///< Of a configuration.
    bool deafWatches_ = false;
    std::set<std::pair<unsigned, unsigned>> vmMemberCuts_;
    bool cutsReset_ = false;
    std::set<std::pair<unsigned, unsigned>> vmCuts_;
    std::set<unsigned> storeCuts_;
    std::set<unsigned> fullMembers_;
    std::map<unsigned, std::vector<Time>> slots_; ///< By member: when each of its slots is free.
    std::map<std::string, Duration> work_; ///< By statement id, where it is not workTime_.
    OnAnswer onAnswer_;
    std::vector<WorldClient> clients_;
    std::uint64_t nextStatement_ = 1;
    std::map<std::string, ReadNeed> needs_; ///< By statement id.
    std::map<std::size_t, ReadNeed> transactionNeeds_; ///< By client, from its BEGIN.
    std::map<std::size_t, std::string> transactionWrites_; ///< The last of each client's open transaction.
    std::vector<Acknowledged> acknowledged_;
    std::set<std::string> promisedNotRun_;
    std::map<ServiceId, std::uint64_t> highestGenerations_;
    std::map<std::pair<ServiceId, std::uint64_t>, std::string> holders_; ///< Who promoted, by group and generation.
    unsigned promotions_ = 0;
    std::vector<std::string> violations_;
    std::vector<std::pair<LogNumber, std::string>> log_;
    std::map<unsigned, Time> lastRuns_;
    std::map<std::string, OrganisationId> askedBy_; ///< By statement id, where its client named a key.
    std::set<std::string> operations_; ///< Ids of statements that are, or begin, an operation.
    std::map<OrganisationId, std::vector<Time>> operationsRun_;
    std::vector<std::string> story_;
    std::string logText_;
    BeforeEvent beforeEvent_;
};

} // namespace Figward::Testing
