/** \file
 * Defines a proxy that runs as a process of its own, for tests of how processes start and end.
 */
#pragma once

#include <chrono>
#include <csignal>
#include <optional>
#include <string>
#include <sys/types.h>

namespace Figward::Testing {

/** Settings of one proxy that serves database sessions. Addresses have the form "IP:port". */
struct ServeOptions
{
    std::string name_;
    std::string zone_;
    std::string clientAddress_;
    std::string peerAddress_;
    std::string readyAddress_;
    std::string storeAddress_;
    std::string promotionAddress_;
    std::chrono::milliseconds drainTime_{6000};
};

/** A running `figward serve`. Its files are in a directory of its own, which is removed with the object; a process that still runs is then killed. */
class ServeProcess
{
public:
    explicit ServeProcess(ServeOptions options);
    ~ServeProcess();
    ServeProcess(const ServeProcess &) = delete;
    ServeProcess &operator=(const ServeProcess &) = delete;

    void start();
    void signal(int number) const;
    /** Waits until the process has ended, by at most \p limit. Returns its exit status, or -N if signal N ended it; nothing if it still runs. */
    std::optional<int> awaitEnd(std::chrono::milliseconds limit);
    [[nodiscard]] const ServeOptions &options() const;
    /** Returns the whole log, of all starts. */
    [[nodiscard]] std::string log() const;

private:
    ServeOptions options_;
    std::string directory_;
    pid_t process_ = 0; ///< Zero: none runs.
};

} // namespace Figward::Testing
