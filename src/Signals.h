/** \file
 * Defines Signals, which turns signals such as SIGTERM and SIGINT into calls on a thread of its own.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <initializer_list>
#include <thread>

namespace Figward {

/** Takes the signals from its construction to its end, when their former handling returns. */
class Signals
{
public:
    explicit Signals(std::initializer_list<int> numbers = {SIGTERM, SIGINT});
    Signals(const Signals &) = delete;
    Signals &operator=(const Signals &) = delete;
    ~Signals();
    /** Calls \p handler for each signal, also for one that came before. */
    void start(std::function<void()> handler);
    /** Returns when a signal has come. In place of start(). */
    void wait();

private:
    void await();

    boost::asio::io_context context_{1};
    boost::asio::signal_set set_;
    std::function<void()> handler_;
    std::thread thread_;
};

} // namespace Figward
