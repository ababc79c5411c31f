/** \file
 * Defines the parameters of a generated load: sessions that move between proxies, and the mix of their statements.
 */
#pragma once

#include "CallerClient.h"

#include <atomic>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Figward {

/** Parameters of a load. Percentages are of all statements; the statements that are neither writes nor stale reads are reads of current data. */
struct LoadPlan
{
    ServiceId service_;
    std::vector<GroupId> groups_;
    std::vector<ClassId> classes_; ///< Each statement names one of them at random; if empty, statements name no class.
    unsigned sessions_ = 24; ///< Number of sessions; each runs one statement at a time.
    unsigned statementsPerSecond_ = 1000; ///< Total rate of all sessions.
    unsigned writePercent_ = 30;
    unsigned stalePercent_ = 40; ///< Reads that accept data as old as maxStaleness_.
    Duration maxStaleness_ = std::chrono::seconds(1);
    unsigned proxyChangePercent_ = 20; ///< Statements before which the session picks a new proxy.
    Duration timeout_ = std::chrono::seconds(2);
    std::uint64_t seed_ = 1;
};

/** The proxies that sessions may send requests to, as a load balancer would list them. */
class ProxyDirectory
{
public:
    explicit ProxyDirectory(const std::vector<std::string> &addresses);
    [[nodiscard]] CallerClient &client(std::size_t proxy);
    /** Picks one of the proxies that are not closed. */
    [[nodiscard]] std::size_t pick(std::mt19937_64 &random) const;
    /** Removes a proxy from the choice of sessions; requests in flight continue. */
    void close(std::size_t proxy);
    [[nodiscard]] bool isOpen(std::size_t proxy) const;
    [[nodiscard]] std::size_t size() const;

private:
    std::vector<std::unique_ptr<CallerClient>> clients_;
    std::vector<std::unique_ptr<std::atomic<bool>>> open_;
};

} // namespace Figward
