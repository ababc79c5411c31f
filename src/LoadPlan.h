/** \file
 * Defines what a generated load consists of: sessions that move between proxies, and the mix of their statements.
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

/** A load. Percentages are of all statements; what is left are reads that accept no age. */
struct LoadPlan
{
    ServiceId service_;
    std::vector<GroupId> groups_;
    std::vector<ClassId> classes_; ///< One of them is drawn for each statement; empty: none is named.
    unsigned sessions_ = 24; ///< Each runs one statement at a time.
    unsigned statementsPerSecond_ = 1000; ///< Of all sessions together.
    unsigned writePercent_ = 30;
    unsigned stalePercent_ = 40; ///< Reads that accept data of the age below.
    Duration maxStaleness_ = std::chrono::seconds(1);
    unsigned hopPercent_ = 20; ///< Statements before which the session moves to another proxy.
    Duration timeout_ = std::chrono::seconds(2);
    std::uint64_t seed_ = 1;
};

/** The proxies that sessions may ask, as a balancer would know them. */
class ProxyDirectory
{
public:
    explicit ProxyDirectory(const std::vector<std::string> &addresses);
    [[nodiscard]] CallerClient &client(std::size_t proxy);
    /** One of the proxies that are not closed. */
    [[nodiscard]] std::size_t pick(std::mt19937_64 &random) const;
    /** Sessions are sent elsewhere from now on; requests that are under way go on. */
    void close(std::size_t proxy);
    [[nodiscard]] bool isOpen(std::size_t proxy) const;
    [[nodiscard]] std::size_t size() const;

private:
    std::vector<std::unique_ptr<CallerClient>> clients_;
    std::vector<std::unique_ptr<std::atomic<bool>>> open_;
};

} // namespace Figward
