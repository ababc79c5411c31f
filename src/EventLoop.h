/** \file
 * Defines the event loop of a proxy: one thread that takes events in batches, reduces them, and runs their effects.
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

/** Where effects go. All must outlive the loop's thread. A port whose effects do not occur in this process may be null. */
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

/** Runs one reducer. Events may be posted before start() and after stop(); the latter are dropped. */
class EventLoop : public EventSink
{
public:
    /** A step on the loop's thread beside the events, such as one that a test wants to see the state in. */
    using Step = std::function<void(ProxyState &, Time, Effects &)>;

    explicit EventLoop(ProxyState state);
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;
    ~EventLoop() override;

    /** Starts the thread with the event Started. \p address is where other proxies reach this one. */
    void start(Ports ports, const std::string &address);
    void post(EventBody event) override;
    /** Runs \p step between events and returns when its effects have been run. Not from the loop's thread. */
    void run(Step step);
    /** Ends the thread after the event that it is at. */
    void stop();
    /** Waits until the reducer has ended the process, or the loop is stopped; true in the first case. */
    bool awaitExit();
    /** Adapters that run their I/O here need no thread of their own. */
    boost::asio::io_context &context();

private:
    void turn();
    void take(EventBody body);
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
    std::vector<EventBody> batch_; ///< Being taken in; used by the loop's thread only.
    std::uint64_t turns_ = 0;
    std::mutex mutex_; ///< Guards what follows.
    std::condition_variable ended_;
    std::vector<EventBody> pending_;
    bool started_ = false;
    bool exited_ = false;
    bool stopped_ = false;
    std::thread thread_;
};

} // namespace Figward
