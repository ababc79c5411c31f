#include "LineBuffer.h"

#include <absl/cleanup/cleanup.h>
#include <algorithm>
#include <cerrno>
#include <climits>
#include <csignal>
#include <poll.h>
#include <pthread.h>
#include <unistd.h>

namespace Figward {

namespace {

/** How often a writer whose reader does not read looks whether it should end. */
constexpr int pollMillis = 50;

/** A pipe whose reader is gone would end the process by a signal; the error that write() returns is enough. */
void blockPipeSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace

LineBuffer::LineBuffer(int handle, std::size_t capacity)
    : handle_(handle)
    , capacity_(capacity)
    , thread_([this] { run(); })
{
}

LineBuffer::~LineBuffer()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

bool LineBuffer::add(std::string line, LineRank rank)
{
    {
        const std::scoped_lock lock(mutex_);
        const std::size_t room = rank == LineRank::Important ? capacity_ : capacity_ / 2;
        if (size_ + line.size() > room) {
            return false;
        }
        size_ += line.size();
        lines_.push_back(std::move(line));
    }
    changed_.notify_all();
    return true;
}

bool LineBuffer::flush(std::chrono::milliseconds limit)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, limit, [this] { return size_ == 0; });
}

void LineBuffer::run()
{
    blockPipeSignal();
    std::unique_lock lock(mutex_);
    for (;;) {
        changed_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
        if (lines_.empty()) {
            return;
        }
        const std::string line = std::move(lines_.front());
        lines_.pop_front();
        lock.unlock();
        writeOut(line);
        lock.lock();
        size_ -= line.size();
        changed_.notify_all();
    }
}

void LineBuffer::writeOut(const std::string &line)
{
    std::size_t written = 0;
    while (written < line.size() && !closed_) {
        pollfd wanted{handle_, POLLOUT, 0};
        if (poll(&wanted, 1, pollMillis) <= 0) {
            const std::scoped_lock lock(mutex_);
            if (stopping_) {
                return; // Nobody reads, and nobody is left to wait for it.
            }
            continue;
        }
        // A pipe that is ready takes this much at once, without blocking.
        const std::size_t part = std::min<std::size_t>(line.size() - written, PIPE_BUF);
        const ssize_t taken = ::write(handle_, line.data() + written, part);
        if (taken >= 0) {
            written += static_cast<std::size_t>(taken);
        } else if (errno != EAGAIN && errno != EINTR) {
            closed_ = true; // Nothing can be told to a reader that is gone.
        }
    }
}

} // namespace Figward
