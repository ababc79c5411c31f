/** \file
 * Checks that messages to other processes are unchanged by encoding and decoding.
 */
#include "WirePeer.h"
#include "WirePlatform.h"
#include "WireRequest.h"
#include "WireUpstream.h"

#include <gmock/gmock.h>

namespace Figward {

namespace {

Request fullRequest()
{
    Request request;
    request.kind_ = RequestKind::Write;
    request.service_ = ServiceId("ledger");
    request.group_ = GroupId("ledger-1");
    request.body_ = std::string("a\0b", 3);
    request.key_ = IdempotencyKey{{1700000000, 42}, Sequence(7)};
    request.acknowledgedBelow_ = Sequence(5);
    request.idempotent_ = true;
    request.transaction_ = TransactionId(9);
    advance(request.token_, GroupId("ledger-1"), {Term(3), Position(14)});
    request.maxStaleness_ = std::chrono::milliseconds(250);
    request.timeout_ = std::chrono::seconds(2);
    request.class_ = ClassId("dispatch");
    return request;
}

Answer fullAnswer()
{
    Answer answer;
    answer.outcome_ = Outcome::Unknown;
    answer.error_ = ErrorKind::NoSuchTransaction;
    answer.body_ = "row";
    advance(answer.token_, GroupId("ledger-1"), {Term(3), Position(15)});
    answer.retryAfter_ = std::chrono::milliseconds(30);
    answer.transaction_ = TransactionId(9);
    answer.servedBy_ = MemberId("ledger-1-b");
    answer.fromReplica_ = true;
    return answer;
}

void expectEqual(const Request &a, const Request &b)
{
    EXPECT_EQ(a.kind_, b.kind_);
    EXPECT_EQ(a.service_, b.service_);
    EXPECT_EQ(a.group_, b.group_);
    EXPECT_EQ(a.body_, b.body_);
    EXPECT_EQ(a.key_, b.key_);
    EXPECT_EQ(a.acknowledgedBelow_, b.acknowledgedBelow_);
    EXPECT_EQ(a.idempotent_, b.idempotent_);
    EXPECT_EQ(a.transaction_, b.transaction_);
    EXPECT_EQ(a.token_, b.token_);
    EXPECT_EQ(a.maxStaleness_, b.maxStaleness_);
    EXPECT_EQ(a.timeout_, b.timeout_);
    EXPECT_EQ(a.class_, b.class_);
}

void expectEqual(const Answer &a, const Answer &b)
{
    EXPECT_EQ(a.outcome_, b.outcome_);
    EXPECT_EQ(a.error_, b.error_);
    EXPECT_EQ(a.body_, b.body_);
    EXPECT_EQ(a.token_, b.token_);
    EXPECT_EQ(a.retryAfter_, b.retryAfter_);
    EXPECT_EQ(a.transaction_, b.transaction_);
    EXPECT_EQ(a.servedBy_, b.servedBy_);
    EXPECT_EQ(a.fromReplica_, b.fromReplica_);
}

TEST(MessagesSurviveTheWire, CallersRequestAndAnswer)
{
    const Wire::CallerRequest request = Wire::decodeCallerRequest(Wire::encodeCallerRequest(fullRequest()));
    EXPECT_EQ(request.refusal_, ErrorKind::None);
    expectEqual(request.request_, fullRequest());
    const absl::StatusOr<Answer> answer = Wire::decodeCallerAnswer(Wire::encodeCallerAnswer(fullAnswer()));
    ASSERT_TRUE(answer.ok());
    expectEqual(*answer, fullAnswer());
}

TEST(MessagesSurviveTheWire, EveryErrorKindKeepsItsName)
{
    const google::protobuf::EnumDescriptor &names = *v1::ErrorKind_descriptor();
    for (int number = 0; number < names.value_count(); ++number) {
        std::string name = names.value(number)->name();
        name.erase(0, std::string("ERROR_KIND_").size());
        std::ranges::transform(name, name.begin(), [](char c) { return c == '_' ? '-' : static_cast<char>(std::tolower(c)); });
        EXPECT_EQ(name, toString(static_cast<ErrorKind>(names.value(number)->number())));
    }
    EXPECT_EQ(names.value_count(), static_cast<int>(ErrorKind::NoSuchTransaction) + 1);
}

/** Returns one message of each kind with every field set. The test compares their encoded forms, which contain all fields. */
std::vector<PeerBody> everyPeerBody()
{
    const VmInfo vm{VmId(3), ZoneId("z1"), "10.0.0.3:7000", true};
    const GroupId group("ledger-1");
    return {
        ForwardRequest{RequestId(1), fullRequest()},
        ForwardAnswer{RequestId(1), fullAnswer()},
        AbandonTransaction{TransactionId(4)},
        SuspicionQuery{group, Term(2), MemberId("a")},
        SuspicionAnswer{group, Term(2), true},
        PrimaryNews{group, Term(2), MemberId("a")},
        Heartbeat{vm, true},
        VmListNews{{vm}, {VmId(8)}},
        ManifestRequest{},
        ManifestNews{ConfigVersion(5), "manifest"},
        PartsRequest{{"h1", "h2"}},
        PartsNews{{"p1", "p2"}},
        QuotaRequest{group, 11, ConnectionCount(2), SlotCount(1)},
        QuotaLoan{group, 11, 12, ConnectionCount(2), SlotCount(1), std::chrono::seconds(3)},
        TermHandover{group, Term(10), Term(19)},
        StatusNews{"report"},
        QuotaReturn{group, 12},
    };
}

TEST(MessagesSurviveTheWire, EveryPeerMessage)
{
    const std::vector<PeerBody> bodies = everyPeerBody();
    ASSERT_EQ(bodies.size(), std::variant_size_v<PeerBody>);
    for (std::size_t kind = 0; kind < bodies.size(); ++kind) {
        ASSERT_EQ(bodies[kind].index(), kind);
        v1::PeerMessage sent;
        Wire::encodePeer({VmId(1), VmId(2), "10.0.0.1:7000", ConfigVersion(6), bodies[kind]}, sent);
        const absl::StatusOr<PeerMessage> received = Wire::decodePeer(sent);
        ASSERT_TRUE(received.ok()) << kind;
        EXPECT_EQ(received->body_.index(), kind);
        EXPECT_EQ(received->from_, VmId(1));
        EXPECT_EQ(received->to_, VmId(2));
        EXPECT_EQ(received->configVersion_, ConfigVersion(6));
        v1::PeerMessage again;
        Wire::encodePeer(*received, again);
        EXPECT_EQ(again.DebugString(), sent.DebugString());
    }
}

TEST(MessagesSurviveTheWire, StatementsAndControlCalls)
{
    const UpstreamStatement statement{StatementId(1), RequestKind::CancelKey, Term(2), IdempotencyKey{{1, 2}, Sequence(3)}, Sequence(2), "body"};
    v1::UpstreamStatement sent;
    Wire::encode(statement, sent);
    const absl::StatusOr<UpstreamStatement> received = Wire::decode(sent);
    ASSERT_TRUE(received.ok());
    EXPECT_EQ(received->kind_, RequestKind::CancelKey);
    EXPECT_EQ(received->key_, statement.key_);
    EXPECT_EQ(received->requiredTerm_, Term(2));

    const MemberStatus status{{Term(2), Position(9)}, Term(3), true, {{Term(1), Position(1)}, {Term(2), Position(5)}}};
    for (int result = 0; result <= static_cast<int>(UpstreamResult::NoTransaction); ++result) {
        v1::UpstreamAnswer out;
        Wire::encode(UpstreamAnswer{StatementId(1), static_cast<UpstreamResult>(result), "b", {Term(2), Position(9)}, status}, out);
        const absl::StatusOr<UpstreamAnswer> in = Wire::decode(out);
        ASSERT_TRUE(in.ok());
        EXPECT_EQ(in->result_, static_cast<UpstreamResult>(result));
        EXPECT_EQ(in->status_, status);
    }
    const std::vector<ControlBody> calls{Probe{}, Fence{Term(4)}, Promote{Term(4)}, Follow{MemberId("a"), Term(4)}, TrimKeys{17, Term(4)}};
    ASSERT_EQ(calls.size(), std::variant_size_v<ControlBody>);
    for (const ControlBody &call : calls) {
        const v1::ControlRequest request = Wire::encodeControl(MemberId("m"), call);
        const absl::StatusOr<ControlBody> decoded = Wire::decodeControl(request);
        ASSERT_TRUE(decoded.ok());
        EXPECT_EQ(Wire::encodeControl(MemberId("m"), *decoded).DebugString(), request.DebugString());
    }
}

} // namespace

} // namespace Figward
