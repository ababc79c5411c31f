/** \file
 * Defines the settings of one process, read from its settings file (JSON with comments): addresses, availability zone, platform and log.
 */
#pragma once

#include "FieldTable.h"
#include "Ids.h"
#include "LogEvents.h"
#include "SessionPolicies.h"
#include "TextProblem.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Figward {

/** Paths of PEM files for TLS. */
struct TlsFiles
{
    std::string certificateFile_;
    std::string keyFile_;
    std::string caFile_; ///< CA certificates that verify the peer's certificate; if empty, no peer certificate is requested.
    bool operator==(const TlsFiles &) const = default;
};

/** Settings of a process that serves database sessions on the users' platform. */
struct SessionSettings
{
    std::string vmName_;
    std::string readyAddress_; ///< Address of the readiness endpoint, which tells the platform whether to route new clients to this VM.
    std::string promotionAddress_; ///< Address of the platform's promotion API, which makes a member the primary.
    std::int64_t drainMillis_ = 0; ///< Time from the termination signal until the platform kills the process.
    SessionPolicies policies_;
    bool operator==(const SessionSettings &) const = default;
};

/** Settings of one proxy process. */
struct Settings
{
    std::string name_; ///< Name of the process in logs; the advertised address if the file sets none.
    ZoneId zone_;
    std::string callerAddress_; ///< Listening address for callers.
    std::string peerAddress_; ///< Listening address for other proxies.
    std::string advertisedAddress_; ///< Address at which other proxies reach this one; the peer address if the file sets none.
    std::string platformAddress_;
    std::string metricsAddress_; ///< If empty, no metrics are served.
    std::vector<std::string> seeds_; ///< Peer addresses of proxies to contact when the platform is unreachable.
    std::string logFile_; ///< If empty, the log goes to a standard stream.
    LogLevel logLevel_ = LogLevel::Info;
    std::optional<TlsFiles> callerTls_;
    std::optional<TlsFiles> peerTls_;
    std::optional<SessionSettings> sessions_; ///< If set, the process serves database sessions instead of figward's own protocol.
};

/** Result of checkSettings(). It contains settings if and only if there are no problems. */
struct CheckedSettings
{
    std::optional<Settings> settings_;
    std::vector<TextProblem> problems_; ///< In the order of the text.
};

/** Validates all of \p text and reports all errors in one pass. */
CheckedSettings checkSettings(std::string_view text);

/** Schemas of the root object and of the nested objects. docs/CONFIGURATION.md contains the same table rows. */
extern const ObjectInfo settingsObject;
extern const ObjectInfo callerTlsObject;
extern const ObjectInfo peerTlsObject;
extern const ObjectInfo policiesObject;
extern const ObjectInfo sessionsObject;

} // namespace Figward
