#include "LogEvents.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace Figward {

namespace {

constexpr std::array catalogue{
    LogEventInfo{LogNumber::ProcessStarted, LogLevel::Info, "process-started", "The process has started and listens."},
    LogEventInfo{LogNumber::ProcessStopped, LogLevel::Info, "process-stopped", "The process ends; nothing was in flight."},
    LogEventInfo{LogNumber::SettingsRead,
                 LogLevel::Info,
                 "settings-read",
                 "The settings were read again; what is not named as applied holds from the next start."},
    LogEventInfo{LogNumber::SettingsRefused, LogLevel::Error, "settings-refused", "The settings were read again and have mistakes; the former ones hold."},
    LogEventInfo{LogNumber::ConfigurationInForce, LogLevel::Info, "configuration-in-force", "This proxy works by the configuration version named."},
    LogEventInfo{LogNumber::ConfigurationRefused,
                 LogLevel::Error,
                 "configuration-refused",
                 "A configuration cannot be used here; the former one stays in force."},
    LogEventInfo{LogNumber::ConfigurationNewerHeard, LogLevel::Info, "configuration-newer-heard", "Another VM has a newer configuration than this one."},
    LogEventInfo{LogNumber::ConfigurationFetched,
                 LogLevel::Info,
                 "configuration-fetched",
                 "A read of the configuration brought a newer one, failed, or took long; bytes are those of the whole answer."},
    LogEventInfo{LogNumber::ConfigurationBehind,
                 LogLevel::Warning,
                 "configuration-behind",
                 "Another VM has had a newer configuration for a second, and this one still lacks it."},
    LogEventInfo{LogNumber::ConfigurationUnchecked,
                 LogLevel::Warning,
                 "configuration-unchecked",
                 "No VM that this one hears has compared the configuration with the store's for 3 s: a newer one may be in force elsewhere."},
    LogEventInfo{LogNumber::VmListChanged, LogLevel::Info, "vm-list-changed", "Proxy VMs have come, gone or begun to leave."},
    LogEventInfo{LogNumber::OwnershipBegan,
                 LogLevel::Info,
                 "ownership-began",
                 "This proxy has begun to own a group: it connects to the members and probes them."},
    LogEventInfo{LogNumber::OwnershipEnds, LogLevel::Info, "ownership-ends", "This proxy lets go of a group; it finishes what it has begun there."},
    LogEventInfo{LogNumber::VmSeen,
                 LogLevel::Info,
                 "vm-seen",
                 "A heartbeat came from a VM that was not known, or that has started again; of more than twelve in half a second, 307 tells."},
    LogEventInfo{LogNumber::VmCutOff,
                 LogLevel::Warning,
                 "vm-cut-off",
                 "This VM is cut off, for the reason named: it takes no new clients and lets idle sessions go."},
    LogEventInfo{LogNumber::VmRejoined, LogLevel::Info, "vm-rejoined", "This VM is no longer cut off for the reason named."},
    LogEventInfo{LogNumber::VmsSeen, LogLevel::Info, "vms-seen", "As 304 of many VMs at once: their number, the first of them, and how many this VM knows."},
    LogEventInfo{LogNumber::MemberSuspected, LogLevel::Warning, "member-suspected", "A member missed so many probes that it may be lost."},
    LogEventInfo{LogNumber::FailoverStarted, LogLevel::Warning, "failover-started", "This proxy fences a majority of the group to replace the primary."},
    LogEventInfo{LogNumber::PrimaryPromoted, LogLevel::Warning, "primary-promoted", "The group has a new primary."},
    LogEventInfo{LogNumber::FailoverAbandoned, LogLevel::Warning, "failover-abandoned", "A failover ended without a promotion by this proxy."},
    LogEventInfo{LogNumber::TermsGranted, LogLevel::Info, "terms-granted", "This proxy can replace the group's primary without a call to the platform."},
    LogEventInfo{LogNumber::GroupRecordDamaged,
                 LogLevel::Error,
                 "group-record-damaged",
                 "The group's record on the platform cannot be read; no new terms are granted."},
    LogEventInfo{LogNumber::MemberRejoins, LogLevel::Info, "member-rejoins", "A member is told to follow the present primary and to cut what it lacks."},
    LogEventInfo{LogNumber::MemberChanged, LogLevel::Info, "member-changed", "A member has come, leaves, is gone, or has started again."},
    LogEventInfo{LogNumber::LeaderClaimed, LogLevel::Info, "leader-claimed", "This VM leads a group: it alone may replace the primary."},
    LogEventInfo{LogNumber::LeaderLost, LogLevel::Warning, "leader-lost", "This VM no longer leads a group."},
    LogEventInfo{LogNumber::PrimaryRevoked, LogLevel::Warning, "primary-revoked", "The leader begins to replace the primary: no VM may use it any more."},
    LogEventInfo{LogNumber::RevocationComplete, LogLevel::Info, "revocation-complete", "No VM can use the old primary any more."},
    LogEventInfo{LogNumber::PromotionCalled, LogLevel::Warning, "promotion-called", "The platform is asked to make a member the primary."},
    LogEventInfo{LogNumber::PromotionFailed,
                 LogLevel::Warning,
                 "promotion-failed",
                 "A promotion was refused, unanswered or not seen to work; it is judged anew."},
    LogEventInfo{LogNumber::PrimaryInForce, LogLevel::Warning, "primary-in-force", "The group's primary is settled and may be used."},
    LogEventInfo{LogNumber::AuthorityLost, LogLevel::Warning, "authority-lost", "This VM may no longer use the group's primary."},
    LogEventInfo{LogNumber::AuthorityRegained, LogLevel::Info, "authority-regained", "This VM may use the group's primary."},
    LogEventInfo{LogNumber::RequestUnknown, LogLevel::Warning, "request-unknown", "A caller was told that the fate of its request is unknown."},
    LogEventInfo{LogNumber::ConnectionOverdue, LogLevel::Warning, "connection-overdue", "An answer is overdue; its connection is closed and never reused."},
    LogEventInfo{LogNumber::StatementSlow, LogLevel::Info, "statement-slow", "A statement was answered late or after more than one try."},
    LogEventInfo{LogNumber::StatementInDoubt, LogLevel::Warning, "statement-in-doubt", "A client was told that its write or commit may or may not have run."},
    LogEventInfo{LogNumber::StatementRefused, LogLevel::Info, "statement-refused", "A client's statement did not succeed."},
    LogEventInfo{LogNumber::StatementDone, LogLevel::Info, "statement-done", "A member ran a client's statement, in time and at the first try."},
    LogEventInfo{LogNumber::StatementRetried,
                 LogLevel::Info,
                 "statement-retried",
                 "A statement that has not run is given to another member, or to the same one later."},
    LogEventInfo{LogNumber::KeyRefused, LogLevel::Info, "key-refused", "A client named no key, or one that no organisation holds, and was refused."},
    LogEventInfo{LogNumber::KeysRevoked,
                 LogLevel::Info,
                 "keys-revoked",
                 "A configuration took away the keys of open sessions; they are closed between two statements, or refused at the next."},
    LogEventInfo{LogNumber::StoreLost, LogLevel::Warning, "store-lost", "The platform's store does not answer or turns this VM away."},
    LogEventInfo{LogNumber::StoreRegained, LogLevel::Info, "store-regained", "The platform's store answers again."},
    LogEventInfo{LogNumber::StoreObjectUnreadable,
                 LogLevel::Warning,
                 "store-object-unreadable",
                 "An object of the store cannot be understood and is passed over."},
    LogEventInfo{LogNumber::DrainStarted, LogLevel::Info, "drain-started", "This proxy takes no new work and ends when what it has is finished."},
    LogEventInfo{LogNumber::DrainCutTransactions,
                 LogLevel::Warning,
                 "drain-cut-transactions",
                 "The drain timeout has passed: transactions that are still open are rolled back; nothing of them ran."},
    LogEventInfo{LogNumber::QuotaReached,
                 LogLevel::Info,
                 "quota-reached",
                 "This VM refuses operations of an organisation that has used up its rate and its burst, over all VMs."},
    LogEventInfo{LogNumber::QuotaLeft, LogLevel::Info, "quota-left", "No operation of the organisation was refused for its quota for some seconds."},
    LogEventInfo{LogNumber::UpstreamConnectFailed, LogLevel::Warning, "upstream-connect-failed", "A connection to a member could not be opened."},
    LogEventInfo{LogNumber::LinesDropped, LogLevel::Warning, "lines-dropped", "Log lines were dropped to keep the volume bounded."},
    LogEventInfo{LogNumber::MetricsUnavailable,
                 LogLevel::Warning,
                 "metrics-unavailable",
                 "Metrics cannot be served at the address of the settings; all else goes on."},
};

} // namespace

absl::Span<const LogEventInfo> logEventCatalogue()
{
    return catalogue;
}

const LogEventInfo &logEventInfo(LogNumber number)
{
    const auto *row = std::ranges::find(catalogue, number, &LogEventInfo::number_);
    assert(row != catalogue.end());
    return *row;
}

} // namespace Figward
