#include "LineClient.h"
#include "StandinPlatform.h"
#include "support/ServeProcess.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <atomic>
#include <deque>
#include <gmock/gmock.h>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

using namespace Figward;
using namespace Figward::Platform;
using namespace Figward::Testing;
using namespace testing;

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr unsigned vms = 3;
constexpr unsigned clients = 30;
constexpr milliseconds startupTime(2500);
/** Time after SIGTERM until no new client is sent to a VM. */
constexpr milliseconds unlistedDelay(2000);
/** Time within which a client learns that its connection has ended without its statement having reached a member. */
constexpr milliseconds lossSlack(200);
constexpr milliseconds clientTimeout(5000);
/** Pause of a client after an error. */
constexpr milliseconds backoff(2);

/** The VMs to which new clients are sent. */
struct Rotation
{
    std::array<std::atomic<bool>, vms> listed_{};
};

/** How a client uses its sessions. */
struct Habit
{
    std::string database_;
    std::string verb_;
    milliseconds pause_{}; ///< Between an answer and the next statement.
    unsigned pipelined_ = 1;
    unsigned transaction_ = 0; ///< Statements between BEGIN and COMMIT; zero: single statements.
    bool moves_ = true; ///< The client goes to another VM once it was refused and has all answers; otherwise it uses its session to the end.
};

struct Findings
{
    std::mutex mutex_;
    std::vector<std::string> lost_;
    std::map<ReplyCode, unsigned> errors_;
    unsigned answered_ = 0;
    unsigned cut_ = 0; ///< Statements whose connection ended at once and before they had reached a member.
};

struct SentStatement
{
    std::string id_;
    Clock::time_point at_;
};

/** A client that goes on without end; it opens a session at another VM when one is closed. */
class EndlessClient
{
public:
    EndlessClient(unsigned number, Habit habit, StandinPlatform &platform, const std::vector<std::unique_ptr<ServeProcess>> &processes, Rotation &rotation)
        : number_(number)
        , habit_(std::move(habit))
        , platform_(platform)
        , processes_(processes)
        , rotation_(rotation)
    {
    }

    void run(const std::atomic<bool> &stop, Findings &findings)
    {
        for (unsigned vm = number_; !stop; ++vm) {
            if (!rotation_.listed_.at(vm % vms)) {
                continue;
            }
            LineClient client(clientTimeout);
            if (client.open(processes_.at(vm % vms)->options().clientAddress_, habit_.database_)) {
                useSession(client, stop, findings);
            } else {
                std::this_thread::sleep_for(milliseconds(10));
            }
        }
    }

private:
    void useSession(LineClient &client, const std::atomic<bool> &stop, Findings &findings)
    {
        std::deque<SentStatement> outstanding;
        std::deque<std::string> plan;
        bool moves = false;
        while (!stop && !(moves && outstanding.empty())) {
            while (!moves && outstanding.size() < habit_.pipelined_) {
                if (outstanding.empty() && client.isClosedByPeer()) {
                    return;
                }
                if (plan.empty()) {
                    plan = planOperation();
                }
                outstanding.push_back({absl::StrCat("c", number_, "-", next_++), Clock::now()});
                client.send(outstanding.back().id_, plan.front());
                plan.pop_front();
            }
            const std::optional<SessionReply> reply = client.receive();
            if (!reply) {
                recordEnd(outstanding, findings);
                return;
            }
            outstanding.pop_front();
            recordReply(*reply, findings);
            if (reply->code_ != ReplyCode::None) {
                moves = habit_.moves_ && reply->state_ == TransactionState::None;
                std::this_thread::sleep_for(backoff);
                plan = reply->state_ == TransactionState::Failed ? std::deque<std::string>{"ROLLBACK"} : std::deque<std::string>();
            }
            std::this_thread::sleep_for(habit_.pause_);
        }
        drainSession(client, outstanding, findings);
    }

    /** Receives the answers that are still outstanding as the test ends. */
    static void drainSession(LineClient &client, std::deque<SentStatement> &outstanding, Findings &findings)
    {
        for (; !outstanding.empty(); outstanding.pop_front()) {
            const std::optional<SessionReply> reply = client.receive();
            if (!reply) {
                return;
            }
            recordReply(*reply, findings);
        }
    }

    std::deque<std::string> planOperation() const
    {
        const std::string text = absl::StrCat(habit_.verb_, " k", number_, habit_.verb_ == "WRITE" ? " 1" : "");
        std::deque<std::string> plan(std::max(1U, habit_.transaction_), text);
        if (habit_.transaction_ > 0) {
            plan.push_front("BEGIN");
            plan.emplace_back("COMMIT");
        }
        return plan;
    }

    static void recordReply(const SessionReply &reply, Findings &findings)
    {
        const std::scoped_lock lock(findings.mutex_);
        ++findings.answered_;
        if (reply.code_ != ReplyCode::None) {
            ++findings.errors_[reply.code_];
        }
    }

    void recordEnd(const std::deque<SentStatement> &outstanding, Findings &findings)
    {
        const Clock::time_point now = Clock::now();
        for (const SentStatement &statement : outstanding) {
            const auto waited = std::chrono::duration_cast<milliseconds>(now - statement.at_);
            const bool reached = platform_.hasReceived(statement.id_);
            const std::scoped_lock lock(findings.mutex_);
            if (reached || waited > lossSlack) {
                findings.lost_.push_back(
                    absl::StrCat(statement.id_, reached ? " was run by a member" : " waited", " and got no answer for ", waited.count(), " ms"));
            } else {
                ++findings.cut_;
            }
        }
    }

