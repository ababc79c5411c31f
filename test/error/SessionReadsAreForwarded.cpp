#include "ConnectionHolder.h"
#include "Overloaded.h"
#include "Reducer.h"
#include "support/SessionWorld.h"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>
#include <random>

using namespace Figward;
using namespace Figward::Testing;
using namespace testing;

namespace {

constexpr Duration startTime = std::chrono::seconds(6);
const ServiceId service("ledger-group");
/** Time within which a read is answered although its holder does not: two timeouts, an opening, and the work. */
constexpr Duration fallbackTime = std::chrono::milliseconds(250);

/** Twelve VMs, four in each zone, for whose number the members have too few connections. */
SessionWorldConfig smallWorld(std::uint64_t seed = 1)
{
    SessionWorldConfig config;
    config.vms_ = 12;
    config.maxConnections_ = 20;
    config.organisations_ = 4;
    config.seed_ = seed;
    return config;
}

void setPolicy(SessionWorld &world, unsigned vms, bool forwards)
{
    for (unsigned vm = 0; vm < vms; ++vm) {
        world.vm(vm).sessions_->identity_.policies_.forwardsReads_ = forwards;
    }
}

/** The VM that holds the connections of the organisation in \p zone, in a world of \p vms VMs. */
unsigned holderIn(unsigned zone, unsigned organisation, unsigned vms = 12)
{
    std::vector<std::string> names;
    for (unsigned vm = zone; vm < vms; vm += 3) {
        names.push_back(absl::StrCat("vm-", vm));
    }
    const std::string holder = connectionHolder(SessionWorld::organisationId(organisation), service, names);
    return static_cast<unsigned>(std::stoul(holder.substr(3)));
}

/** Another VM of the zone of \p holder. */
unsigned neighbourOf(unsigned holder)
{
    return (holder + 3) % 12;
}

ForwardingState &forwardingOf(SessionWorld &world, unsigned vm)
{
    return world.vm(vm).sessions_->forwarding_;
}

/** Returns the sums over the first \p vms VMs that run. */
ForwardingTotals totalsOf(SessionWorld &world, unsigned vms)
{
    ForwardingTotals sums;
    for (unsigned vm = 0; vm < vms; ++vm) {
        if (world.runs(vm)) {
            const ForwardingTotals &totals = forwardingOf(world, vm).totals_;
            sums.forwarded_ += totals.forwarded_;
            sums.answered_ += totals.answered_;
            sums.fallbacks_ += totals.fallbacks_;
        }
    }
    return sums;
}

Duration timeOf(const SessionWorld &world, std::size_t client, const std::string &id, Time sent)
{
    for (const ClientAnswer &answer : world.client(client).answers_) {
        if (answer.id_ == id) {
            return answer.at_ - sent;
        }
    }
    return std::chrono::hours(1);
}

/** Sends a read every 10 ms at \p vm for \p duration, each in a session of its own, and waits for the answers; returns the sessions and the ids. */
std::vector<std::pair<std::size_t, std::string>> readSteadily(SessionWorld &world, unsigned vm, Duration duration)
{
    std::vector<std::pair<std::size_t, std::string>> reads;
    for (const Time end = world.now() + duration; world.now() < end; world.run(std::chrono::milliseconds(10))) {
        const std::size_t client = world.open(vm, "dispatch", SessionWorld::keyOf(0));
        reads.emplace_back(client, world.send(client, StatementKind::Read, "READ"));
    }
    world.run(fallbackTime);
    return reads;
}

/** Expects that each read was answered once and in success, and that no guarantee was broken. */
void expectServed(SessionWorld &world, const std::vector<std::pair<std::size_t, std::string>> &reads)
{
    for (const auto &[client, id] : reads) {
        const SessionReply *reply = world.answerTo(client, id);
        ASSERT_NE(reply, nullptr) << id;
        EXPECT_EQ(reply->code_, ReplyCode::None) << id << ": " << reply->text_;
        EXPECT_EQ(world.client(client).answers_.size(), 1U);
    }
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

/** Load of many organisations, of sizes 1, 1/2, 1/3 and so on: single statements at random VMs, in sessions that are used again. */
class RankedLoad
{
public:
    RankedLoad(SessionWorld &world, unsigned vms, unsigned organisations, double perSecond, std::uint64_t seed)
        : world_(world)
        , vms_(vms)
        , perSecond_(perSecond)
        , random_(seed)
    {
        std::vector<double> sizes;
        for (unsigned rank = 1; rank <= organisations; ++rank) {
            sizes.push_back(1.0 / rank);
        }
        organisations_ = std::discrete_distribution<unsigned>(sizes.begin(), sizes.end());
        world_.setOnAnswer([this](std::size_t client, const ClientAnswer &answer) { onAnswer(client, answer); });
    }

    void run(Duration duration)
    {
        arrive(world_.now() + duration);
        world_.run(duration + std::chrono::seconds(4));
    }
    unsigned asked_ = 0;
    unsigned inTime_ = 0; ///< Statements that succeeded within their target.

private:
    using Place = std::tuple<unsigned, unsigned, std::string>;
    struct Pending
    {
        Place place_;
        Time sent_;
    };

    void arrive(Time end)
    {
        const double pause = std::exponential_distribution<double>(perSecond_)(random_);
        const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause));
        if (world_.now() + delay < end) {
            world_.after(delay, [this, end] {
                send();
                arrive(end);
            });
        }
    }
    void send()
    {
        // Nearly one in seven statements is a write at the primary; the others are reads.
        constexpr double writes = 0.135;
        constexpr double histories = 0.234;
        const double kind = std::uniform_real_distribution<double>()(random_);
        const std::string database = kind < writes ? "ledger" : kind < writes + histories ? "history" : "dispatch";
        const Place place{static_cast<unsigned>(random_() % vms_), organisations_(random_), database};
        std::vector<std::size_t> &idle = idle_[place];
        if (idle.empty()) {
            idle.push_back(world_.open(std::get<0>(place), database, SessionWorld::keyOf(std::get<1>(place))));
        }
        const std::size_t client = idle.back();
        idle.pop_back();
        pending_[client] = {place, world_.now()};
        ++asked_;
        kind < writes ? world_.send(client, StatementKind::Write, "WRITE") : world_.send(client, StatementKind::Read, "READ");
    }
    void onAnswer(std::size_t client, const ClientAnswer &answer)
    {
        constexpr Duration target = std::chrono::milliseconds(250);
        const auto found = pending_.find(client);
        inTime_ += answer.reply_.code_ == ReplyCode::None && answer.at_ - found->second.sent_ <= target ? 1 : 0;
        idle_[found->second.place_].push_back(client);
        pending_.erase(found);
    }

