/** \file
 * Defines a model of the platform's object API that obeys Platform.h, with its faults: outages, slowness, answers lost after the effect.
 *
 * A plain state machine like GroupModel: every call names the present time, and replies are collected by takeReplies().
 */
#pragma once

#include "Platform.h"

#include <map>
#include <optional>
#include <random>

namespace Figward::Standin {

/** The caller's own number for a call; returned with its reply. */
using PlatformTag = StrongValue<struct PlatformTagTag, std::uint64_t>;

/** What the platform can do, and what goes wrong with it. */
struct PlatformModelConfig
{
    Duration answerTime_ = std::chrono::milliseconds(2);
    Duration listLag_ = std::chrono::seconds(2); ///< How long a change of VMs takes to show in the list.
};

/** What goes wrong at present. Chances are in percent. */
struct PlatformFaults
{
    bool down_ = false; ///< Calls do not reach it.
    bool silent_ = false; ///< While down, callers learn it by their own timeout (Lost) and not at once (Unavailable).
    Duration slowness_{}; ///< Added to the time of each answer. A call that takes longer than its timeout is Lost, with its effect.
    unsigned lossPercent_ = 0; ///< Answers lost after the effect.
};

/** Calls taken, by kind. A waiting watch counts as one. */
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

/** The answer to the call of tag_, not before at_. */
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

    /** Takes a call; it is always replied to, at the latest when its timeout ends. */
    void call(PlatformTag tag, const PlatformCall &call, Time now);
    /** Replies that have come about since the last call; watches whose time has ended by \p now are among them. */
    std::vector<PlatformReply> takeReplies(Time now);
    /** When the first waiting watch ends. */
    [[nodiscard]] std::optional<Time> nextTimeout() const;

    /** Changes the list of VMs: it shows after the lag. */
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
