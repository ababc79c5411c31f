/** \file
 * Defines the event loop of a proxy: one thread that takes events in batches, passes them to the reducer, and executes the resulting effects.
 */
#pragma once

#include "Metrics.h"
#include "ProxyState.h"
#include "ShellPorts.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Figward {

/** The ports that execute effects. All must outlive the loop's thread. A port whose effects do not occur in this process may be null. */
struct Ports
{
    CallerPort *callers_ = nullptr;
    PeerPort *peers_ = nullptr;
    UpstreamPort *upstreams_ = nullptr;
    PlatformPort *platform_ = nullptr;
    SessionPort *sessions_ = nullptr;
    LogPort *log_ = nullptr;
    Metrics *metrics_ = nullptr;
};

/** Runs one reducer. Events may be posted before start(); those posted after stop() are dropped. */
class EventLoop : public EventSink
{
public:
    /** A function to run on the loop's thread between events, for example to let a test inspect the state. */
    using Step = std::function<void(ProxyState &, Time, Effects &)>;

    explicit EventLoop(ProxyState state);
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;
    ~EventLoop() override;

    /** Starts the thread, which processes the event Started first. \p address is the address at which other proxies reach this one. */
    void start(Ports ports, const std::string &address);
    void post(EventBody event) override;
    /** Runs \p step between events and returns once its effects have been executed. Must not be called from the loop's thread. */
    void run(Step step);
    /** Stops the thread once it has finished the current handler. */
    void stop();
    /** Waits until the reducer requests the exit of the process or the loop is stopped. Returns true in the first case. */
    bool awaitExit();
    /** The I/O context of the loop's thread, for adapters that run their I/O on it instead of on a thread of their own. */
    boost::asio::io_context &context();

private:
    void processBatch();
    void process(EventBody body);
    void perform(Effects effects);
    void perform(AnswerCaller &effect);
    void perform(const SendPeer &effect);
    void perform(const OpenConnection &effect);
    void perform(const CloseConnection &effect);
    void perform(const SendStatement &effect);
    void perform(const SendControl &effect);
    void perform(const CallPlatform &effect);
    void perform(const ArmWakeUp &effect);
    void perform(const WriteLog &effect);
    void perform(const ExitProcess &effect);
    void perform(const SessionEffect &effect);

    ProxyState state_;
    Ports ports_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::steady_timer wakeUp_;
    std::vector<EventBody> batch_; ///< The events being processed; used by the loop's thread only.
    std::uint64_t batchCount_ = 0;
    std::mutex mutex_; ///< Guards pending_, started_, exited_ and stopped_.
    std::condition_variable ended_;
    std::vector<EventBody> pending_;
    bool started_ = false;
    bool exited_ = false;
    bool stopped_ = false;
    std::thread thread_;
};

} // namespace Figward
