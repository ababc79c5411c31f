/** \file
 * Defines WriteQueue, which holds messages for a gRPC stream that takes only one write at a time.
 */
#pragma once

#include <deque>
#include <utility>

namespace Figward {

/** Messages in order; the first is being written. Not thread-safe: the reactor that owns it locks. */
template<typename Message>
class WriteQueue
{
public:
    /** Adds a message; returns it if the stream is free and the message is to be written now, else null. */
    const Message *push(Message message)
    {
        messages_.push_back(std::move(message));
        return messages_.size() == 1 ? &messages_.front() : nullptr;
    }

    /** The write has ended; returns the next message to be written, or null. */
    const Message *pop()
    {
        messages_.pop_front();
        return messages_.empty() ? nullptr : &messages_.front();
    }

    /** The last message if it may still be changed, or null. */
    Message *tail()
    {
        return messages_.size() < 2 ? nullptr : &messages_.back();
    }

    [[nodiscard]] bool empty() const
    {
        return messages_.empty();
    }

private:
    std::deque<Message> messages_; // A deque: a message under way keeps its place while others are added.
};

} // namespace Figward
