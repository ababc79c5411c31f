/** \file
 * Defines the calls to the platform's object API: versioned objects, conditional updates, watches and the list of VMs.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <string>
#include <variant>
#include <vector>

namespace Figward {

/** One proxy VM on the platform's list. The list is delayed. */
struct VmInfo
{
    VmId id_;
    ZoneId zone_;
    std::string address_; ///< "host:port" at which other proxies reach it.
    bool leaving_ = false;
    bool operator==(const VmInfo &) const = default;
};

/** Read an object. */
struct GetObject
{
    std::string path_;
};
/** Replace an object if it has the expected version; zero creates it. Manifests and group records contain the attempt id of their author. */
struct PutObject
{
    std::string path_;
    ObjectVersion expected_;
    std::string value_;
};
/** Wait until the object's version is higher than the given one; answered with the current state when the timeout of the call expires. */
struct WatchObject
{
    std::string path_;
    ObjectVersion after_;
};
/** Read the list of live and leaving VMs, which is delayed. */
struct ListVms
{
};

using PlatformBody = std::variant<GetObject, PutObject, WatchObject, ListVms>;

/** A call to the platform. */
struct PlatformCall
{
    CallId id_;
    Duration timeout_{};
    PlatformBody body_;
};

/** How a call to the platform ended. */
enum class PlatformStatus {
    Ok,
    NotFound,
    Conflict, ///< The object does not have the expected version; nothing was changed.
    Unavailable, ///< The call certainly had no effect: it did not reach the platform.
    Lost, ///< No answer within the timeout; an update may have taken effect.
};

/** The answer to the call with the same id. The adapter always provides one, at the latest when the call's timeout expires. */
struct PlatformAnswer
{
    CallId id_;
    PlatformStatus status_ = PlatformStatus::Lost;
    ObjectVersion version_;
    std::string value_;
    std::vector<VmInfo> vms_;
};

} // namespace Figward
