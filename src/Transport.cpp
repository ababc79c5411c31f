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
constexpr milliseconds shortestPingInterval(1000); // Servers close connections that ping more often.

int asArgument(milliseconds duration)
{
    return static_cast<int>(duration.count());
}

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

/**
 * Keeps the first \p channel alive until the process exits. When the last channel is destroyed, gRPC shuts down its callback queue on its own threads; if
 * the process exits meanwhile, one of them aborts it after all work is done, with a wrong exit code. A queue that is never shut down avoids this.
 */
void keepFirstChannel(const std::shared_ptr<grpc::Channel> &channel)
{
    static std::once_flag once;
    std::call_once(once, [&] { [[maybe_unused]] static const auto *kept = new std::shared_ptr<grpc::Channel>(channel); });
}

/**
 * Disables the deadlock detection of absl::Mutex, which Debian's build enables. It makes each lock operation in gRPC take one global lock, and aborts the
 * process when it finds a lock cycle. It can find only faults in gRPC, since figward does not use absl::Mutex.
 */
void disableDeadlockDetection()
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
    disableDeadlockDetection();
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(messageLimit);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, asArgument(firstReconnect));
    // Also the timeout of a connection attempt.
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, asArgument(connectTimeout));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, asArgument(longestReconnect));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, asArgument(keepaliveInterval));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, asArgument(keepaliveTimeout));
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    // Proxies in one test process must not share sockets; otherwise, stopping one would not close its connections.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    // Addresses are IP addresses from the settings; proxy variables of the environment must not apply to them.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    std::shared_ptr<grpc::Channel> channel = grpc::CreateCustomChannel(address, credentials, arguments);
    keepFirstChannel(channel);
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
    disableDeadlockDetection();
    grpc::ServerBuilder builder;
    std::vector<int> ports(addresses.size(), 0);
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        builder.AddListeningPort(addresses[i], credentials, &ports[i]);
    }
    // With port reuse, two processes could share a port, and half of the callers would reach the wrong one.
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
