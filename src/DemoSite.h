/** \file
 * Defines the site of a demonstration: stand-ins of the platform and of database groups, and proxies in three availability zones, all on loopback ports.
 */
#pragma once

#include "ApplyRun.h"
#include "GroupStandinServer.h"
#include "PlatformStandinServer.h"
#include "ProxyProcess.h"

#include <memory>
#include <string>
#include <vector>

namespace Figward {

/** Three zones, a proxy and a member of each group in each. */
class DemoSite
{
public:
    static constexpr std::size_t zoneCount = 3;
    static constexpr std::size_t groupCount = 3;

    /** Logs go to \p logPrefix plus the proxy's name plus ".log"; without a prefix warnings go to standard error. */
    explicit DemoSite(std::string logPrefix);

    /** Starts the stand-ins, applies the configuration and starts the proxies; waits until each answers for each group. */
    absl::Status start();
    /** The configuration with \p queueLimit, as an operator would write it. */
    [[nodiscard]] std::string configurationText(unsigned queueLimit) const;
    /** Applies \p text. */
    ApplyResult apply(const std::string &text);
    /** Whether each proxy that was not drained works by \p version. */
    bool isInForce(ConfigVersion version);
    [[nodiscard]] std::vector<std::string> callerAddresses() const;
    /** Shuts the proxy at \p index down gracefully and waits for its end. */
    void drain(std::size_t index);

    /** Kills the primary of the group at \p index; returns the member. */
    Standin::MemberIndex killPrimary(std::size_t index);
    void restart(std::size_t index, Standin::MemberIndex member);
    void setPlatformDown(bool down);
    /** Log of the present primary of the group at \p index. */
    std::vector<Standin::LogEntry> primaryLog(std::size_t index);

    static ServiceId service();
    static GroupId group(std::size_t index);
    static std::vector<ClassId> classes();

private:
    absl::Status startProxy(std::size_t index);
    bool answersForAllGroups(const ProxyProcess &proxy);

    std::string logPrefix_;
    Standin::PlatformStandinServer platform_;
    std::vector<std::unique_ptr<Standin::GroupStandinServer>> groups_;
    std::vector<std::unique_ptr<ProxyProcess>> proxies_; ///< Null when drained.
    std::vector<std::string> callerAddresses_;
};

} // namespace Figward
