/** \file
 * Defines WriteQueue, which queues messages for a gRPC stream, as a stream allows only one write at a time.
 */
#pragma once

#include <deque>
#include <utility>

namespace Figward {

/** Queue of messages in order; the first one is being written. Not thread-safe: the reactor that owns it must hold a lock. */
template<typename Message>
class WriteQueue
{
public:
    /** Adds a message. Returns it if the stream is idle, so that the message must be written now; otherwise null. */
    const Message *push(Message message)
    {
        messages_.push_back(std::move(message));
        return messages_.size() == 1 ? &messages_.front() : nullptr;
    }

    /** Removes the message whose write has completed. Returns the next message to write, or null. */
    const Message *pop()
    {
        messages_.pop_front();
        return messages_.empty() ? nullptr : &messages_.front();
    }

    /** Returns the last message if its write has not started, so that it may still be changed; otherwise null. */
    Message *tail()
    {
        return messages_.size() < 2 ? nullptr : &messages_.back();
    }

    [[nodiscard]] bool empty() const
    {
        return messages_.empty();
    }

private:
    std::deque<Message> messages_; // In a deque, a message being written keeps its address while others are appended.
};

} // namespace Figward
