/** \file
 * Defines the site of a demonstration: stand-ins for the platform and for database groups, and proxies in three availability zones, all on loopback ports.
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

/** A site of three zones, each with one proxy and one member of each group. */
class DemoSite
{
public:
    static constexpr std::size_t zoneCount = 3;
    static constexpr std::size_t groupCount = 3;

    /** Each proxy logs to the file \p logPrefix plus its name plus ".log"; with an empty prefix, only errors are logged, to standard error. */
    explicit DemoSite(std::string logPrefix);

    /** Starts the stand-ins, applies the configuration and starts the proxies; waits until each proxy answers for each group. */
    absl::Status start();
    /** The configuration with \p queueLimit, as an operator would write it. */
    [[nodiscard]] std::string configurationText(unsigned queueLimit) const;
    /** Applies the configuration \p text. */
    ApplyResult apply(const std::string &text);
    /** Whether \p version or a later one is active at every proxy that was not drained. */
    bool isActive(ConfigVersion version);
    [[nodiscard]] std::vector<std::string> callerAddresses() const;
    /** Shuts the proxy at \p index down gracefully and waits until it has exited. */
    void drain(std::size_t index);

    /** Kills the primary of the group at \p index; returns the index of that member, or the size of the group if it has no primary. */
    Standin::MemberIndex killPrimary(std::size_t index);
    void restart(std::size_t index, Standin::MemberIndex member);
    void setPlatformDown(bool down);
    /** Log of the current primary of the group at \p index. */
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
    std::vector<std::unique_ptr<ProxyProcess>> proxies_; ///< Null once drained.
    std::vector<std::string> callerAddresses_;
};

} // namespace Figward
