#include "StandinClock.h"

#include <boost/asio/post.hpp>
#include <future>

namespace Figward::Standin {

StandinClock::StandinClock()
    : work_(context_.get_executor())
    , timer_(context_)
    , thread_([this] { context_.run(); })
{
}

StandinClock::~StandinClock()
{
    context_.stop();
    thread_.join();
}

Time StandinClock::now()
{
    return Time(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

void StandinClock::post(Task task)
{
    boost::asio::post(context_, std::move(task));
}

void StandinClock::run(const Task &task)
{
    std::promise<void> done;
    post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

void StandinClock::runAt(Time at, Task task)
{
    const bool earlier = due_.empty() || at < due_.begin()->first;
    due_.emplace(at, std::move(task));
    if (earlier) {
        scheduleTimer();
    }
}

void StandinClock::runDueTasks()
{
    while (!due_.empty() && due_.begin()->first <= now()) {
        const auto next = due_.extract(due_.begin());
        next.mapped()();
    }
    if (!due_.empty()) {
        scheduleTimer();
    }
}

void StandinClock::scheduleTimer()
{
    timer_.expires_at(std::chrono::steady_clock::time_point(due_.begin()->first.time_since_epoch()));
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            runDueTasks();
        }
    });
}

} // namespace Figward::Standin
