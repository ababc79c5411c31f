#include "Transport.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <chrono>
#include <grpc/support/log.h>

namespace Figward {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds firstReconnect(20);
constexpr milliseconds longestReconnect(500);
constexpr milliseconds connectTimeout(1000);
constexpr milliseconds keepaliveInterval(5000);
constexpr milliseconds keepaliveTimeout(2000);
constexpr milliseconds shortestPingInterval(1000); // Servers end connections that ping more often.

int asArgument(milliseconds duration)
{
    return static_cast<int>(duration.count());
}

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

/**
 * Keeps \p channel, if it is the first, until the process has ended. When the last channel goes, gRPC winds up its callback queue on threads of its own; if
 * the process ends meanwhile, one of them aborts it after its work was done, with a wrong exit code. A queue that is never wound up cannot do that.
 */
void keepFirst(const std::shared_ptr<grpc::Channel> &channel)
{
    static std::once_flag once;
    std::call_once(once, [&] { [[maybe_unused]] static const auto *kept = new std::shared_ptr<grpc::Channel>(channel); });
}

/**
 * Debian builds absl with its search for lock cycles, which gRPC pays at each of its locks, all threads under one global lock. It looks for faults of
 * gRPC itself, and aborts when it finds one; no lock of figward is of this kind.
 */
void stopLockCycleSearch()
{
    static std::once_flag once;
    std::call_once(once, [] { absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore); });
}

} // namespace

void silenceLibraryLog()
{
    gpr_set_log_function([](gpr_log_func_args * /*line*/) {});
}

std::shared_ptr<grpc::ChannelCredentials> clientCredentials(const std::optional<TlsMaterial> &tls)
{
    if (!tls) {
        return grpc::InsecureChannelCredentials();
    }
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = tls->rootCertificates_;
    options.pem_private_key = tls->privateKey_;
    options.pem_cert_chain = tls->certificateChain_;
    return grpc::SslCredentials(options);
}

std::shared_ptr<grpc::ServerCredentials> serverCredentials(const std::optional<TlsMaterial> &tls, ClientCertificate asked)
{
    if (!tls) {
        return grpc::InsecureServerCredentials();
    }
    const bool required = asked == ClientCertificate::Required;
    grpc::SslServerCredentialsOptions options(required ? GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY : GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE);
    options.pem_root_certs = tls->rootCertificates_;
    options.pem_key_cert_pairs.push_back({tls->privateKey_, tls->certificateChain_});
    return grpc::SslServerCredentials(options);
}

std::shared_ptr<grpc::Channel> openChannel(const std::string &address, const std::shared_ptr<grpc::ChannelCredentials> &credentials)
{
    stopLockCycleSearch();
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(messageLimit);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, asArgument(firstReconnect));
    // Also the time after which an attempt to connect is given up.
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, asArgument(connectTimeout));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, asArgument(longestReconnect));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, asArgument(keepaliveInterval));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, asArgument(keepaliveTimeout));
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    // Proxies that share a test process must not share sockets: killing one would not end its connections.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    // Addresses are IP numbers from settings; a proxy variable of the environment is not for them.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    std::shared_ptr<grpc::Channel> channel = grpc::CreateCustomChannel(address, credentials, arguments);
    keepFirst(channel);
    return channel;
}

ChannelPool::ChannelPool(std::shared_ptr<grpc::ChannelCredentials> credentials)
    : credentials_(std::move(credentials))
{
}

std::shared_ptr<grpc::Channel> ChannelPool::to(const std::string &address)
{
    const std::scoped_lock lock(mutex_);
    std::shared_ptr<grpc::Channel> &channel = channels_[address];
    if (!channel) {
        channel = openChannel(address, credentials_);
    }
    return channel;
}

absl::StatusOr<ListeningServer>
listen(const std::string &address, const std::shared_ptr<grpc::ServerCredentials> &credentials, grpc::Service &service, int messageLimit)
{
    return listen(std::vector<std::string>{address}, credentials, service, messageLimit);
}

absl::StatusOr<ListeningServer>
listen(const std::vector<std::string> &addresses, const std::shared_ptr<grpc::ServerCredentials> &credentials, grpc::Service &service, int messageLimit)
{
    stopLockCycleSearch();
    grpc::ServerBuilder builder;
    std::vector<int> ports(addresses.size(), 0);
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        builder.AddListeningPort(addresses[i], credentials, &ports[i]);
    }
    // With address reuse two processes could share a port, and half of the callers would meet the wrong one.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, asArgument(shortestPingInterval));
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    builder.SetMaxReceiveMessageSize(messageLimit);
    builder.RegisterService(&service);
    ListeningServer listening{builder.BuildAndStart(), {}, {}};
    if (!listening.server_ || std::ranges::find(ports, 0) != ports.end()) {
        return absl::UnavailableError(absl::StrCat("cannot listen at ", absl::StrJoin(addresses, ", ")));
    }
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        listening.addresses_.push_back(absl::StrCat(hostOf(addresses[i]), ":", ports[i]));
    }
    listening.address_ = listening.addresses_.front();
    return listening;
}

} // namespace Figward
