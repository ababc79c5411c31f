#include "fuzz/Actions.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <sstream>

namespace Figward::Testing {

namespace {

constexpr std::size_t sessionRange = 30;
constexpr std::size_t choiceRange = 720;
constexpr int longestWaitMillis = 2500;
constexpr int longestFaultMillis = 8000;
constexpr Duration betweenActions = std::chrono::milliseconds(4);

/** The generator's model of a trial: the number of faults started. Callers' requests are permitted in any state. */
struct TrialModel
{
    unsigned faults_ = 0;
};

[[noreturn]] void fail(const Trial &trial)
{
    RC_FAIL(absl::StrJoin(trial.violations(), "\n") + "\n" + trial.trace());
    std::abort(); // RC_FAIL throws.
}

bool isFault(ActionKind kind)
{
    return kind >= ActionKind::CutZones;
}

/** One action as a RapidCheck command. */
class ActionCommand : public rc::state::Command<TrialModel, Trial>
{
public:
    explicit ActionCommand(Action action)
        : action_(action)
    {
    }

    void apply(TrialModel &model) const override
    {
        model.faults_ += isFault(action_.kind_) ? 1 : 0;
    }

    void run(const TrialModel & /*model*/, Trial &trial) const override
    {
        trial.perform(action_);
        trial.world().run(betweenActions * static_cast<int>(action_.choice_ % 3));
        if (!trial.violations().empty()) {
            fail(trial);
        }
    }

    void show(std::ostream &os) const override
    {
        os << toString(action_);
    }

private:
    Action action_;
};

using Command = rc::state::Command<TrialModel, Trial>;

rc::Gen<ActionKind> kindGenerator()
{
    return rc::gen::weightedElement<ActionKind>({
        {24, ActionKind::Write},
        {20, ActionKind::Read},
        {8, ActionKind::Retry},
        {24, ActionKind::Transact},
        {10, ActionKind::Wait},
        {3, ActionKind::CutZones},
        {1, ActionKind::CutPlatform},
        {2, ActionKind::PauseProxy},
        {2, ActionKind::KillProxy},
        {3, ActionKind::KillMember},
        {3, ActionKind::PauseMember},
        {1, ActionKind::LagMember},
        {1, ActionKind::PlatformDown},
        {1, ActionKind::PlatformLossy},
        {1, ActionKind::PeersFaulty},
    });
}

rc::Gen<std::shared_ptr<const Command>> commandGenerator(const TrialModel & /*model*/)
{
    return rc::gen::exec([] {
        Action action;
        action.kind_ = *kindGenerator();
        action.who_ = *rc::gen::inRange<std::size_t>(0, sessionRange);
        action.where_ = *rc::gen::inRange<std::size_t>(0, sessionRange);
        action.choice_ = *rc::gen::inRange<std::size_t>(0, choiceRange);
        const int longest = isFault(action.kind_) ? longestFaultMillis : longestWaitMillis;
        action.time_ = std::chrono::milliseconds(*rc::gen::inRange(1, longest));
        return std::shared_ptr<const Command>(std::make_shared<ActionCommand>(action));
    });
}

void add(FuzzCounts &sum, const FuzzCounts &counts)
{
    ++sum.trials_;
    sum.done_ += counts.done_;
    sum.notRun_ += counts.notRun_;
    sum.unknown_ += counts.unknown_;
    sum.reads_ += counts.reads_;
    sum.replicaReads_ += counts.replicaReads_;
    sum.promotions_ += counts.promotions_;
}

} // namespace

std::string toString(const FuzzCounts &counts)
{
    return absl::StrCat("trials=",
                        counts.trials_,
                        " done=",
                        counts.done_,
                        " not_run=",
                        counts.notRun_,
                        " unknown=",
                        counts.unknown_,
                        " reads=",
                        counts.reads_,
                        " replica_reads=",
                        counts.replicaReads_,
                        " promotions=",
                        counts.promotions_);
}

std::optional<FuzzFinding> fuzz(const FuzzRun &run, FuzzCounts &counts, const std::function<void(Trial &)> &prepare)
{
    const auto property = [&] {
        Trial trial(*rc::gen::noShrink(rc::gen::inRange<std::uint64_t>(1, 1000000)));
        if (prepare) {
            prepare(trial);
        }
        try {
            rc::state::check(TrialModel{}, trial, commandGenerator);
            trial.finish();
        } catch (const std::runtime_error &error) {
            RC_FAIL(error.what() + ("\n" + trial.trace()));
        }
        add(counts, trial.counts());
        if (!trial.violations().empty()) {
            fail(trial);
        }
    };
    for (std::uint64_t seed = run.firstSeed_; seed < run.firstSeed_ + run.seeds_; ++seed) {
        rc::detail::TestParams params;
        params.seed = seed;
        params.maxSuccess = run.trialsPerSeed_;
        params.maxSize = run.maxActions_;
        params.disableShrinking = !run.shrink_;
        const rc::detail::TestResult result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
        if (!result.is<rc::detail::SuccessResult>()) {
            std::ostringstream report;
            rc::detail::printResultMessage(result, report);
            return FuzzFinding{seed, report.str()};
        }
    }
    return std::nullopt;
}

} // namespace Figward::Testing