    SessionWorld &world_;
    unsigned vms_;
    double perSecond_;
    std::mt19937_64 random_;
    std::discrete_distribution<unsigned> organisations_;
    std::map<Place, std::vector<std::size_t>> idle_;
    std::map<std::size_t, Pending> pending_;
};

struct LoadResult
{
    double openings_ = 0; ///< For each statement.
    double inTime_ = 0;
    ForwardingTotals totals_; ///< Of all VMs.
    std::vector<std::string> violations_;
};

/** Runs 1.7 times the usual load of one group, two statements a second for each VM. */
LoadResult runRankedLoad(bool forwards, std::uint64_t seed)
{
    constexpr unsigned vms = 66;
    SessionWorldConfig config;
    config.vms_ = vms;
    config.maxConnections_ = 50;
    config.slots_ = 4;
    config.organisations_ = 75;
    config.workTime_ = std::chrono::milliseconds(18);
    config.seed_ = seed;
    SessionWorld world(config);
    setPolicy(world, vms, forwards);
    world.run(startTime);
    const std::uint64_t before = world.openings();
    RankedLoad load(world, vms, config.organisations_, 1.7 * 2 * vms, seed);
    load.run(std::chrono::seconds(20));
    world.checkLogs();
    LoadResult result;
    result.openings_ = static_cast<double>(world.openings() - before) / load.asked_;
    result.inTime_ = static_cast<double>(load.inTime_) / load.asked_;
    result.totals_ = totalsOf(world, vms);
    result.violations_ = world.violations();
    return result;
}

} // namespace

