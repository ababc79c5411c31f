#include "GroupModel.h"

#include <gtest/gtest.h>

using namespace Figward;
using namespace Figward::Standin;

namespace {

constexpr Duration delay = std::chrono::milliseconds(5);
const IdempotencyKey firstKey{{100, 1}, Sequence(1)};

/** A group of three with a connection to each member. */
class StandinGroup : public testing::Test
{
protected:
    StandinGroup()
        : group_({.members_ = {MemberId("a"), MemberId("b"), MemberId("c")}}, 1, now_)
    {
        for (MemberIndex i = 0; i < group_.size(); ++i) {
            group_.connect(i, ReplyTag(i), now_);
            links_.push_back(std::get<ConnectReply>(group_.takeReplies().at(0).body_).link_);
        }
        now_ += 2 * delay;
    }

    std::optional<UpstreamAnswer> ask(MemberIndex member, RequestKind kind, Term term, const std::string &body, std::optional<IdempotencyKey> key = {})
    {
        now_ += delay;
        group_.send(links_[member], {.kind_ = kind, .requiredTerm_ = term, .key_ = key, .body_ = body}, now_);
        const std::vector<GroupReply> replies = group_.takeReplies();
        return replies.empty() ? std::nullopt : std::optional(std::get<StatementReply>(replies[0].body_).answer_);
    }

    ControlResult control(MemberIndex member, ControlBody body)
    {
        now_ += delay;
        group_.control(member, ReplyTag(0), {ControlId(1), std::move(body)}, now_);
        return std::get<ControlReply>(group_.takeReplies().at(0).body_).answer_.result_;
    }

    Time now_;
    GroupModel group_;
    std::vector<LinkId> links_;
};

} // namespace

TEST_F(StandinGroup, repeatsTheRecordedAnswerOfAKey)
{
    EXPECT_EQ(ask(0, RequestKind::Write, Term(1), "add n 2", firstKey)->result_, UpstreamResult::Done);
    const std::optional<UpstreamAnswer> again = ask(0, RequestKind::Write, Term(1), "add n 2", firstKey);
    EXPECT_EQ(again->result_, UpstreamResult::Recorded);
    EXPECT_EQ(again->body_, "2");
    EXPECT_EQ(group_.log(0).values().at("n"), "2");
}

TEST_F(StandinGroup, runsNothingUnderACancelledKey)
{
    EXPECT_EQ(ask(0, RequestKind::CancelKey, Term(1), "", firstKey)->result_, UpstreamResult::Cancelled);
    EXPECT_EQ(ask(0, RequestKind::Write, Term(1), "add n 2", firstKey)->result_, UpstreamResult::Cancelled);
    EXPECT_TRUE(group_.log(0).values().empty());
}

TEST_F(StandinGroup, replicatesAfterTheDelayAndNotThroughACut)
{
    group_.setCut(0, 2, true, now_);
    ask(0, RequestKind::Write, Term(1), "put n x", firstKey);
    EXPECT_EQ(group_.status(1).log_.position_, Position(1));
    group_.advance(now_ + delay);
    EXPECT_EQ(group_.status(1).log_.position_, Position(2));
    EXPECT_EQ(group_.status(2).log_.position_, Position(1));
}

TEST_F(StandinGroup, aFencedPrimaryRunsNothingAndCutsItsTailWhenItFollows)
{
    group_.setCut(0, 1, true, now_);
    group_.setCut(0, 2, true, now_);
    ask(0, RequestKind::Write, Term(1), "put n lost", firstKey);
    EXPECT_EQ(control(1, Fence{Term(2)}), ControlResult::Ok);
    EXPECT_EQ(control(2, Fence{Term(2)}), ControlResult::Ok);
    EXPECT_EQ(control(1, Fence{Term(2)}), ControlResult::Refused);
    EXPECT_EQ(control(1, Promote{Term(2)}), ControlResult::Ok);
    EXPECT_EQ(ask(0, RequestKind::Write, Term(2), "put n x")->result_, UpstreamResult::WrongTerm);
    EXPECT_EQ(control(0, Follow{MemberId("b"), Term(2)}), ControlResult::Ok);
    EXPECT_EQ(ask(0, RequestKind::Read, Term(0), "get n")->result_, UpstreamResult::WrongTerm) << "a member must not serve reads before it has compared logs";
    group_.setCut(0, 1, false, now_);
    group_.advance(now_ + delay);
    EXPECT_EQ(group_.log(0).entries(), group_.log(1).entries());
    EXPECT_EQ(group_.status(0).termStarts_, (std::vector{LogPoint{Term(1), Position(1)}, LogPoint{Term(2), Position(2)}}));
}

TEST_F(StandinGroup, aPausedMemberRunsWhatItReceivedWhenItResumes)
{
    group_.pause(0, now_);
    EXPECT_FALSE(ask(0, RequestKind::Write, Term(1), "put n x", firstKey).has_value());
    group_.close(links_[0], now_);
    group_.resume(0, now_);
    EXPECT_EQ(group_.log(0).values().at("n"), "x");
    EXPECT_FALSE(group_.isOpen(links_[0]));
}

TEST_F(StandinGroup, aTransactionTakesEffectAsOneEntryOrNotAtAll)
{
    ask(0, RequestKind::Begin, Term(1), "");
    EXPECT_EQ(ask(0, RequestKind::Write, Term(1), "append n x")->body_, "x");
    EXPECT_EQ(ask(0, RequestKind::Read, Term(1), "get n")->body_, "x");
    EXPECT_TRUE(group_.log(0).values().empty());
    EXPECT_EQ(ask(0, RequestKind::Commit, Term(1), "", firstKey)->result_, UpstreamResult::Done);
    ask(0, RequestKind::Begin, Term(1), "");
    ask(0, RequestKind::Write, Term(1), "append n y");
    group_.close(links_[0], now_);
    EXPECT_EQ(group_.log(0).values().at("n"), "x");
    EXPECT_EQ(group_.log(0).entries().size(), 2U);
}

TEST_F(StandinGroup, refusesTrimmedKeys)
{
    EXPECT_EQ(control(0, TrimKeys{200, Term(1)}), ControlResult::Ok);
    EXPECT_EQ(ask(0, RequestKind::Write, Term(1), "put n x", firstKey)->result_, UpstreamResult::Trimmed);
    EXPECT_TRUE(group_.log(0).values().empty());
}

TEST_F(StandinGroup, refusesConnectionsAboveItsLimitAndStatementsAboveItsSlots)
{
    for (std::uint32_t i = 3; i < group_.config().connectionLimit_.value(); ++i) {
        group_.connect(0, ReplyTag(i), now_);
    }
    EXPECT_FALSE(std::get<ConnectReply>(group_.takeReplies().back().body_).refused_);
    group_.connect(0, ReplyTag(0), now_);
    EXPECT_TRUE(std::get<ConnectReply>(group_.takeReplies().back().body_).refused_);
    for (std::uint32_t i = 0; i <= group_.config().slots_.value(); ++i) {
        group_.send(links_[0], {.kind_ = RequestKind::Read, .body_ = "get n"}, now_);
    }
    EXPECT_EQ(std::get<StatementReply>(group_.takeReplies().back().body_).answer_.result_, UpstreamResult::Busy);
}
