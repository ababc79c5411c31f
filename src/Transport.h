/** \file
 * Defines how gRPC channels and servers are set up: limits, keepalive, reconnection, certificates.
 */
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Figward {

/** Stops gRPC from writing to standard error: the same failures reach figward as a status and are logged under an event number of figward. */
void silenceLibraryLog();

/** Largest message that a caller may send, in bytes. */
inline constexpr int callerMessageLimit = 1 << 20;
/**
 * Largest message between other processes, in bytes. Far above the caller's limit, since accepted requests are forwarded in an envelope and
 * in batches, and a message above a receiver's limit would break the stream that all requests between two proxies share.
 */
inline constexpr int messageLimit = 1 << 24;

/** Certificates in PEM. */
struct TlsMaterial
{
    std::string certificateChain_;
    std::string privateKey_;
    std::string rootCertificates_; ///< Certificates of the authorities that sign the peer's certificate.
};

/** Whether a server asks its clients for a certificate. */
enum class ClientCertificate {
    NotAsked,
    Required,
};

/** Credentials of a client; without \p tls the connection is in plain text. */
std::shared_ptr<grpc::ChannelCredentials> clientCredentials(const std::optional<TlsMaterial> &tls);
/** Credentials of a server; without \p tls it speaks plain text. */
std::shared_ptr<grpc::ServerCredentials> serverCredentials(const std::optional<TlsMaterial> &tls, ClientCertificate asked);

/** Opens a channel that reconnects within half a second and detects an unresponsive peer within seconds. */
std::shared_ptr<grpc::Channel> openChannel(const std::string &address, const std::shared_ptr<grpc::ChannelCredentials> &credentials);

/** The channels of one process, one for each address, opened on first use. Thread-safe. */
class ChannelPool
{
public:
    explicit ChannelPool(std::shared_ptr<grpc::ChannelCredentials> credentials);
    std::shared_ptr<grpc::Channel> to(const std::string &address);

private:
    std::shared_ptr<grpc::ChannelCredentials> credentials_;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<grpc::Channel>> channels_;
};

/** A running server and the addresses that it listens on. */
struct ListeningServer
{
    std::unique_ptr<grpc::Server> server_;
    std::string address_; ///< "host:port" with the port that was bound; the first if there are several.
    std::vector<std::string> addresses_; ///< All bound addresses, in the requested order.
};

/** Serves \p service at \p address, "host:port"; port 0 selects a free port. Returns Unavailable if the port cannot be bound. */
absl::StatusOr<ListeningServer>
listen(const std::string &address, const std::shared_ptr<grpc::ServerCredentials> &credentials, grpc::Service &service, int messageLimit);
/** Serves \p service at several addresses. */
absl::StatusOr<ListeningServer>
listen(const std::vector<std::string> &addresses, const std::shared_ptr<grpc::ServerCredentials> &credentials, grpc::Service &service, int messageLimit);

} // namespace Figward
