/** \file
 * Defines Signals, which handles signals such as SIGTERM and SIGINT by calling a handler on a separate thread.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <initializer_list>
#include <thread>

namespace Figward {

/** Handles the signals during its lifetime. The destructor restores their previous handling. */
class Signals
{
public:
    explicit Signals(std::initializer_list<int> numbers = {SIGTERM, SIGINT});
    Signals(const Signals &) = delete;
    Signals &operator=(const Signals &) = delete;
    ~Signals();
    using Handler = std::function<void(int number)>;
    /** Calls \p handler for each signal, including one received before this call. */
    void start(Handler handler);
    /** Blocks until a signal is received. Use instead of start(). */
    void wait();

private:
    void waitForNext();

    boost::asio::io_context context_{1};
    boost::asio::signal_set set_;
    Handler handler_;
    std::thread thread_;
};

} // namespace Figward
