#include "Admission.h"

#include <gtest/gtest.h>

using namespace Figward;

namespace {

const Time now(std::chrono::seconds(10));

QueuePlace place(unsigned priority, std::int64_t deadlineMs, std::uint64_t ticket)
{
    return {priority, now + std::chrono::milliseconds(deadlineMs), Ticket(ticket)};
}

} // namespace

TEST(QueueServesUrgentWorkFirst, byClassThenByDeadline)
{
    AdmissionQueue queue;
    admit(queue, place(1, 100, 1), 10, SlotCount(5), now);
    admit(queue, place(0, 900, 2), 10, SlotCount(5), now);
    admit(queue, place(0, 300, 3), 10, SlotCount(5), now);
    std::vector<std::uint64_t> order;
    for (const QueuePlace &queued : queue.places_) {
        order.push_back(queued.ticket_.value());
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{3, 2, 1}));
}

TEST(QueueServesUrgentWorkFirst, fullQueueGivesWayToMoreUrgentWork)
{
    AdmissionQueue queue;
    admit(queue, place(1, 500, 1), 2, SlotCount(5), now);
    admit(queue, place(1, 600, 2), 2, SlotCount(5), now);
    const AdmissionVerdict equal = admit(queue, place(1, 100, 3), 2, SlotCount(5), now);
    EXPECT_EQ(equal.refusal_, ErrorKind::QueueFull);
    EXPECT_GT(equal.retryAfter_, Duration::zero());
    const AdmissionVerdict urgent = admit(queue, place(0, 500, 4), 2, SlotCount(5), now);
    EXPECT_EQ(urgent.refusal_, ErrorKind::None);
    ASSERT_TRUE(urgent.evicted_.has_value());
    EXPECT_EQ(urgent.evicted_->ticket_, Ticket(2));
}

TEST(QueueServesUrgentWorkFirst, workThatWouldBeLateIsRefusedAtOnce)
{
    AdmissionQueue queue;
    queue.serviceTime_ = std::chrono::milliseconds(10);
    for (std::uint64_t ticket = 1; ticket <= 10; ++ticket) {
        admit(queue, place(0, 1000, ticket), 100, SlotCount(1), now);
    }
    const AdmissionVerdict late = admit(queue, place(1, 50, 11), 100, SlotCount(1), now);
    EXPECT_EQ(late.refusal_, ErrorKind::Overloaded);
    EXPECT_EQ(late.retryAfter_, std::chrono::milliseconds(100));
}
