/** \file
 * Defines one caller of a generated load, and a function that runs many of them concurrently.
 */
#pragma once

#include "LoadPlan.h"
#include "LoadReport.h"

#include <atomic>
#include <map>

namespace Figward {

/** A caller that writes increasing numbers under its own name in each group, and checks that its reads show its acknowledged writes. */
class LoadSession
{
public:
    /** \p number is unique among the sessions of one load. */
    LoadSession(const LoadPlan &plan, ProxyDirectory &proxies, std::uint64_t number);
    /** Runs statements at the session's share of the rate until \p stopping is set. */
    void run(const std::atomic<bool> &stopping);
    [[nodiscard]] const LoadRecords &records() const;

private:
    /** Starts a new session of the protocol, with a new name_ and at a random proxy. */
    void startSession();
    void runStatement();
    void read(const GroupId &group, bool acceptsAge);
    void write(const GroupId &group);
    ClientResult ask(const Request &request);
    /** Repeats a write with the same idempotency key, through random proxies, until its outcome is known or the attempts are used up. */
    Outcome resolveOutcome(Request request);
    void count(const ClientResult &result, std::size_t proxy);
    void waitBeforeNextRequest(const ClientResult &result);
    Request prepare(Request request);

    const LoadPlan &plan_;
    ProxyDirectory &proxies_;
    std::uint64_t number_;
    std::mt19937_64 random_;
    std::size_t proxy_ = 0;
    std::uint64_t incarnation_ = 0;
    std::optional<CallerSession> session_;
    std::string name_;
    std::map<GroupId, std::uint64_t> written_; ///< Last value that was sent, whatever its outcome.
    std::map<GroupId, std::uint64_t> acknowledged_; ///< Last value whose write was acknowledged.
    LoadRecords records_;
};

/** Runs all sessions of \p plan, a thread each, until \p stopping is set. */
LoadRecords runLoad(const LoadPlan &plan, ProxyDirectory &proxies, const std::atomic<bool> &stopping);

} // namespace Figward