// Guards against VMs that open a connection for nearly every statement, because each belongs to one organisation and each VM sees few statements of it.
TEST(SessionReadsAreForwarded, soThatConnectionsAreUsedAgain)
{
    for (const std::uint64_t seed : {1U, 2U}) {
        const LoadResult result = runRankedLoad(true, seed);
        RecordProperty(absl::StrCat("openings", seed), std::to_string(result.openings_));
        RecordProperty(absl::StrCat("inTime", seed), std::to_string(result.inTime_));
        EXPECT_LE(result.openings_, 0.6) << seed;
        EXPECT_GE(result.inTime_, 0.97) << seed;
        EXPECT_GE(static_cast<double>(result.totals_.answered_), 0.99 * static_cast<double>(result.totals_.forwarded_));
        EXPECT_THAT(result.violations_, IsEmpty());
    }
}

// Verifies that the load of the test above reproduces the failure: without forwarding, nearly every statement opens a connection.
TEST(SessionReadsAreForwarded, withoutForwardingEveryStatementOpensAConnection)
{
    const LoadResult result = runRankedLoad(false, 1);
    RecordProperty("openings", std::to_string(result.openings_));
    RecordProperty("inTime", std::to_string(result.inTime_));
    EXPECT_GE(result.openings_, 0.85);
    EXPECT_EQ(result.totals_.forwarded_, 0U);
    EXPECT_THAT(result.violations_, IsEmpty());
}

