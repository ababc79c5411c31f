#include "EventLoop.h"

#include "Reducer.h"

#include <boost/asio/post.hpp>
#include <ctime>
#include <future>

namespace Figward {

namespace {

constexpr std::uint64_t batchesBetweenGaugeUpdates = 64;

/** Reads a clock that, unlike the steady clock, advances while the VM is suspended, so that a lease that expired in the meantime is seen as expired. */
Time readClock()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Time(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace

EventLoop::EventLoop(ProxyState state)
    : state_(std::move(state))
    , work_(context_.get_executor())
    , wakeUp_(context_)
{
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::start(Ports ports, const std::string &address)
{
    ports_ = ports;
    state_.identity_.self_.address_ = address;
    boost::asio::post(context_, [this] {
        process(Started{});
        processBatch(); // Processes the events posted before start().
    });
    {
        const std::scoped_lock lock(mutex_);
        started_ = true;
    }
    thread_ = std::thread([this] { context_.run(); });
}

void EventLoop::post(EventBody event)
{
    bool first = false;
    {
        const std::scoped_lock lock(mutex_);
        first = started_ && pending_.empty();
        pending_.push_back(std::move(event));
    }
    if (first) {
        boost::asio::post(context_, [this] { processBatch(); });
    }
}

void EventLoop::run(Step step)
{
    std::promise<void> done;
    boost::asio::post(context_, [&] {
        Effects effects;
        step(state_, readClock(), effects);
        perform(std::move(effects));
        done.set_value();
    });
    done.get_future().wait();
}

void EventLoop::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        stopped_ = true;
    }
    ended_.notify_all();
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

bool EventLoop::awaitExit()
{
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return exited_ || stopped_; });
    return exited_;
}

boost::asio::io_context &EventLoop::context()
{
    return context_;
}

void EventLoop::processBatch()
{
    {
        const std::scoped_lock lock(mutex_);
        batch_.swap(pending_);
    }
    for (EventBody &body : batch_) {
        process(std::move(body));
    }
    batch_.clear();
    if (batchCount_++ % batchesBetweenGaugeUpdates == 0) {
        ports_.metrics_->observe(state_, readClock());
        ports_.metrics_->observeDroppedLines(ports_.log_->droppedLines());
    }
}

void EventLoop::process(EventBody body)
{
    const Event event{readClock(), std::move(body)};
    ports_.metrics_->observe(event);
    if (const auto *lost = std::get_if<PeerLost>(&event.body_)) {
        ports_.peers_->forget(lost->address_);
    } else if (const auto *ended = std::get_if<ConnectionLost>(&event.body_)) {
        ports_.upstreams_->close(ended->connection_);
    }
    perform(reduce(state_, event));
}

void EventLoop::perform(Effects effects)
{
    for (Effect &effect : effects) {
        ports_.metrics_->observe(effect);
        std::visit([this](auto &body) { perform(body); }, effect);
    }
}

void EventLoop::perform(AnswerCaller &effect)
{
    ports_.callers_->answer(effect.id_, std::move(effect.answer_));
}

void EventLoop::perform(const SendPeer &effect)
{
    ports_.peers_->send(effect.address_, effect.message_);
}

void EventLoop::perform(const OpenConnection &effect)
{
    ports_.upstreams_->open(effect);
}

void EventLoop::perform(const CloseConnection &effect)
{
    ports_.upstreams_->close(effect.connection_);
}

void EventLoop::perform(const SendStatement &effect)
{
    ports_.upstreams_->send(effect);
}

void EventLoop::perform(const SendControl &effect)
{
    ports_.upstreams_->control(effect);
}

void EventLoop::perform(const CallPlatform &effect)
{
    ports_.platform_->call(effect.call_);
}

void EventLoop::perform(const ArmWakeUp &effect)
{
    wakeUp_.expires_after(effect.at_ - readClock()); // Cancels the previous wait.
    wakeUp_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            process(WakeUp{});
        }
    });
}

void EventLoop::perform(const WriteLog &effect)
{
    ports_.log_->write(effect.number_, effect.fields_);
}

void EventLoop::perform(const SessionEffect &effect)
{
    ports_.sessions_->perform(effect);
}

void EventLoop::perform(const ExitProcess & /*effect*/)
{
    {
        const std::scoped_lock lock(mutex_);
        exited_ = true;
    }
    ended_.notify_all();
}

} // namespace Figward
