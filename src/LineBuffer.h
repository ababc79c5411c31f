/** \file
 * Defines a bounded buffer of lines before a pipe that may be full or closed.
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

/** Which lines go first when there is little room. */
enum class LineRank {
    Ordinary, ///< Taken while half of the buffer is free.
    Important, ///< Taken while there is room at all.
};

/**
 * Writes lines to a file descriptor on a thread of its own. Adding never waits: a reader that does not read, or is gone, costs lines and nothing else.
 * Thread-safe.
 */
class LineBuffer
{
public:
    /** \p handle stays open for as long as the buffer is used; \p capacity is in bytes. */
    LineBuffer(int handle, std::size_t capacity);
    LineBuffer(const LineBuffer &) = delete;
    LineBuffer &operator=(const LineBuffer &) = delete;
    /** Lines that could not be written by then are lost. */
    ~LineBuffer();
    /** Adds a whole line; false if there is no room for it. */
    bool add(std::string line, LineRank rank);
    /** Waits until all lines have been handed to the system, \p limit at most; whether they have. */
    bool flush(std::chrono::milliseconds limit);

private:
    void run();
    void writeOut(const std::string &line);

    const int handle_;
    const std::size_t capacity_;
    bool closed_ = false; ///< The reader is gone; used by the thread only.
    std::mutex mutex_; ///< Guards what follows.
    std::condition_variable changed_;
    std::deque<std::string> lines_;
    std::size_t size_ = 0; ///< Bytes in lines_, and of the line that is being written.
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace Figward
