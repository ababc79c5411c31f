#include "Demo.h"

#include "LoadSession.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <map>
#include <thread>

namespace Figward {

namespace {

constexpr std::size_t platformUpGroup = 0; ///< Loses its primary while the platform is up.
constexpr std::size_t platformDownGroup = 1; ///< Loses its primary while the platform is down.
constexpr std::size_t drainedProxy = 2;
constexpr std::chrono::seconds gapWindow(6);
constexpr std::chrono::seconds settleTime(1);
constexpr std::chrono::milliseconds pollInterval(2);

/** Runs the steps of the fault schedule in order and reports each one as it starts. */
class Schedule
{
public:
    Schedule(DemoSite &site, ProxyDirectory &proxies, const DemoOptions &options, DemoResult &result)
        : site_(site)
        , proxies_(proxies)
        , options_(options)
        , result_(result)
        , start_(LoadClock::now())
    {
    }

    void run()
    {
        at(10, "a configuration is applied");
        applyConfiguration();
        at(20, "the primary of tyres-1 is lost");
        killedWhilePlatformUpAt_ = LoadClock::now();
        const Standin::MemberIndex first = site_.killPrimary(platformUpGroup);
        at(40, "the lost member of tyres-1 returns; the platform goes down");
        site_.restart(platformUpGroup, first);
        site_.setPlatformDown(true);
        at(50, "the primary of tyres-2 is lost while the platform is down");
        killedWhilePlatformDownAt_ = LoadClock::now();
        const Standin::MemberIndex second = site_.killPrimary(platformDownGroup);
        at(70, "the platform is back; the lost member of tyres-2 returns");
        site_.setPlatformDown(false);
        site_.restart(platformDownGroup, second);
        at(80, "the proxy of zone norte-c shuts down gracefully");
        proxies_.close(drainedProxy);
        site_.drain(drainedProxy);
        report("the proxy of zone norte-c has ended");
        at(100, "the load ends");
        endedAt_ = LoadClock::now();
    }

    LoadClock::time_point killedWhilePlatformUpAt_;
    LoadClock::time_point killedWhilePlatformDownAt_;
    LoadClock::time_point endedAt_;

private:
    /** Waits until \p percent of the length of the load has passed, then reports \p what. */
    void at(unsigned percent, const char *what)
    {
        std::this_thread::sleep_until(start_ + options_.length_ * percent / 100);
        report(what);
    }

    void report(const char *what)
    {
        if (options_.progressOutput_ != nullptr) {
            const double seconds = std::chrono::duration<double>(LoadClock::now() - start_).count();
            *options_.progressOutput_ << absl::StrFormat("%6.2f s  %s\n", seconds, what) << std::flush;
        }
    }

    void applyConfiguration()
    {
        constexpr unsigned changedQueueLimit = 150;
        const LoadClock::time_point applyStart = LoadClock::now();
        const ApplyResult applied = site_.apply(site_.configurationText(changedQueueLimit));
        result_.configurationAccepted_ = applied.outcome_ == ApplyOutcome::Accepted;
        while (!site_.isActive(applied.version_) && LoadClock::now() < applyStart + options_.length_ / 10) {
            std::this_thread::sleep_for(pollInterval);
        }
        result_.configSpread_ = std::chrono::duration_cast<std::chrono::milliseconds>(LoadClock::now() - applyStart);
    }

    DemoSite &site_;
    ProxyDirectory &proxies_;
    const DemoOptions &options_;
    DemoResult &result_;
    LoadClock::time_point start_;
};

LoadPlan demoPlan()
{
    LoadPlan plan;
    plan.service_ = DemoSite::service();
    for (std::size_t index = 0; index < DemoSite::groupCount; ++index) {
        plan.groups_.push_back(DemoSite::group(index));
    }
    plan.classes_ = DemoSite::classes();
    return plan;
}

void evaluate(DemoSite &site, const Schedule &schedule, DemoResult &result)
{
    for (std::size_t index = 0; index < DemoSite::groupCount; ++index) {
        compareWithLog(DemoSite::group(index), site.primaryLog(index), result);
    }
    // Only up to the end of the load: the absence of writes after it is not a stall.
    const auto gap = [&](std::size_t group, LoadClock::time_point from) {
        return longestStall(result.records_, DemoSite::group(group), from, std::min(from + gapWindow, schedule.endedAt_));
    };
    result.failoverGapPlatformUp_ = gap(platformUpGroup, schedule.killedWhilePlatformUpAt_);
    result.failoverGapPlatformDown_ = gap(platformDownGroup, schedule.killedWhilePlatformDownAt_);
    result.failoverGap_ = std::max(result.failoverGapPlatformUp_, result.failoverGapPlatformDown_);
    result.cutByDrain_ = result.records_.cutByProxy_[drainedProxy];
}

} // namespace

void compareWithLog(const GroupId &group, const std::vector<Standin::LogEntry> &log, DemoResult &result)
{
    std::map<std::string, unsigned> putCounts;
    for (const Standin::LogEntry &entry : log) {
        for (const Standin::Operation &operation : entry.operations_) {
            ++putCounts[absl::StrCat(operation.key_, " ", operation.argument_)];
        }
    }
    for (const WriteRecord &write : result.records_.writes_) {
        if (write.group_ != group) {
            continue;
        }
        const auto found = putCounts.find(absl::StrCat(write.name_, " ", write.value_));
        const unsigned times = found == putCounts.end() ? 0 : found->second;
        result.lostWrites_ += write.outcome_ == Outcome::Done && times == 0 ? 1 : 0;
        result.ranThoughNotRun_ += write.outcome_ == Outcome::NotRun && times > 0 ? 1 : 0;
        result.doubledWrites_ += times > 1 ? 1 : 0;
    }
}

absl::StatusOr<DemoResult> runDemo(const DemoOptions &options)
{
    DemoSite site(options.logPrefix_);
    if (absl::Status status = site.start(); !status.ok()) {
        return status;
    }
    DemoResult result;
    ProxyDirectory proxies(site.callerAddresses());
    const LoadPlan plan = demoPlan();
    std::atomic<bool> stopping = false;
    std::thread load([&] { result.records_ = runLoad(plan, proxies, stopping); });
    Schedule schedule(site, proxies, options, result);
    schedule.run();
    stopping = true;
    load.join();
    std::this_thread::sleep_for(settleTime);
    evaluate(site, schedule, result);
    return result;
}

bool promisesKept(const DemoResult &result)
{
    return result.lostWrites_ == 0 && result.doubledWrites_ == 0 && result.ranThoughNotRun_ == 0 && result.records_.staleReads_ == 0 && result.cutByDrain_ == 0
           && result.configurationAccepted_;
}

} // namespace Figward