// Guards against a holder that runs a read without the session's values, or on a connection of another organisation.
TEST(SessionReadsAreForwarded, withTheirSessionValues)
{
    SessionWorld world(smallWorld());
    world.run(startTime);
    const unsigned holder = holderIn(0, 0);
    const std::size_t client = world.open(neighbourOf(holder), "dispatch", SessionWorld::keyOf(0));
    ClientStatement set;
    set.id_ = "set";
    set.kind_ = StatementKind::Set;
    set.name_ = "locale";
    set.value_ = "de";
    world.send(client, set);
    EXPECT_EQ(world.ask(client, StatementKind::Read, "READ").code_, ReplyCode::None);
    EXPECT_EQ(forwardingOf(world, neighbourOf(holder)).totals_.answered_, 1U);
    const auto &connections = world.vm(holder).sessions_->connections_;
    const auto hasValues = [&](const auto &entry) {
        return entry.second.organisation_ == SessionWorld::organisationId(0) && entry.second.values_ == std::map<std::string, std::string>{{"locale", "de"}};
    };
    EXPECT_TRUE(std::ranges::any_of(connections, hasValues));
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against a holder that does not know a prepared statement of the session.
TEST(SessionReadsAreForwarded, withTheirPreparedStatements)
{
    SessionWorld world(smallWorld());
    world.run(startTime);
    const unsigned holder = holderIn(1, 2);
    const std::size_t client = world.open(neighbourOf(holder), "dispatch", SessionWorld::keyOf(2));
    ClientStatement statement;
    statement.id_ = "prepare";
    statement.kind_ = StatementKind::Prepare;
    statement.name_ = "stock";
    statement.value_ = "SELECT stock";
    world.send(client, statement);
    statement.id_ = "execute";
    statement.kind_ = StatementKind::Execute;
    statement.value_ = "17";
    world.send(client, statement);
    world.run(std::chrono::milliseconds(200));
    ASSERT_NE(world.answerTo(client, "execute"), nullptr);
    EXPECT_EQ(world.answerTo(client, "execute")->code_, ReplyCode::None);
    EXPECT_EQ(forwardingOf(world, neighbourOf(holder)).totals_.answered_, 1U);
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against a holder that answers from a replica without the session's last write.
TEST(SessionReadsAreForwarded, afterTheWritesOfTheirSession)
{
    SessionWorld world(smallWorld());
    world.run(startTime);
    std::vector<std::size_t> clients;
    for (unsigned vm = 0; vm < 12; ++vm) {
        clients.push_back(world.open(vm, "dispatch", SessionWorld::keyOf(vm % 4)));
    }
    for (int round = 0; round < 30; ++round) {
        for (const std::size_t client : clients) {
            EXPECT_EQ(world.ask(client, StatementKind::Write, "WRITE").code_, ReplyCode::None);
            world.resetConnections(0); // The VM would run the read on the connection of the write, which is idle.
            world.run(std::chrono::milliseconds(5));
            EXPECT_EQ(world.ask(client, StatementKind::Read, "READ").code_, ReplyCode::None);
        }
    }
    EXPECT_GT(totalsOf(world, 12).answered_, 20U);
    world.checkLogs();
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against the quota being charged by the holder as well, which would refuse half of what an organisation may ask for.
TEST(SessionReadsAreForwarded, andCountedOnceInTheQuota)
{
    SessionWorldConfig config = smallWorld();
    config.limits_ = {30, 30};
    SessionWorld world(config);
    world.run(startTime);
    std::vector<std::pair<std::size_t, std::string>> reads;
    std::mt19937_64 random(5);
    for (int round = 0; round < 500; ++round) { // 25 a second
        const std::size_t client = world.open(static_cast<unsigned>(random() % 12), "dispatch", SessionWorld::keyOf(0));
        reads.emplace_back(client, world.send(client, StatementKind::Read, "READ"));
        world.run(std::chrono::milliseconds(40));
    }
    world.run(std::chrono::seconds(2));
    EXPECT_GT(totalsOf(world, 12).forwarded_, 100U);
    expectServed(world, reads);
    EXPECT_EQ(world.operationsOf(SessionWorld::organisationId(0)).size(), reads.size()) << "each read ran once";
}

// Guards against reads that fail, or wait long, because the holder has just stopped or does not respond.
TEST(SessionReadsAreForwarded, andRunHereIfTheHolderIsSilent)
{
    for (const bool killed : {true, false}) {
        SessionWorld world(smallWorld());
        world.run(startTime);
        const unsigned holder = holderIn(0, 0);
        const unsigned vm = neighbourOf(holder);
        const std::size_t client = world.open(vm, "dispatch", SessionWorld::keyOf(0));
        ASSERT_EQ(world.ask(client, StatementKind::Read, "READ").code_, ReplyCode::None);
        ASSERT_EQ(forwardingOf(world, vm).totals_.answered_, 1U);
        killed ? world.killVm(holder) : world.freezeVm(holder, true);
        const Time sent = world.now();
        const auto reads = readSteadily(world, vm, std::chrono::seconds(3));
        world.run(std::chrono::seconds(1));
        expectServed(world, reads);
        EXPECT_LE(timeOf(world, reads.front().first, reads.front().second, sent), fallbackTime);
        EXPECT_LE(forwardingOf(world, vm).totals_.fallbacks_, 13U) << "the reads of 120 ms at most wait for a holder that does not answer";
        EXPECT_THAT(world.logged(LogNumber::HolderSilent), SizeIs(1));
        EXPECT_TRUE(forwardingOf(world, vm).sent_.empty());
        if (!killed) {
            world.freezeVm(holder, false); // Its late answers must not reach any client.
            world.run(std::chrono::seconds(3));
            expectServed(world, reads);
            const std::uint64_t answered = forwardingOf(world, vm).totals_.answered_;
            expectServed(world, readSteadily(world, vm, std::chrono::milliseconds(500)));
            EXPECT_GT(forwardingOf(world, vm).totals_.answered_, answered) << "the holder is used again";
        }
    }
}

// Guards against a link that loses the packets of one direction: heartbeats of the holder still arrive, or its answers do not.
TEST(SessionReadsAreForwarded, andRunHereIfTheLinkIsCutOneWay)
{
    for (const bool towardsHolder : {true, false}) {
        SessionWorld world(smallWorld());
        world.run(startTime);
        const unsigned holder = holderIn(0, 0);
        const unsigned vm = neighbourOf(holder);
        world.setDatagramFault([&](unsigned from, unsigned to, const SessionEvent &) {
            const bool isCut = towardsHolder ? from == vm && to == holder : from == holder && to == vm;
            return isCut ? std::vector<Duration>() : std::vector<Duration>{Duration(0)};
        });
        const auto reads = readSteadily(world, vm, std::chrono::seconds(10));
        world.run(std::chrono::seconds(1));
        expectServed(world, reads);
        EXPECT_GE(forwardingOf(world, vm).totals_.fallbacks_, 1U);
        EXPECT_LE(forwardingOf(world, vm).totals_.fallbacks_, 52U) << "four attempts at the holder at most: after 1, 2 and 4 s";
    }
}

// Guards against answers that are given twice, or to another statement, when datagrams are lost, doubled and late.
TEST(SessionReadsAreForwarded, andAnsweredOnceOverABadNetwork)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        SessionWorld world(smallWorld(seed));
        world.run(startTime);
        std::mt19937_64 random(seed);
        const Overloaded isOfReads{
            [](const ForwardedRead &) { return true; }, [](const ForwardedReadResult &) { return true; }, [](const auto &) { return false; }};
        world.setDatagramFault([&](unsigned, unsigned, const SessionEvent &event) {
            std::vector<Duration> copies{Duration(0)};
            if (std::visit(isOfReads, event)) {
                copies.clear();
                for (std::uint64_t copy = random() % 4; copy > 0; --copy) { // One in four is lost.
                    copies.emplace_back(std::chrono::milliseconds(random() % 3 == 0 ? random() % 400 : 0));
                }
            }
            return copies;
        });
        std::vector<std::pair<std::size_t, std::string>> reads;
        for (int round = 0; round < 1000; ++round) {
            const std::size_t client = world.open(static_cast<unsigned>(random() % 12), "dispatch", SessionWorld::keyOf(static_cast<unsigned>(random() % 4)));
            reads.emplace_back(client, world.send(client, StatementKind::Read, "READ"));
            world.run(std::chrono::milliseconds(10));
        }
        world.run(std::chrono::seconds(2));
        expectServed(world, reads);
        EXPECT_GT(totalsOf(world, 12).answered_, 100U);
        EXPECT_GT(totalsOf(world, 12).fallbacks_, 10U);
        for (unsigned vm = 0; vm < 12; ++vm) {
            EXPECT_TRUE(forwardingOf(world, vm).sent_.empty()) << vm;
            EXPECT_TRUE(forwardingOf(world, vm).received_.empty()) << vm;
            EXPECT_TRUE(forwardingOf(world, vm).receivedKeys_.empty()) << vm;
        }
    }
}

// Guards against a long read that a repeated request starts again.
TEST(SessionReadsAreForwarded, andRunOnceIfTheyTakeLong)
{
    SessionWorld world(smallWorld());
    world.run(startTime);
    const unsigned holder = holderIn(2, 1);
    const std::size_t client = world.open(neighbourOf(holder), "history", SessionWorld::keyOf(1));
    world.setWork("long", std::chrono::milliseconds(400));
    ClientStatement read;
    read.id_ = "long";
    read.kind_ = StatementKind::Read;
    read.text_ = "READ";
    world.send(client, read);
    world.run(std::chrono::milliseconds(500));
    ASSERT_NE(world.answerTo(client, "long"), nullptr);
    EXPECT_EQ(world.answerTo(client, "long")->code_, ReplyCode::None);
    EXPECT_THAT(world.operationsOf(SessionWorld::organisationId(1)), SizeIs(1));
    EXPECT_EQ(forwardingOf(world, neighbourOf(holder)).totals_.answered_, 1U);
    EXPECT_EQ(forwardingOf(world, neighbourOf(holder)).totals_.fallbacks_, 0U);
}

// Guards against a client that waits for a holder beyond the deadline of its statement.
TEST(SessionReadsAreForwarded, andAnsweredByTheirDeadline)
{
    SessionWorld world(smallWorld());
    world.run(startTime);
    const unsigned holder = holderIn(0, 0);
    const std::size_t client = world.open(neighbourOf(holder), "dispatch", SessionWorld::keyOf(0));
    const Time sent = world.now();
    // The holder states again and again that the read is running.
    world.setDatagramFault([&](unsigned, unsigned, const SessionEvent &event) {
        const auto *result = std::get_if<ForwardedReadResult>(&event);
        return result != nullptr && result->outcome_ != ForwardedReadOutcome::Running ? std::vector<Duration>() : std::vector<Duration>{Duration(0)};
    });
    world.setWork("endless", std::chrono::seconds(60));
    ClientStatement read;
    read.id_ = "endless";
    read.kind_ = StatementKind::Read;
    read.text_ = "READ";
    world.send(client, read);
    world.run(std::chrono::seconds(1));
    ASSERT_NE(world.answerTo(client, "endless"), nullptr);
    EXPECT_EQ(totalsOf(world, 12).forwarded_, 1U);
    EXPECT_NE(world.answerTo(client, "endless")->code_, ReplyCode::None);
    EXPECT_LE(timeOf(world, client, "endless", sent), Duration(std::chrono::seconds(1)));
    EXPECT_TRUE(forwardingOf(world, neighbourOf(holder)).sent_.empty());
    world.run(std::chrono::seconds(3));
    EXPECT_THAT(world.client(client).answers_, SizeIs(1));
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against a holder that takes reads while it shuts down, or ends with reads that it has taken.
TEST(SessionReadsAreForwarded, toAHolderThatEndsThemBeforeItStops)
{
    SessionWorld world(smallWorld());
    world.run(startTime);
    const unsigned holder = holderIn(0, 0);
    const unsigned vm = neighbourOf(holder);
    const std::size_t client = world.open(vm, "history", SessionWorld::keyOf(0));
    world.setWork("long", std::chrono::milliseconds(430));
    ClientStatement read;
    read.id_ = "long";
    read.kind_ = StatementKind::Read;
    read.text_ = "READ";
    world.send(client, read);
    world.run(std::chrono::milliseconds(50));
    world.drainVm(holder);
    const Time sent = world.now();
    const std::size_t other = world.open(vm, "dispatch", SessionWorld::keyOf(0));
    const std::string refused = world.send(other, StatementKind::Read, "READ");
    world.run(std::chrono::milliseconds(600));
    ASSERT_NE(world.answerTo(client, "long"), nullptr);
    EXPECT_EQ(world.answerTo(client, "long")->code_, ReplyCode::None);
    EXPECT_EQ(forwardingOf(world, vm).totals_.answered_, 1U);
    EXPECT_LE(timeOf(world, other, refused, sent), Duration(std::chrono::milliseconds(60))) << "the holder refused the read at once";
    EXPECT_EQ(world.answerTo(other, refused)->code_, ReplyCode::None);
    world.run(std::chrono::seconds(8));
    EXPECT_FALSE(world.runs(holder));
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against clients of a fleet that is restarted VM by VM.
TEST(SessionReadsAreForwarded, whileHoldersShutDownInTurn)
{
    SessionWorld world(smallWorld());
    world.run(startTime);
    const unsigned vm = 0;
    std::vector<std::pair<std::size_t, std::string>> reads;
    for (const unsigned stopped : {3U, 6U, 9U}) {
        world.drainVm(stopped);
        const auto more = readSteadily(world, vm, std::chrono::seconds(3));
        reads.insert(reads.end(), more.begin(), more.end());
    }
    world.run(std::chrono::seconds(1));
    EXPECT_GT(forwardingOf(world, vm).totals_.answered_, 0U);
    expectServed(world, reads);
}

// Guards against a result that is given to a later statement of the session or to nobody's, after the client has gone.
TEST(SessionReadsAreForwarded, andForgottenWhenTheClientLeaves)
{
    SessionWorld world(smallWorld());
    world.run(startTime);
    const unsigned holder = holderIn(0, 0);
    const unsigned vm = neighbourOf(holder);
    const std::size_t client = world.open(vm, "dispatch", SessionWorld::keyOf(0));
    world.send(client, StatementKind::Read, "READ");
    world.run(std::chrono::milliseconds(5));
    EXPECT_THAT(forwardingOf(world, vm).sent_, SizeIs(1));
    world.close(client);
    EXPECT_THAT(forwardingOf(world, vm).sent_, IsEmpty());
    world.run(std::chrono::seconds(3));
    EXPECT_THAT(world.client(client).answers_, IsEmpty());
    EXPECT_THAT(forwardingOf(world, holder).received_, IsEmpty());
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against a reply that does not fit into a datagram and would be lost each time.
TEST(SessionReadsAreForwarded, exceptWhenTheReplyIsTooLarge)
{
    SessionWorld world(smallWorld());
    world.run(startTime);
    const unsigned holder = holderIn(0, 0);
    const unsigned vm = neighbourOf(holder);
    world.setBeforeEvent([](ProxyState &, EventBody &body, Time) {
        auto *event = std::get_if<SessionEvent>(&body);
        auto *reply = event == nullptr ? nullptr : std::get_if<MemberReplyArrived>(event);
        if (reply != nullptr && !reply->reply_.rows_.empty()) {
            reply->reply_.rows_.resize(2000, "a row of a dozen bytes");
        }
    });
    const std::size_t client = world.open(vm, "dispatch", SessionWorld::keyOf(0));
    const SessionReply reply = world.ask(client, StatementKind::Read, "READ");
    EXPECT_EQ(reply.code_, ReplyCode::None);
    EXPECT_THAT(reply.rows_, SizeIs(2000));
    EXPECT_EQ(forwardingOf(world, vm).totals_.fallbacks_, 1U);
    world.ask(client, StatementKind::Read, std::string(20000, 'x'));
    EXPECT_EQ(forwardingOf(world, vm).totals_.forwarded_, 1U) << "nor when the statement is";
}

// Guards against a holder that keeps a read although it cannot reach any member.
TEST(SessionReadsAreForwarded, notToAHolderThatReachesNoMember)
{
    SessionWorld world(smallWorld());
    world.run(startTime);
    const unsigned holder = holderIn(0, 0);
    const unsigned vm = neighbourOf(holder);
    for (unsigned member = 0; member < 3; ++member) {
        world.cutVmFromMember(holder, member, true);
    }
    const std::size_t client = world.open(holder, "dispatch", SessionWorld::keyOf(0));
    world.send(client, StatementKind::Read, "READ");
    world.run(std::chrono::seconds(6)); // The holder finds out.
    const auto reads = readSteadily(world, vm, std::chrono::seconds(1));
    world.run(std::chrono::seconds(2));
    EXPECT_GT(forwardingOf(world, vm).totals_.fallbacks_, 0U);
    expectServed(world, reads);
}

// Guards against requests and results that nobody expects: they must be refused or ignored, and never grow what a VM keeps.
TEST(SessionReadsAreForwarded, andUnexpectedDatagramsDoNoHarm)
{
    SessionWorld world(smallWorld());
    world.run(startTime);
    const unsigned holder = holderIn(0, 0);
    ProxyState &state = world.vm(holder);
    const auto deliver = [&](const SessionEvent &event) { return reduce(state, Event{world.now(), event}); };
    ForwardedRead read{"vm-99", VmId(77), "3", ZoneId("zone-0"), 1, SessionWorld::organisationId(0)};
    read.service_ = service;
    read.timeLeft_ = std::chrono::milliseconds(500);
    read.statement_.id_ = "foreign";
    read.statement_.kind_ = StatementKind::Read;
    const auto outcomeOf = [&](const ForwardedRead &request) -> std::optional<ForwardedReadOutcome> {
        for (const Effect &effect : deliver(request)) {
            const auto *body = std::get_if<SessionEffect>(&effect);
            if (const auto *result = body == nullptr ? nullptr : std::get_if<SendForwardedReadResult>(body)) {
                EXPECT_EQ(result->result_.to_, VmId(77));
                EXPECT_EQ(result->result_.number_, request.number_);
                return result->result_.outcome_;
            }
        }
        return std::nullopt;
    };
    ForwardedRead unknown = read;
    unknown.service_ = ServiceId("unknown");
    EXPECT_EQ(outcomeOf(unknown), ForwardedReadOutcome::NotServed);
    unknown = read;
    for (unsigned organisation = 0; organisation < 4; ++organisation) {
        if (holderIn(0, organisation) != holder) {
            unknown.organisation_ = SessionWorld::organisationId(organisation);
            EXPECT_EQ(outcomeOf(unknown), ForwardedReadOutcome::NotServed) << "this VM is not the holder";
        }
    }
    EXPECT_EQ(outcomeOf(read), std::nullopt) << "it runs";
    EXPECT_EQ(outcomeOf(read), ForwardedReadOutcome::Running) << "the same request again";
    for (std::uint64_t number = 2; number < 1500; ++number) {
        read.number_ = number;
        outcomeOf(read);
        EXPECT_LE(forwardingOf(world, holder).received_.size(), 1000U);
        deliver(ForwardedReadResult{VmId(5), state.sessions_->identity_.vm_.incarnation_, number, ForwardedReadOutcome::Answered});
        deliver(ForwardedReadResult{VmId(5), VmId(6), number, ForwardedReadOutcome::NotServed});
    }
    world.run(std::chrono::seconds(4));
    EXPECT_THAT(forwardingOf(world, holder).received_, IsEmpty());
    EXPECT_THAT(forwardingOf(world, holder).receivedKeys_, IsEmpty());
    EXPECT_THAT(forwardingOf(world, holder).ended_, IsEmpty());
    EXPECT_THAT(world.violations(), IsEmpty());
}

// Guards against a result of an earlier process of this VM, or of another process of the holder, that answers a read of this one.
TEST(SessionReadsAreForwarded, andAnsweredByTheProcessThatWasAsked)
{
    SessionWorld world(smallWorld());
    world.run(startTime);
    const unsigned holder = holderIn(0, 0);
    const unsigned vm = neighbourOf(holder);
    const std::size_t client = world.open(vm, "dispatch", SessionWorld::keyOf(0));
    const std::string id = world.send(client, StatementKind::Read, "READ");
    ASSERT_THAT(forwardingOf(world, vm).sent_, SizeIs(1));
    const std::uint64_t number = forwardingOf(world, vm).sent_.begin()->first;
    const VmId self = world.vm(vm).sessions_->identity_.vm_.incarnation_;
    const VmId asked = world.vm(holder).sessions_->identity_.vm_.incarnation_;
    for (const auto &[from, to] : std::vector<std::pair<VmId, VmId>>{{VmId(4), self}, {asked, VmId(4)}}) {
        reduce(world.vm(vm), Event{world.now(), SessionEvent(ForwardedReadResult{from, to, number, ForwardedReadOutcome::Answered})});
        EXPECT_THAT(forwardingOf(world, vm).sent_, SizeIs(1));
    }
    world.run(std::chrono::milliseconds(100));
    ASSERT_NE(world.answerTo(client, id), nullptr);
    EXPECT_EQ(world.answerTo(client, id)->receipt_, absl::StrCat("receipt-", id));
}

// Guards against keys that are revoked, or sessions that are closed at the holder, and end the reads of another VM's client.
TEST(SessionReadsAreForwarded, andNotCountedAmongTheSessionsOfTheHolder)
{
    SessionWorld world(smallWorld());
    world.run(startTime);
    const unsigned holder = holderIn(0, 0);
    const std::size_t client = world.open(neighbourOf(holder), "history", SessionWorld::keyOf(0));
    world.setWork("long", std::chrono::milliseconds(400));
    ClientStatement read;
    read.id_ = "long";
    read.kind_ = StatementKind::Read;
    read.text_ = "READ";
    world.send(client, read);
    world.run(std::chrono::milliseconds(50));
    EXPECT_THAT(forwardingOf(world, holder).received_, SizeIs(1));
    EXPECT_TRUE(world.vm(holder).sessions_->sessions_.empty());
    world.newConfiguration([](SessionConfiguration &configuration) { configuration.organisations_->keys_.clear(); });
    world.run(std::chrono::seconds(2));
    ASSERT_NE(world.answerTo(client, "long"), nullptr);
    EXPECT_EQ(world.answerTo(client, "long")->code_, ReplyCode::None);
    EXPECT_EQ(world.logged(LogNumber::KeysRevoked).size(), 1U) << "only at the VM of the client";
}
