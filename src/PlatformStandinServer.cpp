#include "PlatformStandinServer.h"

#include "WirePlatform.h"
#include "WireRequest.h"

#include <algorithm>

namespace Figward::Standin {

namespace {

/** A VM whose last registration is older than this is removed from the list. */
constexpr Duration registrationLifetime = std::chrono::seconds(3);
constexpr Duration expiryInterval = std::chrono::milliseconds(500);

Duration timeLeft(const grpc::CallbackServerContext &context)
{
    const auto left = std::chrono::duration_cast<Duration>(context.deadline() - std::chrono::system_clock::now());
    return std::clamp(left, Duration(0), Wire::longestDuration);
}

/** Fills the reply of a Get, Put or Watch. */
std::function<void(const PlatformAnswer &)> fillObject(v1::ObjectAnswer *reply)
{
    return [reply](const PlatformAnswer &answer) { *reply = Wire::encodeObject(answer); };
}

} // namespace

PlatformStandinServer::PlatformStandinServer(PlatformModelConfig config, std::uint64_t seed)
    : model_(config, seed)
{
    clock_.post([this] { expireVms(); });
}

PlatformStandinServer::~PlatformStandinServer()
{
    if (server_.server_) {
        server_.server_->Shutdown(std::chrono::system_clock::now());
        clock_.run([] { /* Waits until the tasks that the last calls posted have run. */ });
    }
    for (const auto &[tag, waiting] : waiting_) {
        waiting.call_->release();
    }
}

absl::Status PlatformStandinServer::start(const std::string &address)
{
    absl::StatusOr<ListeningServer> server = listen(address, serverCredentials(std::nullopt, ClientCertificate::NotAsked), *this, messageLimit);
    if (!server.ok()) {
        return server.status();
    }
    server_ = *std::move(server);
    address_ = server_.address_;
    return absl::OkStatus();
}

const std::string &PlatformStandinServer::address() const
{
    return address_;
}

void PlatformStandinServer::run(const Step &step)
{
    clock_.run([&] {
        step(model_, StandinClock::now());
        deliverReplies();
    });
}

grpc::ServerUnaryReactor *PlatformStandinServer::Get(grpc::CallbackServerContext *context, const v1::GetRequest *request, v1::ObjectAnswer *reply)
{
    return begin(GetObject{request->path()}, timeLeft(*context), fillObject(reply));
}

grpc::ServerUnaryReactor *PlatformStandinServer::Put(grpc::CallbackServerContext *context, const v1::PutRequest *request, v1::ObjectAnswer *reply)
{
    PutObject put{request->path(), ObjectVersion(request->expected_version()), request->value()};
    return begin(std::move(put), timeLeft(*context), fillObject(reply));
}

grpc::ServerUnaryReactor *PlatformStandinServer::Watch(grpc::CallbackServerContext *context, const v1::WatchRequest *request, v1::ObjectAnswer *reply)
{
    const Duration wait = Wire::decodeDuration(request->wait_us()).value_or(Wire::longestDuration);
    return begin(WatchObject{request->path(), ObjectVersion(request->after_version())}, std::min(wait, timeLeft(*context)), fillObject(reply));
}

grpc::ServerUnaryReactor *PlatformStandinServer::ListVms(grpc::CallbackServerContext *context, const v1::ListVmsRequest * /*request*/, v1::ListVmsAnswer *reply)
{
    return begin(Figward::ListVms{}, timeLeft(*context), [reply](const PlatformAnswer &answer) { *reply = Wire::encodeVms(answer); });
}

grpc::ServerUnaryReactor *
PlatformStandinServer::RegisterVm(grpc::CallbackServerContext *context, const v1::RegisterVmRequest *request, v1::RegisterVmAnswer * /*reply*/)
{
    clock_.post([this, vm = Wire::decode(request->vm()), gone = request->gone()] { registerVm(vm, gone); });
    grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

grpc::ServerUnaryReactor *PlatformStandinServer::begin(PlatformBody body, Duration timeout, std::function<void(const PlatformAnswer &)> fill)
{
    auto *call = new StandinCall;
    clock_.post([this, call, timeout, body = std::move(body), fill = std::move(fill)] {
        const PlatformTag tag(nextTag_++);
        waiting_[tag] = {call, fill};
        model_.call(tag, {CallId(tag.value()), timeout, body}, StandinClock::now());
        deliverReplies();
    });
    return call;
}

void PlatformStandinServer::deliverReplies()
{
    for (PlatformReply &reply : model_.takeReplies(StandinClock::now())) {
        clock_.runAt(reply.at_, [this, tag = reply.tag_, answer = std::move(reply.answer_)] { deliver(tag, answer); });
    }
    const std::optional<Time> next = model_.nextTimeout();
    if (next && (!timeoutAt_ || *next < *timeoutAt_)) {
        timeoutAt_ = next;
        clock_.runAt(*next, [this] {
            timeoutAt_.reset();
            deliverReplies();
        });
    }
}

void PlatformStandinServer::deliver(PlatformTag tag, const PlatformAnswer &answer)
{
    const auto found = waiting_.find(tag);
    if (found == waiting_.end()) {
        return;
    }
    if (answer.status_ != PlatformStatus::Lost) { // A lost answer is never sent: the client's own deadline ends the call.
        found->second.call_->answer([&] { found->second.fill_(answer); });
    }
    found->second.call_->release();
    waiting_.erase(found);
}

void PlatformStandinServer::registerVm(const VmInfo &vm, bool gone)
{
    if (gone) {
        vms_.erase(vm.id_);
    } else {
        vms_[vm.id_] = {vm, StandinClock::now() + registrationLifetime};
    }
    publishVms();
}

void PlatformStandinServer::publishVms()
{
    std::vector<VmInfo> vms;
    for (const auto &[id, registered] : vms_) {
        vms.push_back(registered.vm_);
    }
    if (vms != published_) {
        published_ = vms;
        model_.setVms(std::move(vms), StandinClock::now());
    }
}

void PlatformStandinServer::expireVms()
{
    const Time now = StandinClock::now();
    std::erase_if(vms_, [now](const auto &entry) { return entry.second.expires_ <= now; });
    publishVms();
    clock_.runAt(now + expiryInterval, [this] { expireVms(); });
}

} // namespace Figward::Standin
