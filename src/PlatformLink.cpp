#include "PlatformLink.h"

#include "WirePlatform.h"
#include "WireRequest.h"

namespace Figward {

namespace {

/** The platform is asked to end a watch early by one part in this many of its timeout, so that the answer arrives in time. */
constexpr int watchReserveDivisor = 10;

/**
 * Returns the status of a call that failed without an answer. A put may have reached the platform before the connection broke, and gRPC does not
 * say whether it did. It counts as lost; otherwise an update that took effect would be mistaken for one that did not.
 */
PlatformStatus statusOfFailedCall(const PlatformBody &body, const grpc::Status &status)
{
    const bool changes = std::holds_alternative<PutObject>(body);
    return status.error_code() == grpc::StatusCode::UNAVAILABLE && !changes ? PlatformStatus::Unavailable : PlatformStatus::Lost;
}

} // namespace

template<typename Request, typename Reply>
struct PlatformLink::Call
{
    Call(const PlatformCall &call)
        : call_(call)
    {
        context_.set_deadline(std::chrono::system_clock::now() + call.timeout_);
    }

    PlatformCall call_;
    grpc::ClientContext context_;
    Request request_;
    Reply reply_;
};

PlatformLink::PlatformLink(const std::shared_ptr<grpc::Channel> &channel, EventSink &events)
    : stub_(v1::Platform::NewStub(channel))
    , events_(events)
{
}

PlatformLink::~PlatformLink()
{
    rundown_.cancelAndWait();
}

void PlatformLink::call(const PlatformCall &call)
{
    std::visit([&](const auto &body) { start(call, body); }, call.body_);
}

template<typename Request, typename Reply, typename Start>
void PlatformLink::run(const std::shared_ptr<Call<Request, Reply>> &call, Start start)
{
    if (!rundown_.enter(call->context_)) {
        return;
    }
    start(&call->context_, &call->request_, &call->reply_, [this, call](const grpc::Status &status) {
        absl::StatusOr<PlatformAnswer> answer = absl::UnknownError("no answer");
        if (status.ok()) {
            answer = Wire::decode(call->call_.id_, std::move(call->reply_));
        }
        if (!answer.ok()) {
            answer = PlatformAnswer{call->call_.id_, statusOfFailedCall(call->call_.body_, status), {}, {}, {}};
        }
        events_.post(PlatformAnswered{*std::move(answer)});
        rundown_.leave(call->context_);
    });
}

void PlatformLink::start(const PlatformCall &call, const GetObject &body)
{
    const auto get = std::make_shared<Call<v1::GetRequest, v1::ObjectAnswer>>(call);
    get->request_.set_path(body.path_);
    run(get, [this](auto &&...arguments) { stub_->async()->Get(std::forward<decltype(arguments)>(arguments)...); });
}

void PlatformLink::start(const PlatformCall &call, const PutObject &body)
{
    const auto put = std::make_shared<Call<v1::PutRequest, v1::ObjectAnswer>>(call);
    put->request_.set_path(body.path_);
    put->request_.set_expected_version(body.expected_.value());
    put->request_.set_value(body.value_);
    run(put, [this](auto &&...arguments) { stub_->async()->Put(std::forward<decltype(arguments)>(arguments)...); });
}

void PlatformLink::start(const PlatformCall &call, const WatchObject &body)
{
    const auto watch = std::make_shared<Call<v1::WatchRequest, v1::ObjectAnswer>>(call);
    watch->request_.set_path(body.path_);
    watch->request_.set_after_version(body.after_.value());
    watch->request_.set_wait_us(Wire::encodeDuration(call.timeout_ - call.timeout_ / watchReserveDivisor));
    run(watch, [this](auto &&...arguments) { stub_->async()->Watch(std::forward<decltype(arguments)>(arguments)...); });
}

void PlatformLink::start(const PlatformCall &call, const ListVms & /*body*/)
{
    const auto list = std::make_shared<Call<v1::ListVmsRequest, v1::ListVmsAnswer>>(call);
    run(list, [this](auto &&...arguments) { stub_->async()->ListVms(std::forward<decltype(arguments)>(arguments)...); });
}

} // namespace Figward
