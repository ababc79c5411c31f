// A caller, or a process of another version, sends a message that can be parsed but has invalid contents: an unknown enum value, a token that
// no proxy issued, a duration of 500,000 years. It must not reach the reducer, which takes every request as validated; the sender is told that its
// request was not run.
#include "WirePeer.h"
#include "WirePlatform.h"
#include "WireRequest.h"
#include "WireUpstream.h"

#include <gmock/gmock.h>
#include <limits>

namespace Figward {

namespace {

v1::ExecuteRequest goodRequest()
{
    v1::ExecuteRequest in;
    in.mutable_request()->set_kind(v1::REQUEST_KIND_READ);
    in.mutable_request()->set_timeout_us(1000);
    return in;
}

TEST(MalformedMessagesAreRefused, FromCallers)
{
    EXPECT_EQ(Wire::decodeCallerRequest(goodRequest()).refusal_, ErrorKind::None);
    v1::ExecuteRequest in = goodRequest();
    in.set_token("no token");
    EXPECT_EQ(Wire::decodeCallerRequest(in).refusal_, ErrorKind::BadToken);
    in = goodRequest();
    in.mutable_request()->set_timeout_us(std::numeric_limits<std::uint64_t>::max());
    EXPECT_EQ(Wire::decodeCallerRequest(in).refusal_, ErrorKind::BadRequest);
    in = goodRequest();
    in.mutable_request()->set_max_staleness_us(std::numeric_limits<std::uint64_t>::max());
    EXPECT_EQ(Wire::decodeCallerRequest(in).refusal_, ErrorKind::BadRequest);
    EXPECT_EQ(Wire::decodeCallerRequest({}).refusal_, ErrorKind::BadRequest);
}

TEST(MalformedMessagesAreRefused, ACallerMayNotCancelKeys)
{
    v1::ExecuteRequest in = goodRequest();
    in.mutable_request()->set_kind(v1::REQUEST_KIND_CANCEL_KEY);
    EXPECT_EQ(Wire::decodeCallerRequest(in).refusal_, ErrorKind::BadRequest);
}

TEST(MalformedMessagesAreRefused, FromPeersUpstreamsAndThePlatform)
{
    EXPECT_FALSE(Wire::decodePeer({}).ok());
    v1::PeerMessage message;
    message.mutable_forward_request();
    EXPECT_FALSE(Wire::decodePeer(message).ok());
    message.mutable_forward_answer()->mutable_answer()->set_outcome(v1::OUTCOME_DONE);
    EXPECT_TRUE(Wire::decodePeer(message).ok());
    message.mutable_forward_answer()->mutable_answer()->set_error(static_cast<v1::ErrorKind>(1000));
    EXPECT_FALSE(Wire::decodePeer(message).ok());
    message.mutable_quota_loan()->set_lease_us(std::numeric_limits<std::uint64_t>::max());
    EXPECT_FALSE(Wire::decodePeer(message).ok());
    EXPECT_FALSE(Wire::decode(v1::UpstreamAnswer()).ok());
    EXPECT_FALSE(Wire::decode(v1::UpstreamStatement()).ok());
    EXPECT_FALSE(Wire::decodeControl({}).ok());
    EXPECT_FALSE(Wire::decode(CallId(1), v1::ObjectAnswer()).ok());
    EXPECT_FALSE(Wire::decode(CallId(1), v1::ListVmsAnswer()).ok());
}

} // namespace

} // namespace Figward