    unsigned number_;
    Habit habit_;
    StandinPlatform &platform_;
    const std::vector<std::unique_ptr<ServeProcess>> &processes_;
    Rotation &rotation_;
    unsigned next_ = 0;
};

ServeOptions optionsFor(unsigned vm, const StandinPlatform &platform)
{
    ServeOptions options;
    options.name_ = absl::StrCat("vm-", vm);
    options.zone_ = absl::StrCat("zone-", vm);
    options.clientAddress_ = freeLoopbackAddress();
    options.peerAddress_ = freeLoopbackAddress();
    options.readyAddress_ = freeLoopbackAddress();
    options.storeAddress_ = platform.storeAddress();
    options.promotionAddress_ = platform.promotionAddress();
    return options;
}

class VmsStopUnderLoad : public TestWithParam<std::uint64_t>
{
protected:
    unsigned draw(unsigned from, unsigned to)
    {
        return std::uniform_int_distribution<unsigned>(from, to)(random_);
    }

    Habit drawHabit()
    {
        Habit habit;
        habit.database_ = std::array{"ledger", "history", "dispatch"}.at(draw(0, 2));
        habit.verb_ = habit.database_ != "history" && draw(0, 1) == 0 ? "WRITE" : "READ";
        habit.pipelined_ = draw(0, 3) == 0 ? draw(2, 5) : 1;
        habit.pause_ = milliseconds(habit.pipelined_ == 1 ? draw(0, 2) * draw(1, 60) : 0);
        habit.transaction_ = habit.pipelined_ == 1 && habit.database_ == "ledger" ? draw(0, 1) * draw(2, 6) : 0;
        habit.moves_ = draw(0, 1) == 0;
        return habit;
    }

    /** Asks the VM to stop, in one of the ways in which a platform or an operator does. */
    void signalStop(const ServeProcess &process)
    {
        const unsigned way = draw(0, 3);
        if (way == 1) {
            process.signal(SIGHUP);
        }
        process.signal(SIGTERM);
        std::this_thread::sleep_for(milliseconds(draw(0, 300)));
        if (way == 2) {
            process.signal(SIGTERM); // A supervisor that signals the process and its group.
        } else if (way == 3) {
            process.signal(SIGHUP);
        }
    }

    std::mt19937_64 random_{GetParam()};
};

} // namespace

// Guards against statements that are lost as the process of a VM ends: members run them and nobody is told.
TEST_P(VmsStopUnderLoad, andLoseNoStatement)
{
    StandinPlatform platform;
    ASSERT_TRUE(platform.start().ok());
    std::vector<std::unique_ptr<ServeProcess>> processes;
    Rotation rotation;
    for (unsigned vm = 0; vm < vms; ++vm) {
        processes.push_back(std::make_unique<ServeProcess>(optionsFor(vm, platform)));
        processes.back()->start();
    }
    std::this_thread::sleep_for(startupTime);
    std::ranges::fill(rotation.listed_, true);
    Findings findings;
    std::atomic<bool> stop = false;
    std::vector<std::thread> threads;
    for (unsigned client = 0; client < clients; ++client) {
        threads.emplace_back([&, habit = drawHabit(), client] { EndlessClient(client, habit, platform, processes, rotation).run(stop, findings); });
    }
    for (unsigned vm = 0; vm < vms; ++vm) {
        std::this_thread::sleep_for(milliseconds(draw(300, 800)));
        platform.setStatementDuration(milliseconds(draw(0, 2) == 0 ? draw(100, 600) : draw(4, 60)));
        if (draw(0, 2) == 0) {
            platform.addDatabase();
        }
        ServeProcess &process = *processes[vm];
        const Clock::time_point signalled = Clock::now();
        signalStop(process);
        std::this_thread::sleep_until(signalled + unlistedDelay);
        rotation.listed_.at(vm) = false;
        const auto grace = std::chrono::duration_cast<milliseconds>(signalled + process.options().drainTime_ - Clock::now());
        EXPECT_EQ(process.awaitEnd(grace), 0) << process.options().name_ << " has not ended by itself:\n" << process.log().substr(0, 500);
        process.signal(SIGKILL);
        platform.setStatementDuration(milliseconds(4));
        process.start();
        std::this_thread::sleep_for(startupTime);
        rotation.listed_.at(vm) = true;
    }
    stop = true;
    std::ranges::for_each(threads, &std::thread::join);
    EXPECT_THAT(findings.lost_, IsEmpty());
    std::string unfinished;
    for (const auto &process : processes) {
        for (const absl::string_view line : absl::StrSplit(process->log(), '\n')) {
            absl::StrAppend(&unfinished, absl::StrContains(line, "drain-unfinished") ? absl::StrCat(line, "\n") : "");
        }
    }
    EXPECT_THAT(unfinished, IsEmpty());
    RecordProperty("answered", static_cast<int>(findings.answered_));
    std::string errors;
    for (const auto &[code, count] : findings.errors_) {
        absl::StrAppend(&errors, " ", toString(code), ":", count);
    }
    std::cout << "answered " << findings.answered_ << ", cut before they were sent on " << findings.cut_ << ", errors:" << errors << '\n';
}

INSTANTIATE_TEST_SUITE_P(Seeds, VmsStopUnderLoad, Range<std::uint64_t>(1, 3));
INSTANTIATE_TEST_SUITE_P(LongSeeds, VmsStopUnderLoad, Range<std::uint64_t>(100, 150));
