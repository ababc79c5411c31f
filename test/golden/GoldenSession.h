/** \file
 * Defines golden files of whole sessions: the trace of one scenario as text, whose changes are reviewed as a diff.
 *
 * To regenerate the files after an intended change: `FIGWARD_REMAKE_GOLDEN=1 ctest --test-dir build -L golden`, then read `git diff test/golden`.
 */
#pragma once

#include "support/World.h"

#include <string>
#include <vector>

namespace Figward::Testing {

/** One scenario in a small simulated world: one group of three members, three proxies in three availability zones. */
class GoldenSession
{
public:
    /** Starts the world and runs it until it is stable; the trace begins afterwards. */
    explicit GoldenSession(WorldConfig config = {});
    GoldenSession(const GoldenSession &) = delete;
    GoldenSession &operator=(const GoldenSession &) = delete;
    ~GoldenSession() = default;

    /** Adds a line to the trace that describes the next step of the scenario. */
    void traceStep(const std::string &line);
    /** Sends \p request to \p proxy, waits for the answer and merges its token into that of the session. */
    Answer ask(ProxyIndex proxy, Request request);
    /** Sends \p request to \p proxy without waiting for the answer. */
    void askWithoutWaiting(ProxyIndex proxy, Request request);
    /** Answers received so far to requests sent by askWithoutWaiting(). */
    [[nodiscard]] const std::vector<Answer> &answers() const;
    void run(Duration duration);
    [[nodiscard]] World &world();

    /** Create requests of this session, with its token. A write or commit gets the next sequence number. */
    Request read(const std::string &body);
    Request write(const std::string &body);
    Request step(RequestKind kind, TransactionId transaction, const std::string &body = {});

    /** Adds the contents of every member's log to the trace. */
    void traceLogs();
    /** Compares the trace with test/golden/sessions/\p name.txt, or writes the file when asked to. */
    void compare(const std::string &name) const;

private:
    World world_;
    std::vector<std::string> lines_;
    SessionToken token_;
    Sequence sequence_;
    std::vector<Answer> answers_;
};

} // namespace Figward::Testing
