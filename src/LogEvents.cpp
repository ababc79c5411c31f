#include "LogEvents.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace Figward {

namespace {

constexpr std::array catalogue{
    LogEventInfo{LogNumber::ProcessStarted, LogLevel::Info, "process-started", "The process has started and listens on its addresses."},
    LogEventInfo{LogNumber::ProcessStopped, LogLevel::Info, "process-stopped", "The process exits; no request was in flight."},
    LogEventInfo{LogNumber::SettingsRead,
                 LogLevel::Info,
                 "settings-read",
                 "The settings were reloaded; those not listed as applied take effect at the next start."},
    LogEventInfo{LogNumber::SettingsRefused, LogLevel::Error, "settings-refused", "The settings were reloaded and are invalid; the previous ones stay active."},
    LogEventInfo{LogNumber::ConfigurationInForce, LogLevel::Info, "configuration-in-force", "The named configuration version is active on this proxy."},
    LogEventInfo{LogNumber::ConfigurationRefused,
                 LogLevel::Error,
                 "configuration-refused",
                 "A configuration cannot be used on this proxy; the previous one stays active."},
    LogEventInfo{LogNumber::ConfigurationNewerHeard, LogLevel::Info, "configuration-newer-heard", "Another VM has a newer configuration than this one."},
    LogEventInfo{LogNumber::ConfigurationFetched,
                 LogLevel::Info,
                 "configuration-fetched",
                 "A read of the configuration returned a newer version, failed or was slow; bytes is the size of the whole response."},
    LogEventInfo{LogNumber::ConfigurationBehind,
                 LogLevel::Warning,
                 "configuration-behind",
                 "Another VM has had a newer configuration for 1 s, and this VM has not received it yet."},
    LogEventInfo{LogNumber::ConfigurationUnchecked,
                 LogLevel::Warning,
                 "configuration-unchecked",
                 "No VM whose heartbeats arrive has checked the configuration against the store for 3 s; a newer one may be active on other VMs."},
    LogEventInfo{LogNumber::VmListChanged, LogLevel::Info, "vm-list-changed", "Proxy VMs were added, were removed or have started to shut down."},
    LogEventInfo{LogNumber::OwnershipBegan,
                 LogLevel::Info,
                 "ownership-began",
                 "This proxy has become an owner of a group: it connects to the members and probes them."},
    LogEventInfo{LogNumber::OwnershipEnds, LogLevel::Info, "ownership-ends", "This proxy stops owning a group; it still finishes the requests in flight."},
    LogEventInfo{LogNumber::VmSeen,
                 LogLevel::Info,
                 "vm-seen",
                 "A heartbeat was received from an unknown or restarted VM; if there are more than 12 such VMs within 500 ms, event 307 reports them instead."},
    LogEventInfo{LogNumber::VmCutOff,
                 LogLevel::Warning,
                 "vm-cut-off",
                 "This VM is cut off for the given reason: it accepts no new clients and closes idle sessions."},
    LogEventInfo{LogNumber::VmRejoined, LogLevel::Info, "vm-rejoined", "This VM is no longer cut off for the given reason."},
    LogEventInfo{LogNumber::VmsSeen,
                 LogLevel::Info,
                 "vms-seen",
                 "Like event 304, for many VMs at once: their number, the first of them, and the number of VMs known to this VM."},
    LogEventInfo{LogNumber::MemberSuspected, LogLevel::Warning, "member-suspected", "A member missed so many probes that it may have failed."},
    LogEventInfo{LogNumber::FailoverStarted,
                 LogLevel::Warning,
                 "failover-started",
                 "This proxy has started a failover: it fences a majority of the group to replace the primary."},
    LogEventInfo{LogNumber::PrimaryPromoted, LogLevel::Warning, "primary-promoted", "The group has a new primary."},
    LogEventInfo{LogNumber::FailoverAbandoned, LogLevel::Warning, "failover-abandoned", "A failover ended without a promotion by this proxy."},
    LogEventInfo{LogNumber::TermsGranted, LogLevel::Info, "terms-granted", "This proxy can replace the group's primary without a call to the platform."},
    LogEventInfo{LogNumber::GroupRecordDamaged,
                 LogLevel::Error,
                 "group-record-damaged",
                 "The group's record on the platform cannot be read; no new terms are granted."},
    LogEventInfo{LogNumber::MemberRejoins,
                 LogLevel::Info,
                 "member-rejoins",
                 "A member is told to follow the current primary and to discard log entries that the primary does not have."},
    LogEventInfo{LogNumber::MemberChanged, LogLevel::Info, "member-changed", "A member was added, is shutting down, was removed or has restarted."},
    LogEventInfo{LogNumber::LeaderClaimed,
                 LogLevel::Info,
                 "leader-claimed",
                 "This VM has become the leader of a group; only the leader may replace the primary."},
    LogEventInfo{LogNumber::LeaderLost, LogLevel::Warning, "leader-lost", "This VM no longer leads a group."},
    LogEventInfo{LogNumber::PrimaryRevoked,
                 LogLevel::Warning,
                 "primary-revoked",
                 "The leader has started to replace the primary; no VM may use the old primary any more."},
    LogEventInfo{LogNumber::RevocationComplete, LogLevel::Info, "revocation-complete", "No VM can use the old primary any more."},
    LogEventInfo{LogNumber::PromotionCalled, LogLevel::Warning, "promotion-called", "This VM has asked the platform to promote a member to primary."},
    LogEventInfo{LogNumber::PromotionFailed,
                 LogLevel::Warning,
                 "promotion-failed",
                 "A promotion was refused, was not answered or had no visible effect; the leader decides again which member to promote."},
    LogEventInfo{LogNumber::PrimaryInForce, LogLevel::Warning, "primary-in-force", "The group's primary is confirmed and may be used."},
    LogEventInfo{LogNumber::AuthorityLost, LogLevel::Warning, "authority-lost", "This VM may no longer use the group's primary."},
    LogEventInfo{LogNumber::AuthorityRegained, LogLevel::Info, "authority-regained", "This VM may now use the group's primary."},
    LogEventInfo{LogNumber::RequestUnknown, LogLevel::Warning, "request-unknown", "A caller was told that the outcome of its request is unknown."},
    LogEventInfo{LogNumber::ConnectionOverdue, LogLevel::Warning, "connection-overdue", "An answer is overdue; its connection is closed and never reused."},
    LogEventInfo{LogNumber::StatementSlow, LogLevel::Info, "statement-slow", "A statement was answered late or after more than one attempt."},
    LogEventInfo{LogNumber::StatementInDoubt, LogLevel::Warning, "statement-in-doubt", "A client was told that its write or commit may or may not have run."},
    LogEventInfo{LogNumber::StatementRefused, LogLevel::Info, "statement-refused", "A client's statement did not succeed."},
    LogEventInfo{LogNumber::StatementDone, LogLevel::Info, "statement-done", "A member ran a client's statement in time and at the first attempt."},
    LogEventInfo{LogNumber::StatementRetried,
                 LogLevel::Info,
                 "statement-retried",
                 "A statement that has not run is retried at another member, or later at the same one."},
    LogEventInfo{LogNumber::KeyRefused, LogLevel::Info, "key-refused", "A client was refused because it sent no key or an unknown one."},
    LogEventInfo{LogNumber::KeysRevoked,
                 LogLevel::Info,
                 "keys-revoked",
                 "A new configuration revoked the keys of open sessions; they are closed between statements, or refused at the next statement."},
    LogEventInfo{LogNumber::StoreLost, LogLevel::Warning, "store-lost", "The platform's store does not answer or refuses this VM's requests."},
    LogEventInfo{LogNumber::StoreRegained, LogLevel::Info, "store-regained", "The platform's store answers again."},
    LogEventInfo{LogNumber::StoreObjectUnreadable, LogLevel::Warning, "store-object-unreadable", "An object in the store cannot be parsed and is ignored."},
    LogEventInfo{LogNumber::DrainStarted, LogLevel::Info, "drain-started", "This proxy accepts no new work and exits when the work in progress is finished."},
    LogEventInfo{LogNumber::DrainCutTransactions,
                 LogLevel::Warning,
                 "drain-cut-transactions",
                 "The drain timeout has expired; open transactions are rolled back, and none of their writes take effect."},
    LogEventInfo{LogNumber::QuotaReached,
                 LogLevel::Info,
                 "quota-reached",
                 "This VM refuses operations of an organisation that has exhausted its rate and burst quota over all VMs."},
    LogEventInfo{LogNumber::QuotaLeft,
                 LogLevel::Info,
                 "quota-left",
                 "No operation of the organisation has been refused because of its quota for several seconds."},
    LogEventInfo{LogNumber::UpstreamConnectFailed, LogLevel::Warning, "upstream-connect-failed", "A connection to a member could not be opened."},
    LogEventInfo{LogNumber::LinesDropped, LogLevel::Warning, "lines-dropped", "Log lines were dropped to limit the log volume."},
    LogEventInfo{LogNumber::MetricsUnavailable,
                 LogLevel::Warning,
                 "metrics-unavailable",
                 "Metrics cannot be served on the configured address; everything else works."},
};

} // namespace

absl::Span<const LogEventInfo> logEventCatalogue()
{
    return catalogue;
}

const LogEventInfo &logEventInfo(LogNumber number)
{
    const auto *found = std::ranges::find(catalogue, number, &LogEventInfo::number_);
    assert(found != catalogue.end());
    return *found;
}

} // namespace Figward
