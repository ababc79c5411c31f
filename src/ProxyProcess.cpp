#include "ProxyProcess.h"

#include <absl/strings/str_cat.h>
#include <random>

namespace Figward {

namespace {

/** Time allowed for answers already sent to reach their callers before connections are closed. */
constexpr std::chrono::milliseconds closingGrace(2000);

std::uint64_t randomNumber()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

/** Shuts down a server if it was started, allowing \p grace for calls in flight to complete. */
void shutDown(ListeningServer &listening, std::chrono::milliseconds grace)
{
    if (listening.server_) {
        listening.server_->Shutdown(std::chrono::system_clock::now() + grace);
        listening.server_.reset();
    }
}

} // namespace

ProxyProcess::ProxyProcess(ProxyOptions options)
    : options_(std::move(options))
{
}

ProxyProcess::~ProxyProcess()
{
    kill();
}

absl::Status ProxyProcess::start()
{
    vm_.id_ = options_.id_ == VmId(0) ? VmId(randomNumber()) : options_.id_;
    vm_.zone_ = options_.zone_;
    // The address in vm_ is still empty: it is known only once the port is bound, and no event arrives before that.
    ProxyIdentity identity{vm_, options_.seeds_};
    loop_ = std::make_unique<EventLoop>(makeProxyState(identity, options_.seed_.value_or(randomNumber())));
    callers_ = std::make_unique<CallerServer>(*loop_);
    peers_ = std::make_unique<PeerServer>(*loop_);
    if (absl::Status status = listenAll(); !status.ok()) {
        kill();
        return status;
    }
    peerChannels_ = std::make_unique<ChannelPool>(clientCredentials(options_.peerTls_));
    upstreamChannels_ = std::make_unique<ChannelPool>(clientCredentials(std::nullopt));
    peerLinks_ = std::make_unique<PeerLinks>(*peerChannels_, *loop_);
    upstreamLinks_ = std::make_unique<UpstreamLinks>(*upstreamChannels_, *loop_);
    const std::shared_ptr<grpc::Channel> platform = upstreamChannels_->to(options_.platformAddress_);
    platform_ = std::make_unique<PlatformLink>(platform, *loop_);
    registration_ = std::make_unique<VmRegistration>(platform, vm_);
    options_.log_->write(LogNumber::ProcessStarted, {{"vm", absl::StrCat(vm_.id_.value())}, {"callers", callerAddress_}, {"peers", vm_.address_}});
    loop_->start({callers_.get(), peerLinks_.get(), upstreamLinks_.get(), platform_.get(), nullptr, options_.log_.get(), &metrics_}, vm_.address_);
    return absl::OkStatus();
}

absl::Status ProxyProcess::listenAll()
{
    absl::StatusOr<ListeningServer> peerServer =
        listen(options_.peerAddress_, serverCredentials(options_.peerTls_, ClientCertificate::Required), *peers_, messageLimit);
    if (!peerServer.ok()) {
        return peerServer.status();
    }
    peerServer_ = *std::move(peerServer);
    vm_.address_ = options_.advertisedAddress_.empty() ? peerServer_.address_ : options_.advertisedAddress_;
    const bool verifiesCallers = options_.callerTls_ && !options_.callerTls_->rootCertificates_.empty();
    const ClientCertificate clientCertificate = verifiesCallers ? ClientCertificate::Required : ClientCertificate::NotAsked;
    absl::StatusOr<ListeningServer> callerServer =
        listen(options_.callerAddress_, serverCredentials(options_.callerTls_, clientCertificate), *callers_, callerMessageLimit);
    if (!callerServer.ok()) {
        return callerServer.status();
    }
    callerServer_ = *std::move(callerServer);
    callerAddress_ = callerServer_.address_;
    return options_.metricsAddress_.empty() ? absl::OkStatus() : metrics_.expose(options_.metricsAddress_);
}

void ProxyProcess::drain()
{
    registration_->leave();
    loop_->post(DrainAsked{});
}

void ProxyProcess::awaitExit()
{
    if (!loop_ || !loop_->awaitExit()) {
        return;
    }
    // Nothing is in flight from here on. Requests that still arrive are refused as not run, so that each one gets an answer.
    callers_->close();
    shutDown(callerServer_, closingGrace);
    loop_->stop();
    peerLinks_->finish(closingGrace); // Delivers the last answers to other proxies.
    shutDown(peerServer_, std::chrono::milliseconds(0));
    registration_->end();
    releaseLinks();
}

void ProxyProcess::kill()
{
    if (!loop_) {
        return;
    }
    loop_->stop();
    callers_->cutOff();
    shutDown(callerServer_, std::chrono::milliseconds(0));
    shutDown(peerServer_, std::chrono::milliseconds(0));
    releaseLinks();
}

void ProxyProcess::releaseLinks()
{
    registration_.reset();
    peerLinks_.reset();
    upstreamLinks_.reset();
    platform_.reset();
    callers_.reset();
    peers_.reset();
    loop_.reset();
}

const std::string &ProxyProcess::callerAddress() const
{
    return callerAddress_;
}

const VmInfo &ProxyProcess::vm() const
{
    return vm_;
}

const Metrics &ProxyProcess::metrics() const
{
    return metrics_;
}

void ProxyProcess::run(const EventLoop::Step &step)
{
    loop_->run(step);
}

} // namespace Figward
