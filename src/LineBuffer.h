/** \file
 * Defines a bounded buffer of lines in front of a pipe that may be full or closed.
 */
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace Figward {

/** Priority of a line when the buffer fills up. */
enum class LinePriority {
    Ordinary, ///< Accepted while at least half of the buffer is free.
    Important, ///< Accepted as long as the line fits into the buffer.
};

/**
 * Writes lines to a file descriptor on a dedicated thread. Adding a line never blocks: if the reader of the pipe is slow or has closed it, lines are lost
 * and there is no other effect. Thread-safe.
 */
class LineBuffer
{
public:
    /** \p fileDescriptor must stay open for the lifetime of the buffer; \p capacity is in bytes. */
    LineBuffer(int fileDescriptor, std::size_t capacity);
    LineBuffer(const LineBuffer &) = delete;
    LineBuffer &operator=(const LineBuffer &) = delete;
    /** Discards lines that the reader does not accept at once. */
    ~LineBuffer();
    /** Adds a whole line; returns false if the buffer has no room for it. */
    bool add(std::string line, LinePriority priority);
    /** Waits at most \p timeout until all lines have been written to the file descriptor. Returns whether they have. */
    bool flush(std::chrono::milliseconds timeout);

private:
    void run();
    void writeOut(const std::string &line);

    const int fileDescriptor_;
    const std::size_t capacity_;
    bool closed_ = false; ///< The reader has closed the pipe. Used by the writing thread only.
    std::mutex mutex_; ///< Guards the members below.
    std::condition_variable changed_;
    std::deque<std::string> lines_;
    std::size_t size_ = 0; ///< Total size in bytes of lines_ and of the line that is being written.
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace Figward
