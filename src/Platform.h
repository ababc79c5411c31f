/** \file
 * Defines what figward asks of the platform's object API: versioned objects, conditional updates, watches and the list of VMs.
 */
#pragma once

#include "Ids.h"
#include "Units.h"

#include <string>
#include <variant>
#include <vector>

namespace Figward {

/** One proxy VM as the platform lists it. The list lags. */
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
/** Replace an object if it still has the expected version; zero creates it. The value carries the attempt id of its author. */
struct PutObject
{
    std::string path_;
    ObjectVersion expected_;
    std::string value_;
};
/** Answer when the object's version is above the one given, or with the present state when the call's timeout ends. */
struct WatchObject
{
    std::string path_;
    ObjectVersion after_;
};
/** Read the lagging list of live and leaving VMs. */
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
    Conflict, ///< The object has another version than the one expected; nothing was changed.
    Unavailable, ///< Proved not to have taken effect: the call did not reach the platform.
    Lost, ///< No answer in time: an update may have taken effect.
};

/** The answer to the call of the same id. The adapter always supplies one, at the latest when the call's timeout ends. */
struct PlatformAnswer
{
    CallId id_;
    PlatformStatus status_ = PlatformStatus::Lost;
    ObjectVersion version_;
    std::string value_;
    std::vector<VmInfo> vms_;
};

} // namespace Figward
