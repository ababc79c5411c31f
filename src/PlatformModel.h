/** \file
 * Defines a model of the platform's object API that obeys Platform.h, with its faults: outages, slowness, answers lost after their call took effect.
 *
 * The model is a deterministic state machine like GroupModel: every call passes the current time, and replies are collected with takeReplies().
 */
#pragma once

#include "Platform.h"

#include <map>
#include <optional>
#include <random>

namespace Figward::Standin {

/** Number that the user of the model chooses for a call; returned with its reply. */
using PlatformTag = StrongValue<struct PlatformTagTag, std::uint64_t>;

/** Timing of the platform in the absence of faults. */
struct PlatformModelConfig
{
    Duration answerTime_ = std::chrono::milliseconds(2);
    Duration listLag_ = std::chrono::seconds(2); ///< Time until a change of VMs becomes visible in the list.
};

/** Faults that are currently injected. Probabilities are in percent. */
struct PlatformFaults
{
    bool down_ = false; ///< Calls do not reach the platform.
    bool silent_ = false; ///< While the platform is down, calls end by their own timeout (Lost) instead of failing at once (Unavailable).
    Duration additionalLatency_{}; ///< Added to the time of each answer. A call that takes longer than its timeout is Lost, but takes effect.
    unsigned lossPercent_ = 0; ///< Probability that an answer is lost after its call took effect.
};

/** Number of calls received, by kind. A pending watch counts as one call. */
struct PlatformCounts
{
    std::uint64_t gets_ = 0;
    std::uint64_t puts_ = 0;
    std::uint64_t watches_ = 0;
    std::uint64_t lists_ = 0;
};

/** An object and its version. */
struct StoredObject
{
    ObjectVersion version_;
    std::string value_;
};

/** The answer to the call with tag_, to be delivered no earlier than at_. */
struct PlatformReply
{
    Time at_;
    PlatformTag tag_;
    PlatformAnswer answer_;
};

/** The platform. */
class PlatformModel
{
public:
    PlatformModel(PlatformModelConfig config, std::uint64_t seed);

    /** Starts a call; its reply comes at the latest when its timeout ends. */
    void call(PlatformTag tag, const PlatformCall &call, Time now);
    /** Returns and removes the replies queued since the last call, including those to watches that have timed out by \p now. */
    std::vector<PlatformReply> takeReplies(Time now);
    /** Time at which the first pending watch times out; nullopt if there is none. */
    [[nodiscard]] std::optional<Time> nextTimeout() const;

    /** Changes the list of VMs; the change becomes visible after listLag_. */
    void setVms(std::vector<VmInfo> vms, Time now);
    void setFaults(PlatformFaults faults);
    [[nodiscard]] const PlatformFaults &faults() const;
    [[nodiscard]] const PlatformCounts &counts() const;
    /** All objects by path. */
    [[nodiscard]] const std::map<std::string, StoredObject> &objects() const;

private:
    struct Watch
    {
        PlatformTag tag_;
        CallId id_;
        std::string path_;
        ObjectVersion after_;
        Time ends_;
    };
    struct VmList
    {
        Time shownFrom_;
        std::vector<VmInfo> vms_;
    };

    void count(const PlatformBody &body);
    std::optional<PlatformAnswer> run(PlatformTag tag, const PlatformCall &call, Time now);
    PlatformAnswer get(const std::string &path) const;
    PlatformAnswer put(const PutObject &put, Time now);
    PlatformAnswer list(Time now) const;
    void notifyWatches(const std::string &path, Time now);
    void reply(PlatformTag tag, PlatformAnswer answer, Time asked, Duration timeout);

    PlatformModelConfig config_;
    std::mt19937_64 random_;
    PlatformFaults faults_;
    PlatformCounts counts_;
    std::map<std::string, StoredObject> objects_;
    std::vector<Watch> watches_;
    std::vector<VmList> lists_;
    std::vector<PlatformReply> replies_;
};

} // namespace Figward::Standin
