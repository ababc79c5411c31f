/** \file
 * Defines the one thread on which a stand-in runs its model in real time.
 */
#pragma once

#include "Units.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <thread>

namespace Figward::Standin {

/** Runs tasks in order on its thread, at once or at a given time. */
class StandinClock
{
public:
    using Task = std::function<void()>;

    StandinClock();
    StandinClock(const StandinClock &) = delete;
    StandinClock &operator=(const StandinClock &) = delete;
    ~StandinClock();

    [[nodiscard]] static Time now();
    /** Runs \p task soon. Thread-safe. */
    void post(Task task);
    /** Runs \p task and returns when it has been run. Not from the clock's thread. */
    void run(const Task &task);
    /** Runs \p task at \p at, or now if that has passed; tasks of one instant run in the order of these calls. From the clock's thread only. */
    void runAt(Time at, Task task);

private:
    void runDue();
    void arm();

    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::steady_timer timer_;
    std::multimap<Time, Task> due_;
    std::thread thread_;
};

} // namespace Figward::Standin
