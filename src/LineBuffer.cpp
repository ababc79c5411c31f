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

/** Interval at which a writer whose pipe is full checks whether it should stop. */
constexpr int pollMillis = 50;

/** Blocks SIGPIPE on this thread. A write to a pipe without a reader would end the process by this signal; the error of write() is sufficient. */
void blockPipeSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace

LineBuffer::LineBuffer(int fileDescriptor, std::size_t capacity)
    : fileDescriptor_(fileDescriptor)
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

bool LineBuffer::add(std::string line, LinePriority priority)
{
    {
        const std::scoped_lock lock(mutex_);
        const std::size_t room = priority == LinePriority::Important ? capacity_ : capacity_ / 2;
        if (size_ + line.size() > room) {
            return false;
        }
        size_ += line.size();
        lines_.push_back(std::move(line));
    }
    changed_.notify_all();
    return true;
}

bool LineBuffer::flush(std::chrono::milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, timeout, [this] { return size_ == 0; });
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
        pollfd pollRequest{fileDescriptor_, POLLOUT, 0};
        if (poll(&pollRequest, 1, pollMillis) <= 0) {
            const std::scoped_lock lock(mutex_);
            if (stopping_) {
                return; // The pipe is full and the buffer is being destroyed.
            }
            continue;
        }
        // A pipe that is ready for writing accepts up to PIPE_BUF bytes without blocking.
        const std::size_t size = std::min<std::size_t>(line.size() - written, PIPE_BUF);
        const ssize_t result = ::write(fileDescriptor_, line.data() + written, size);
        if (result >= 0) {
            written += static_cast<std::size_t>(result);
        } else if (errno != EAGAIN && errno != EINTR) {
            closed_ = true; // The reader has closed the pipe, so further lines are discarded.
        }
    }
}

} // namespace Figward
