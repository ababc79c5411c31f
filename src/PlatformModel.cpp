#include "PlatformModel.h"

#include <algorithm>
#include <utility>

namespace Figward::Standin {

namespace {

constexpr Duration refusalTime = std::chrono::milliseconds(1);
constexpr unsigned percent = 100;

template<typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

PlatformModel::PlatformModel(PlatformModelConfig config, std::uint64_t seed)
    : config_(config)
    , random_(seed)
{
}

void PlatformModel::call(PlatformTag tag, const PlatformCall &call, Time now)
{
    if (faults_.down_) {
        const PlatformStatus status = faults_.silent_ ? PlatformStatus::Lost : PlatformStatus::Unavailable;
        const Duration after = faults_.silent_ ? call.timeout_ : std::min(refusalTime, call.timeout_);
        replies_.push_back({now + after, tag, {.id_ = call.id_, .status_ = status}});
        return;
    }
    count(call.body_);
    std::optional<PlatformAnswer> answer = run(tag, call, now);
    if (answer) {
        answer->id_ = call.id_;
        reply(tag, std::move(*answer), now, call.timeout_);
    }
}

std::vector<PlatformReply> PlatformModel::takeReplies(Time now)
{
    std::vector<Watch> ended;
    std::ranges::copy_if(watches_, std::back_inserter(ended), [&](const Watch &watch) { return watch.ends_ <= now; });
    std::erase_if(watches_, [&](const Watch &watch) { return watch.ends_ <= now; });
    for (const Watch &watch : ended) {
        PlatformAnswer answer = faults_.down_ ? PlatformAnswer{} : get(watch.path_);
        answer.id_ = watch.id_;
        replies_.push_back({watch.ends_, watch.tag_, std::move(answer)});
    }
    return std::exchange(replies_, {});
}

std::optional<Time> PlatformModel::nextTimeout() const
{
    const auto first = std::ranges::min_element(watches_, {}, &Watch::ends_);
    return first == watches_.end() ? std::nullopt : std::optional(first->ends_);
}

void PlatformModel::setVms(std::vector<VmInfo> vms, Time now)
{
    // The first list is visible at once: it stands for VMs that existed before this run began.
    const Time from = lists_.empty() ? now : now + config_.listLag_;
    lists_.push_back({from, std::move(vms)});
}

void PlatformModel::setFaults(PlatformFaults faults)
{
    faults_ = faults;
}

const PlatformFaults &PlatformModel::faults() const
{
    return faults_;
}

const PlatformCounts &PlatformModel::counts() const
{
    return counts_;
}

const std::map<std::string, StoredObject> &PlatformModel::objects() const
{
    return objects_;
}

void PlatformModel::count(const PlatformBody &body)
{
    const Overloaded handle{
        [&](const GetObject &) { ++counts_.gets_; },
        [&](const PutObject &) { ++counts_.puts_; },
        [&](const WatchObject &) { ++counts_.watches_; },
        [&](const ListVms &) { ++counts_.lists_; },
    };
    std::visit(handle, body);
}

std::optional<PlatformAnswer> PlatformModel::run(PlatformTag tag, const PlatformCall &call, Time now)
{
    const Overloaded handle{
        [&](const GetObject &body) { return std::optional(get(body.path_)); },
        [&](const PutObject &body) { return std::optional(put(body, now)); },
        [&](const WatchObject &body) {
            const PlatformAnswer current = get(body.path_);
            if (current.version_ > body.after_) {
                return std::optional(current);
            }
            watches_.push_back({tag, call.id_, body.path_, body.after_, now + call.timeout_});
            return std::optional<PlatformAnswer>();
        },
        [&](const ListVms &) { return std::optional(list(now)); },
    };
    return std::visit(handle, call.body_);
}

PlatformAnswer PlatformModel::get(const std::string &path) const
{
    const auto found = objects_.find(path);
    if (found == objects_.end()) {
        return {.status_ = PlatformStatus::NotFound};
    }
    return {.status_ = PlatformStatus::Ok, .version_ = found->second.version_, .value_ = found->second.value_};
}

PlatformAnswer PlatformModel::put(const PutObject &put, Time now)
{
    const auto found = objects_.find(put.path_);
    const ObjectVersion current = found == objects_.end() ? ObjectVersion(0) : found->second.version_;
    if (current != put.expected_) {
        return {.status_ = PlatformStatus::Conflict, .version_ = current};
    }
    const ObjectVersion next(current.value() + 1);
    objects_[put.path_] = {next, put.value_};
    notifyWatches(put.path_, now);
    return {.status_ = PlatformStatus::Ok, .version_ = next};
}

PlatformAnswer PlatformModel::list(Time now) const
{
    PlatformAnswer answer{.status_ = PlatformStatus::Ok};
    for (const VmList &list : lists_) {
        if (list.shownFrom_ <= now) {
            answer.vms_ = list.vms_;
        }
    }
    return answer;
}

void PlatformModel::notifyWatches(const std::string &path, Time now)
{
    const PlatformAnswer current = get(path);
    const auto isAffected = [&](const Watch &watch) { return watch.path_ == path && current.version_ > watch.after_; };
    for (const Watch &watch : watches_) {
        if (isAffected(watch)) {
            PlatformAnswer answer = current;
            answer.id_ = watch.id_;
            reply(watch.tag_, std::move(answer), now, watch.ends_ - now);
        }
    }
    std::erase_if(watches_, isAffected);
}

/** Queues \p answer; if it is lost or too late, queues Lost for the time when the call's timeout ends. */
void PlatformModel::reply(PlatformTag tag, PlatformAnswer answer, Time asked, Duration timeout)
{
    const Duration took = config_.answerTime_ + faults_.additionalLatency_;
    const bool lost = faults_.lossPercent_ > 0 && random_() % percent < faults_.lossPercent_;
    if (lost || took > timeout) {
        replies_.push_back({asked + timeout, tag, {.id_ = answer.id_, .status_ = PlatformStatus::Lost}});
        return;
    }
    replies_.push_back({asked + took, tag, std::move(answer)});
}

} // namespace Figward::Standin
