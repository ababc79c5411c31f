#include "GroupPressure.h"

#include <algorithm>
#include <vector>

namespace Figward {

namespace {

/** Fraction of its latency target above which the mean wait of a priority is too long: the work itself needs most of the target. */
constexpr double pressureFraction = 0.25;
/**
 * The same fraction below which it is short. The opening of a connection at an idle member must count as short, even for the shortest targets; otherwise a
 * level would stay after the load has ended.
 */
constexpr double calmFraction = 0.1875;
/** Fraction of the admitted operations that remains after the level was lowered once. */
constexpr double loweringFactor = 0.8;
/** Fraction of all operations by which the level is raised at a time. */
constexpr double raisingStep = 0.05;
/** Fraction of a limited priority that stays admitted, so that the end of its pressure is noticed. */
constexpr double minFraction = 0.05;
/** Number of operations whose mean wait is judged; a single one may wait for a reason of its own. */
constexpr std::uint64_t minStarted = 4;
/** Number of windows after which operations that are too few are forgotten: their waits no longer describe the present. */
constexpr unsigned maxWindows = 4;
/** Weight of the newest window in the average demand. */
constexpr double demandWeight = 0.5;
/** Operations per window below which a priority counts as absent. */
constexpr double minDemand = 0.25;

/** A mean wait that is below this fraction of the previous one decreases: the last step takes effect. */
constexpr double decreasingFactor = 0.9;
/** A mean wait that is above this fraction of the previous one grows so fast that the next step does not wait until the effect of the last one is seen. */
constexpr double growingFactor = 1.1;
/** Fraction of the point where the pressure began at which the level stays: near saturation, waits are long already. */
constexpr double ceilingFraction = 0.9;
/** Number of windows for which the level stays below the point where the pressure began, at first and after several relapses. */
constexpr unsigned minHoldWindows = 4;
constexpr unsigned maxHoldWindows = 16;
/** Number of windows after which the effect of a step is seen: its advice, and the reports. */
constexpr unsigned effectWindows = 2;
/** Number of windows without pressure after which earlier pressure no longer counts. */
constexpr unsigned maxCalmWindows = 2 * maxHoldWindows;

/** Maximum number of simultaneous openings by one VM to one member under pressure. */
constexpr std::size_t maxOpenings = 2;
constexpr unsigned maxFullDoublings = 4;

/** How the waits of a pool's operations compare with their targets. */
struct Verdict
{
    std::optional<unsigned> pressed_; ///< Most urgent priority that waits too long.
    bool calm_ = true; ///< No priority waits long.
    double strain_ = 0; ///< Longest mean wait as a fraction of the target.
};

void addWindow(PriorityDemand &demand, const PriorityTotals &increase)
{
    const auto arrived = static_cast<double>(increase.started_ + increase.shed_);
    demand.perWindow_ += (demand.perWindow_ == 0 ? 1 : demandWeight) * (arrived - demand.perWindow_);
    demand.started_ += increase.started_;
    demand.waitTime_ += increase.waitTime_;
    ++demand.windows_;
}

void forgetOperations(PriorityDemand &demand)
{
    demand.started_ = 0;
    demand.waitTime_ = {};
    demand.windows_ = 0;
}

/** Judges the waits of one priority, if there are enough of them. */
void judge(Verdict &verdict, unsigned priority, PriorityDemand &demand, Duration target)
{
    if (demand.started_ < minStarted) {
        if (demand.windows_ >= maxWindows) {
            forgetOperations(demand);
        }
        return;
    }
    const Duration mean = demand.waitTime_ / static_cast<std::int64_t>(demand.started_);
    forgetOperations(demand);
    const double strain = std::chrono::duration<double>(mean) / target;
    verdict.calm_ = verdict.calm_ && strain < calmFraction;
    verdict.strain_ = std::max(verdict.strain_, strain);
    if (strain > pressureFraction) {
        verdict.pressed_ = std::min(verdict.pressed_.value_or(priority), priority);
    }
}

Verdict judgeWindow(PoolPressure &pool, absl::Span<const PriorityTotals> increases, absl::Span<const PriorityTarget> targets)
{
    Verdict verdict;
    for (const PriorityTarget &target : targets) {
        const auto found = std::ranges::find(increases, target.priority_, &PriorityTotals::priority_);
        PriorityDemand &demand = pool.demand_[target.priority_];
        addWindow(demand, found == increases.end() ? PriorityTotals{} : *found);
        judge(verdict, target.priority_, demand, target.target_);
    }
    return verdict;
}

/** A priority of which operations arrive. */
struct PresentPriority
{
    unsigned priority_ = 0;
    double perWindow_ = 0;
};

/** The present priorities, most urgent first. */
std::vector<PresentPriority> presentPriorities(const PoolPressure &pool)
{
    std::vector<PresentPriority> present;
    for (const auto &[priority, demand] : pool.demand_) {
        if (demand.perWindow_ >= minDemand) {
            present.push_back({priority, demand.perWindow_});
        }
    }
    return present;
}

double totalDemand(absl::Span<const PresentPriority> present)
{
    double total = 0;
    for (const PresentPriority &priority : present) {
        total += priority.perWindow_;
    }
    return total;
}

double admittedDemand(absl::Span<const PresentPriority> present, const AdmissionLevel &level)
{
    double admitted = 0;
    for (const PresentPriority &priority : present) {
        admitted += priority.perWindow_ * admittedFraction(level, priority.priority_);
    }
    return admitted;
}

/** The level that admits \p admitted operations per window, but limits neither the most urgent priority nor one that is more urgent than \p limit. */
AdmissionLevel levelFor(absl::Span<const PresentPriority> present, double admitted, unsigned limit)
{
    const unsigned mostUrgent = std::max(limit, present[1].priority_);
    AdmissionLevel level{.priority_ = present.back().priority_, .fraction_ = 1};
    for (auto lowest = present.rbegin(); lowest != present.rend() && lowest->priority_ >= mostUrgent; ++lowest) {
        level = {.priority_ = lowest->priority_, .fraction_ = 1};
        const double excess = admittedDemand(present, level) - admitted;
        level.fraction_ = std::clamp(1 - excess / lowest->perWindow_, minFraction, 1.0);
        if (level.fraction_ > minFraction) {
            break;
        }
    }
    return level;
}

/** Time until all operations are admitted, if the level rises from now on. */
Duration recoveryTime(absl::Span<const PresentPriority> present, const AdmissionLevel &level)
{
    const double refused = 1 - admittedDemand(present, level) / totalDemand(present);
    return std::chrono::duration_cast<Duration>(pressureWindow * std::max(1.0, refused / raisingStep));
}

/** Notes that the pressure begins, or begins again, while \p admitted operations are admitted per window. */
void recordCeiling(PoolPressure &pool, double admitted)
{
    const bool isRelapse = pool.windowsWithoutPressure_ < maxCalmWindows && pool.holdWindows_ > 0;
    pool.holdWindows_ = isRelapse ? std::min(2 * pool.holdWindows_, maxHoldWindows) : minHoldWindows;
    pool.heldWindows_ = 0;
    pool.ceiling_ = admitted;
    pool.rising_ = false;
}

/** Lowers the number of admitted operations, unless the level is already as low as \p pressed justifies. */
void lowerAdmitted(PoolPressure &pool, absl::Span<const PresentPriority> present, unsigned pressed)
{
    const double total = totalDemand(present);
    const double admitted = std::min(pool.admitted_.value_or(total), total);
    if (pool.rising_) {
        recordCeiling(pool, admitted);
    }
    const AdmissionLevel lower = levelFor(present, admitted * loweringFactor, pressed);
    if (admittedDemand(present, lower) < admitted) {
        pool.limit_ = pool.admitted_ ? std::min(pool.limit_, pressed) : pressed;
        pool.admitted_ = admittedDemand(present, lower);
    }
}

void raiseAdmitted(PoolPressure &pool, absl::Span<const PresentPriority> present)
{
    const double step = raisingStep * totalDemand(present);
    const double admitted = *pool.admitted_ + step;
    if (pool.ceiling_ && admitted > *pool.ceiling_ * ceilingFraction) {
        if (pool.heldWindows_++ < pool.holdWindows_) {
            return;
        }
        pool.ceiling_ = *pool.ceiling_ + step;
        pool.heldWindows_ = pool.holdWindows_ - effectWindows;
    }
    pool.rising_ = true;
    pool.admitted_ = admitted;
}

/** Derives the level from the number of operations to admit and the demand. */
void deriveLevel(PoolPressure &pool, absl::Span<const PresentPriority> present)
{
    if (!pool.admitted_ || *pool.admitted_ >= totalDemand(present)) {
        pool.rising_ = true;
        pool.admitted_.reset();
        pool.level_.reset();
        return;
    }
    pool.level_ = levelFor(present, *pool.admitted_, pool.limit_);
    pool.level_->recovery_ = recoveryTime(present, *pool.level_);
}

} // namespace

void updateLevel(PoolPressure &pool, absl::Span<const PriorityTotals> increases, absl::Span<const PriorityTarget> targets)
{
    if (increases.empty() && pool.demand_.empty()) {
        return; // A leader that has just taken over keeps the level in force until the first reports.
    }
    const Verdict verdict = judgeWindow(pool, increases, targets);
    const std::vector<PresentPriority> present = presentPriorities(pool);
    if (present.size() < 2) {
        pool.admitted_.reset();
        pool.level_.reset(); // There is no less urgent priority to limit.
        return;
    }
    if (pool.level_ && !pool.admitted_) {
        pool.admitted_ = admittedDemand(present, *pool.level_); // The level of a previous leader.
        pool.limit_ = pool.level_->priority_;
    }
    const bool worsens = verdict.strain_ > pool.strain_ * (pool.loweredLast_ ? growingFactor : decreasingFactor);
    pool.strain_ = verdict.strain_;
    pool.loweredLast_ = verdict.pressed_ && (worsens || pool.rising_);
    pool.windowsWithoutPressure_ = verdict.pressed_ ? 0 : pool.windowsWithoutPressure_ + 1;
    if (pool.loweredLast_) {
        lowerAdmitted(pool, present, *verdict.pressed_);
    } else if (pool.admitted_ && verdict.calm_) {
        raiseAdmitted(pool, present);
    }
    deriveLevel(pool, present);
}

double admittedFraction(const AdmissionLevel &level, unsigned priority)
{
    if (priority < level.priority_) {
        return 1;
    }
    return priority == level.priority_ ? std::max(level.fraction_, minFraction) : minFraction;
}

bool isAdmitted(const AdmissionLevel &level, unsigned priority, double rank)
{
    return priority < level.priority_ || rank < admittedFraction(level, priority);
}

Duration shedRetryDelay(const AdmissionLevel &level, double random)
{
    const Duration recovery = std::max(level.recovery_, pressureWindow);
    return recovery / 2 + std::chrono::duration_cast<Duration>(recovery * random);
}

std::size_t openingsAllowed(std::size_t waiting)
{
    return std::min(waiting, maxOpenings);
}

unsigned fullBackoffFactor(unsigned refusals)
{
    return 1U << std::min(refusals, maxFullDoublings);
}

} // namespace Figward
