/** \file
 * Defines golden files of whole sessions: what passes in one scenario, as text that a reviewer reads in the diff.
 *
 * To make the files again after a change that is meant: `FIGWARD_REMAKE_GOLDEN=1 ctest --test-dir build -L golden`, then read `git diff test/golden`.
 */
#pragma once

#include "support/World.h"

#include <string>
#include <vector>

namespace Figward::Testing {

/** One scenario in a small world: one group of three members, three proxies in three availability zones. */
class GoldenSession
{
public:
    /** Starts the world and lets it settle; the trace begins afterwards. */
    explicit GoldenSession(WorldConfig config = {});
    GoldenSession(const GoldenSession &) = delete;
    GoldenSession &operator=(const GoldenSession &) = delete;
    ~GoldenSession() = default;

    /** A line that tells what the scenario does next. */
    void tell(const std::string &line);
    /** The session asks at \p proxy and waits for its answer; its token is kept. */
    Answer ask(ProxyIndex proxy, Request request);
    /** The session asks and does not wait. */
    void askOnly(ProxyIndex proxy, Request request);
    /** Answers to askOnly() so far. */
    [[nodiscard]] const std::vector<Answer> &answers() const;
    void run(Duration duration);
    [[nodiscard]] World &world();

    /** Requests of this session, with its token. A write takes the next sequence. */
    Request read(const std::string &body);
    Request write(const std::string &body);
    Request step(RequestKind kind, TransactionId transaction, const std::string &body = {});

    /** What every member's log holds, as lines of the trace. */
    void tellLogs();
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
