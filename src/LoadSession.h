/** \file
 * Defines one caller of a generated load, and how many of them are run together.
 */
#pragma once

#include "LoadPlan.h"
#include "LoadReport.h"

#include <atomic>
#include <map>

namespace Figward {

/** One caller at a time: writes growing numbers under its own name in each group, and checks that it reads what it wrote. */
class LoadSession
{
public:
    /** \p number tells the sessions of one load apart. */
    LoadSession(const LoadPlan &plan, ProxyDirectory &proxies, std::uint64_t number);
    /** Runs statements at the session's part of the rate until \p stopping is set. */
    void run(const std::atomic<bool> &stopping);
    [[nodiscard]] const LoadRecords &records() const;

private:
    void begin();
    void runStatement();
    void read(const GroupId &group, bool acceptsAge);
    void write(const GroupId &group);
    ClientResult ask(const Request &request);
    /** Asks again with the same key, through any proxy, until the fate of the write is known or patience ends. */
    Outcome settle(Request request);
    void count(const ClientResult &result, std::size_t proxy);
    void pauseAfter(const ClientResult &result);
    Request prepare(Request request);

    const LoadPlan &plan_;
    ProxyDirectory &proxies_;
    std::uint64_t number_;
    std::mt19937_64 random_;
    std::size_t proxy_ = 0;
    std::uint64_t incarnation_ = 0;
    std::optional<CallerSession> session_;
    std::string name_;
    std::map<GroupId, std::uint64_t> written_; ///< Last value that was put, whatever became of it.
    std::map<GroupId, std::uint64_t> acknowledged_; ///< Last value whose write was done.
    LoadRecords records_;
};

/** Runs all sessions of \p plan, a thread each, until \p stopping is set. */
LoadRecords runLoad(const LoadPlan &plan, ProxyDirectory &proxies, const std::atomic<bool> &stopping);

} // namespace Figward
