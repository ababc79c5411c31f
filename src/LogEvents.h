/** \file
 * Defines the numbered log events of figward. docs/EVENTS.md lists them for operators.
 *
 * Numbers are never reused. Ranges: 1xx process, 2xx configuration, 3xx membership and owners, 4xx upstreams and failover,
 * 5xx requests and sessions, 6xx platform, 7xx drain and quotas, 8xx input and output.
 */
#pragma once

#include "Ids.h"

#include <absl/types/span.h>
#include <string>
#include <string_view>
#include <vector>

namespace Figward {

/** Severity of a log event. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** The number under which an event is logged. */
enum class LogNumber : int {
    ProcessStarted = 101,
    ProcessStopped = 102,
    SettingsRead = 103,
    SettingsRefused = 104,
    SignalReceived = 105,
    ConfigurationInForce = 201,
    ConfigurationRefused = 202,
    ConfigurationNewerHeard = 203,
    ConfigurationFetched = 204,
    ConfigurationBehind = 205,
    ConfigurationUnchecked = 206,
    VmListChanged = 301,
    OwnershipBegan = 302,
    OwnershipEnds = 303,
    VmSeen = 304,
    VmCutOff = 305,
    VmRejoined = 306,
    VmsSeen = 307,
    MemberSuspected = 401,
    FailoverStarted = 402,
    PrimaryPromoted = 403,
    FailoverAbandoned = 404,
    TermsGranted = 405,
    GroupRecordDamaged = 406,
    MemberRejoins = 407,
    MemberChanged = 408,
    LeaderClaimed = 409,
    LeaderLost = 410,
    PrimaryRevoked = 411,
    RevocationComplete = 412,
    PromotionCalled = 413,
    PromotionFailed = 414,
    PrimaryInForce = 415,
    AuthorityLost = 416,
    AuthorityRegained = 417,
    PrimaryLostLog = 418,
    MembersChanged = 419,
    MemberEjected = 420,
    MemberReturned = 421,
    RequestUnknown = 501,
    ConnectionOverdue = 502,
    StatementSlow = 503,
    StatementInDoubt = 504,
    StatementRefused = 505,
    StatementDone = 506,
    StatementRetried = 507,
    KeyRefused = 508,
    KeysRevoked = 509,
    LoadSheddingStarted = 510,
    LoadSheddingEnded = 511,
    HolderSilent = 512,
    StoreLost = 601,
    StoreRegained = 602,
    StoreObjectUnreadable = 603,
    DrainStarted = 701,
    DrainCutTransactions = 702,
    QuotaReached = 703,
    QuotaLeft = 704,
    DrainUnfinished = 705,
    UpstreamConnectFailed = 801,
    LinesDropped = 802,
    MetricsUnavailable = 803,
};

/** One entry of the catalogue of log events. */
struct LogEventInfo
{
    LogNumber number_;
    LogLevel level_;
    std::string_view name_; ///< Stable name, such as "configuration-in-force".
    std::string_view meaning_; ///< One sentence for operators.
};

/** All log events, ordered by number. */
absl::Span<const LogEventInfo> logEventCatalogue();
/** The catalogue entry of \p number. */
const LogEventInfo &logEventInfo(LogNumber number);

/** One key=value field of a log line. */
struct LogField
{
    std::string key_;
    std::string value_;
};

} // namespace Figward
