/** \file
 * Defines the single thread on which a stand-in runs its model in real time.
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

/** Runs tasks in order on its thread, immediately or at a given time. */
class StandinClock
{
public:
    using Task = std::function<void()>;

    StandinClock();
    StandinClock(const StandinClock &) = delete;
    StandinClock &operator=(const StandinClock &) = delete;
    ~StandinClock();

    [[nodiscard]] static Time now();
    /** Queues \p task to run as soon as possible. Thread-safe. */
    void post(Task task);
    /** Runs \p task and waits until it is done. Must not be called from the clock's thread. */
    void run(const Task &task);
    /**
     * Runs \p task at \p at, or immediately if that time has passed; tasks for the same time run in the order of the calls. Must be called from the
     * clock's thread.
     */
    void runAt(Time at, Task task);

private:
    void runDueTasks();
    void scheduleTimer();

    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::steady_timer timer_;
    std::multimap<Time, Task> due_;
    std::thread thread_;
};

} // namespace Figward::Standin
