/** \file
 * Defines a trial: a world, callers with sessions that switch between proxies, faults that end by themselves, and the oracle.
 */
#pragma once

#include "fuzz/Oracle.h"
#include "support/World.h"

namespace Figward::Testing {

/** Kind of a step of a trial. */
enum class ActionKind {
    Write,
    Read,
    Retry, ///< Retries, with the same key, a write whose outcome the caller does not know.
    Transact, ///< Executes the next step of the session's transaction.
    Wait,
    CutZones,
    CutPlatform,
    PauseProxy,
    KillProxy,
    DrainProxy,
    KillMember,
    PauseMember,
    LagMember,
    PlatformDown,
    PlatformLossy,
    PeersFaulty,
};
constexpr std::size_t actionKinds = 16;

/** One step. Each index is taken modulo the number of available objects. */
struct Action
{
    ActionKind kind_ = ActionKind::Wait;
    std::size_t who_ = 0; ///< Session, or target of the fault.
    std::size_t where_ = 0; ///< Proxy, group or second zone.
    std::size_t choice_ = 0; ///< Variant of the kind.
    Duration time_{}; ///< Duration of the wait or fault.
};

/** Text of \p action, as failure reports show it. */
std::string toString(const Action &action);

/** A caller's session. */
struct Session
{
    SessionId id_;
    SessionToken token_;
    Sequence next_{1};
    bool busy_ = false;
    std::optional<WriteNumber> open_; ///< Write whose outcome is unknown to the caller.
    std::map<std::pair<GroupId, std::string>, std::set<std::string>> acknowledgedTags_; ///< Tags of the writes acknowledged to the session, by value.
    TransactionId transaction_;
    ProxyIndex transactionProxy_ = 0;
    WriteNumber transactionWrite_ = 0;
};

/** A trial. */
class Trial
{
public:
    explicit Trial(std::uint64_t seed);

    void perform(const Action &action);
    /** Ends all faults, waits until the groups agree, and compares their logs with the answers to callers. */
    void finish();
    [[nodiscard]] const std::vector<std::string> &violations() const;
    [[nodiscard]] const FuzzCounts &counts() const;
    [[nodiscard]] World &world();
    /** Events, effects and actions so far; only the last ones if there are many. */
    [[nodiscard]] std::string trace() const;

private:
    /** A tag and the time at which its write was acknowledged. */
    struct Acknowledged
    {
        std::string tag_;
        Time at_;
    };

    void write(Session &session, const Action &action);
    void retry(Session &session, const Action &action);
    void read(Session &session, const Action &action);
    void transact(Session &session, const Action &action);
    void begin(Session &session, const Action &action);
    void stepWrite(Session &session, const Action &action);
    void stepRead(Session &session, const Action &action);
    void commit(Session &session);
    void rollBack(Session &session);
    void fault(const Action &action);
    void faultOfPlatform(const Action &action);
    void sendWrite(Session &session, ProxyIndex proxy, WriteNumber number, Request request);
    void ask(Session &session, ProxyIndex proxy, Request request, std::function<void(const std::optional<Answer> &)> reply);
    static void endTransaction(Session &session);
    Request makeStepRequest(const Session &session, RequestKind kind);
    void recordDone(Session &session, WriteNumber number);
    void checkOutcome(const Request &request, ProxyIndex proxy, Time askedAt, const std::optional<Answer> &answer);
    std::optional<Answer> writeWithRetries(ProxyIndex proxy, Request request);
    void checkRecovered(std::size_t group);
    [[nodiscard]] std::set<std::string> writtenBefore(const GroupId &group, const std::string &key, Time before) const;
    Session *freeSession(std::size_t who);

    std::vector<std::string> lines_;
    World world_;
    Oracle oracle_;
    std::vector<Session> sessions_;
    std::map<std::pair<GroupId, std::string>, std::vector<Acknowledged>> acknowledged_;
    Time faultEffectsUntil_; ///< Until this time, faults or their after-effects may explain an unknown outcome.
    std::size_t unanswered_ = 0;
};

} // namespace Figward::Testing
