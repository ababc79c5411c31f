/** \file
 * Defines the state of a proxy that serves database sessions; it is part of ProxyState and changes only in reduce().
 */
#pragma once

#include "ConfigurationAttempts.h"
#include "ConfigurationDelay.h"
#include "ConnectionPlan.h"
#include "Delegates.h"
#include "GroupPressure.h"
#include "IdleConnections.h"
#include "OutlierEjection.h"
#include "PermitPriority.h"
#include "PositionSamples.h"
#include "PrimaryAuthority.h"
#include "SessionEvents.h"
#include "SessionPolicies.h"
#include "SharedCheck.h"
#include "StatementQueue.h"
#include "TokenBucket.h"
#include "Units.h"
#include "WaitForecast.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Figward {

/** A prepared statement of a session. */
struct PreparedStatement
{
    std::string shape_;
    bool writes_ = false;
};

/** A read that was sent to the connection holder of its organisation. */
struct PendingForward
{
    std::uint64_t number_ = 0;
    std::string holder_; ///< Name of the VM.
    VmId incarnation_; ///< Its process.
    Time sentAt_; ///< Time when the request was last sent, or the holder last stated that the read is running.
    bool repeated_ = false; ///< The request was sent twice since the holder last answered.
};

/** A client's statement that needs a member and is not answered yet. */
struct StatementRun
{
    ClientStatement statement_;
    Time arrived_;
    Time deadline_; ///< Time by which the client must have the answer.
    Time admittedAt_; ///< Time when its organisation's quota admitted it, if it waited for a permit.
    Time notBefore_; ///< Earliest time of the next attempt.
    std::optional<ConnectionId> connection_; ///< Connection on which it runs; absent while it waits for one.
    bool sent_ = false; ///< The statement itself was sent, not only requests that prepare its connection.
    bool moved_ = false; ///< It was moved away from a member that did not answer.
    bool usesPrimary_ = false; ///< It runs at the primary, so its answer is valid only while this VM holds authority over that member.
    bool waitCounted_ = false; ///< Its wait is in the observations of its group; see LoadShedding.h.
    bool first_ = false; ///< It is the first statement of its operation, of which no member has run any part yet.
    MemberId member_; ///< Member of the last attempt.
    Time placedAt_; ///< Time of the first attempt.
    Time sentAt_; ///< Time when the statement itself was last sent.
    unsigned attempts_ = 0;
    std::set<MemberId> excludedMembers_; ///< Members that refused it or did not answer.
    std::optional<LogPoint> after_; ///< Position that the member's log must include.
    MemberId failedAt_; ///< Member that answered it with an error, after which it was tried once at another one.
    std::optional<bool> probes_; ///< Whether it was chosen to probe a member that returns from an ejection; absent while there was none.
    std::optional<ConnectionId> opening_; ///< Connection that was last opened for it.
    std::optional<PendingForward> forward_; ///< Present while another VM runs the read.
    bool runsHere_ = false; ///< It is not forwarded: another VM forwarded it here, or its connection holder did not serve it.
};

/** VM that forwarded a read to this one. */
struct ForwardSender
{
    std::string name_;
    VmId incarnation_;
    std::string address_;
    std::uint64_t number_ = 0; ///< Number of the read at that VM.
};

/** Session of a client. */
struct ClientSession
{
    SessionKey key_;
    std::string database_;
    std::optional<KeyDigest> keyDigest_; ///< Digest of the key given by the client.
    OrganisationId organisation_; ///< Organisation that holds the key, as of the start of the current operation.
    Time openedAt_;
    bool accepted_ = false; ///< False while the session waits for a configuration, or for one that contains its database and key.
    bool revoked_ = false; ///< Its key was revoked; the session is closed once it is idle.
    bool pipelines_ = false; ///< The client has sent a statement before the previous one was answered.
    std::optional<Time> drainRefusedAt_; ///< Time when it was first told that this VM shuts down; see markRefusedByDrain().
    TransactionState state_ = TransactionState::None;
    DatabaseRoute route_; ///< Route of the current operation.
    std::string beginId_; ///< Id of the statement that began the transaction.
    bool readOnly_ = false; ///< The transaction was begun as read-only.
    bool wrote_ = false; ///< The transaction may have written.
    std::optional<ConnectionId> pinned_; ///< Connection that runs the transaction.
    std::map<std::string, std::string> values_;
    std::map<std::string, PreparedStatement> prepared_;
    std::optional<LogPoint> lastCommit_; ///< Position of the last commit, which reads of the session must include.
    std::optional<StatementRun> run_;
    std::deque<ClientStatement> queued_; ///< Statements received before the previous one was answered.
    Time lastActive_;
    std::optional<ForwardSender> sender_; ///< Present if the session represents a single read that another VM forwarded; see ReadForwarding.h.
};

/** What a member connection is used for. */
enum class MemberConnectionUse {
    Opening,
    Idle,
    Statement, ///< Runs a statement, or is idle inside a transaction of a session.
    Releasing, ///< Released by its session; becomes idle once all answers are received.
    Control, ///< Runs control requests: reports and step-downs.
};

/** A connection to a member. */
struct MemberConnection
{
    ConnectionId id_;
    MemberId member_;
    ServiceId service_;
    OrganisationId organisation_; ///< Organisation announced to the member when the connection was opened; statements of others never use it.
    MemberConnectionUse use_ = MemberConnectionUse::Opening;
    std::optional<SessionKey> session_;
    std::deque<MemberRequest> steps_; ///< Requests not sent yet; only one is pending at a time.
    std::optional<MemberRequest> pending_;
    Time sentAt_; ///< Send time of the last request, or time of the connection attempt.
    std::optional<LogPoint> knownPosition_; ///< Position that the member, as the primary, was known to have reached when the last request was sent.
    MemberStart memberStarted_; ///< Start of the member's process as known when the connection was opened.
    Time idleSince_;
    bool inTransaction_ = false; ///< The member has an open transaction on it.
    bool isControl_ = false; ///< Opened for control requests; runs no statements.
    std::map<std::string, std::string> values_;
    std::set<std::string> prepared_; ///< Names of the statements prepared on it, as used at the member.
};

/** State of one member as known to this proxy. */
struct MemberState
{
    DirectoryEntry entry_;
    std::optional<Time> missingSince_; ///< Time since which the directory no longer lists it.
    std::optional<Time> leavingSince_; ///< Time since which it announces that it leaves.
    std::set<ConnectionId> connections_; ///< All connections except the one opened for control requests.
    IdleConnections idle_;
    std::optional<ConnectionId> control_;
    UseRate use_; ///< Rate of statements of this VM.
    std::optional<Time> lastAnsweredAt_; ///< Send time of the last request that it answered.
    Time lastReportRequestAt_;
    std::optional<ReplicationReport> report_;
    Time reportAsOf_; ///< Send time of the request that report_ answers.
    LogPoint position_; ///< Highest log position seen in its answers.
    Time laggedAt_; ///< Time when it last refused a read as lagging.
    std::optional<LogPoint> laggedBehind_;
    std::optional<LogPoint> longLag_; ///< The same position, if the primary had reached it long before; see recordLagging().
    std::optional<LogPoint> sharedLag_; ///< Position for which it refused a read of any VM, as advised by the leader, and the time of that refusal.
    std::optional<Time> sharedLagAt_;
    std::optional<Time> refusedAt_; ///< Time when it last refused a connection as full; it is then alive and reachable.
    Time openAfter_; ///< Earliest time of the next connection attempt.
    Time urgentOpenAfter_; ///< The same for statements of the most urgent priority while the group is under pressure.
    unsigned fullRefusals_ = 0; ///< Refusals as full while the group was under pressure, less the connections opened since.
    unsigned openFailures_ = 0; ///< Number of consecutive failed connection attempts.
    bool connectionRefused_ = false; ///< The last connection attempt was refused by its host, so its process is gone.
    bool unreachable_ = false; ///< The last connection attempt failed, for another reason than that the member is full.
    unsigned consecutiveTimeouts_ = 0; ///< Number of timeouts since its last answer.
    FailureRow failureRow_; ///< Failures of statements that other members may run as well.
};

/** Steps of the replacement of a primary by the leader. */
enum class ReplacementStep {
    None,
    Revoking, ///< Waits until no VM may use the old primary.
    CollectingReports, ///< Collects reports of the members' log positions.
    Promoting, ///< Waits for the member to become primary after the call to the platform.
};

/** State of the leader of a group. */
struct LeaderState
{
    LeaderClaim claim_; ///< Claim as last written.
    Time validUntil_; ///< Time after which other VMs may take the claim.
    std::uint64_t confirmedRenewals_ = 0; ///< Renewal from which validUntil_ was computed.
    std::optional<CallId> write_; ///< Pending write of the claim.
    bool writeWanted_ = false;
    Time writeAfter_; ///< Earliest time of the next write.
    Time renewAt_;
    ReplacementStep step_ = ReplacementStep::None;
    Time stepSince_;
    Time replacementSince_;
    bool planned_ = false; ///< The replacement is planned: the primary is leaving but still working.
    std::optional<Time> revokeStored_; ///< Time when the revocation was stored.
    std::optional<Time> reportsRequestedAt_; ///< Reports requested before this time are ignored.
    std::optional<MemberId> target_;
    std::optional<Time> promotionAccepted_; ///< Time when the platform accepted the promotion of target_.
    std::optional<Time> promotionUnanswered_; ///< Time when the call for the promotion of target_ ended without an answer.
    bool promotionIssued_ = false; ///< This leader or a previous one may have requested a promotion since the group last had a steady primary.
    Time promoteAfter_;
    Time leadSince_;
    ObservationMerge reports_; ///< What all VMs report about the group.
    Time adviceReviewAt_; ///< Earliest time at which the advice is updated.
    std::optional<OutlierHistory> outliers_; ///< Present after the first update of the advice.
    std::optional<GroupPressure> pressure_; ///< Admission levels; absent before the first review.
};

/** Revocation of a leaving primary that takes effect once the statements under way there have ended. */
struct DeferredRevocation
{
    std::uint64_t epoch_ = 0;
    Time since_;
};

/** One group of databases: a primary and its replicas. */
struct SessionGroup
{
    ServiceId id_;
    std::set<MemberId> members_;
    PrimaryAuthority authority_;
    std::optional<DeferredRevocation> deferredRevocation_; ///< While present, no statement is started at the primary.
    std::optional<Time> primaryLostAt_; ///< Time since which this VM may not use, or does not reach, the primary of the current epoch.
    std::uint64_t primaryLostEpoch_ = 0;
    MemberId primaryLostMember_; ///< Primary, possibly none, to which primaryLostAt_ applies.
    PositionSamples samples_;
    PrimaryProgress progress_;
    std::optional<LeaderClaim> storedClaim_; ///< Claim as last read from the store.
    Time storedClaimChangedAt_; ///< Time when its current content was first read.
    Time claimEnds_; ///< End of the leader's claim according to its last heartbeat, based on the renewal leaderRenewals_.
    std::uint64_t leaderGeneration_ = 0;
    std::uint64_t leaderRenewals_ = 0;
    Time lastLeaderHeartbeat_;
    std::string leaderName_; ///< VM that leads the group as far as this one knows; empty if unknown.
    Time usedAt_; ///< Time at which a client's statement last used the group at this VM.
    Time followedSince_; ///< Time since which this VM has used the group without a long pause; see GroupInterest.h.
    std::uint64_t highestEpochHeard_ = 0; ///< Highest epoch that any other VM has stated.
    std::uint64_t primaryHeardEpoch_ = 0; ///< Epoch to which primaryHeardAt_ applies.
    Time primaryHeardAt_; ///< Time at which the primary last answered another VM, as far as such VMs reported it.
    std::optional<CallId> claimRead_; ///< Pending read of this group's claim alone.
    Time claimReadAfter_; ///< Earliest time of the next one.
    std::optional<LeaderState> leader_; ///< Present while this VM is the leader.
    std::uint64_t resigned_ = 0; ///< Highest generation whose leader has resigned; its claim has ended even if the store still contains it.
    Time claimAfter_; ///< Earliest time at which this VM may claim leadership.
    std::optional<CallId> claimWrite_;
    StatementQueue waiting_; ///< Sessions whose statements wait for a connection.
    StatementCosts costs_; ///< Observed only where the configuration has organisations.
    bool heldAuthority_ = false; ///< Whether authority was held when last checked and logged.
    Time authorityLostAt_; ///< Time when authority was last lost; not set before the first loss.
    Time authorityHeldSince_; ///< Time when heldAuthority_ last became true.
    std::uint64_t heldEpoch_ = 0; ///< Epoch of the authority held last; zero before the first. Authority of a later epoch follows a replacement.
    QueueHistory queue_; ///< History of waiting_.
    GroupObservations observed_; ///< Totals of this VM since its start.
    std::optional<Time> lastObservedAt_; ///< Time when observed_ last changed.
    std::optional<ReceivedAdvice> advice_; ///< Last advice of the leader, or of this VM as the leader; see currentAdvice().
    /** Members to which this VM keeps a persistent connection while connections are scarce: a replica, the primary, or both. */
    std::set<MemberId> persistentMembers_;
    Time persistentMembersReviewAt_; ///< Earliest time at which these members are chosen again.
};

/** State of another entry VM as known to this one. */
struct PeerVm
{
    EntryVm vm_;
    bool registered_ = false; ///< The store lists it.
    VmId listed_; ///< Incarnation listed in the store.
    std::uint64_t revision_ = 0;
    std::optional<Time> lastReceivedAt_; ///< Receive time of its last heartbeat.
    Time remoteSendTime_; ///< Send time, by its clock, of the newest heartbeat received.
    Time localSendTime_; ///< The same time by this VM's clock; see sendingTime().
    Duration clockOffset_{}; ///< Difference between receive time here and send time there, for the heartbeat with the shortest delay.
    ConfigVersion configuration_;
    Time configurationAfter_; ///< Earliest time at which its configuration is requested.
    Duration sendInterval_ = heartbeatInterval; ///< Announced time until its next heartbeat to this VM.
    bool leads_ = false; ///< Whether it leads some group.
    bool leaving_ = false;
    std::optional<Time> lastSentAt_; ///< Time of the last heartbeat sent to it.
    bool sendNow_ = false; ///< It has requested a heartbeat.
    bool close_ = false; ///< The pair exchanges heartbeats often enough to notice a network split by it.
    Time nextSendAt_; ///< Time before which no heartbeat to it is due, unless one is requested.
    bool askNow_ = false; ///< It is to be asked for authority at once.
    Time lastAskedAt_; ///< Time when it was last asked for authority.
    std::optional<Time> unansweredSince_; ///< Time of the first request for an answer since its last heartbeat.
    std::map<ServiceId, GroupHeartbeat> groups_;
};

/** A pending call to the store. */
struct PendingStoreCall
{
    StoreRequest request_;
    std::string peer_;
    Time sentAt_;
};

/** A revision of the store up to which the configuration is known to be unchanged. */
struct UnchangedRevision
{
    std::uint64_t revision_ = 0;
    Time heardAt_;
};

/** Schedule and state of the calls to the store. */
struct StoreSchedule
{
    SharedCheck configurationCheck_;
    SharedCheck directoryCheck_;
    Time membersAt_; ///< Earliest time of the next read of the directory.
    Time configurationAt_; ///< Earliest time of the next read of the configuration.
    Time watchAt_;
    Time vmsAt_;
    Time vmsReadAt_; ///< Time when the newest list of VMs was requested.
    Time claimsAt_;
    Time registerAt_;
    bool registered_ = false;
    bool vmsListed_ = false; ///< The list of VMs was read at least once.
    bool claimsRead_ = false; ///< Claims were read since this VM was registered.
    std::optional<CallId> members_;
    ConfigurationAttempts configurationAttempts_; ///< Attempts of reads and checks; the watch is not included.
    Duration transferTime_{}; ///< Time that the last complete configuration took to arrive.
    Duration directoryTransferTime_{}; ///< Time that the last list of members took to arrive.
    std::optional<CallId> watch_;
    std::optional<CallId> vms_;
    std::optional<CallId> claims_;
    std::optional<CallId> register_;
    bool reachable_ = true; ///< The store answered the last call.
    Time lastAnsweredCallAt_; ///< Time when the last call that the store answered was made.
    Time unreachableSince_; ///< Time since which the store is unreachable.
};

/** Parameters with which the session service of a process starts. */
struct SessionIdentity
{
    EntryVm vm_;
    std::vector<std::string> seeds_; ///< Addresses of VMs to contact while the store is unreachable.
    Duration drainTime_{}; ///< From the request to shut down to the end of the process.
    SessionPolicies policies_;
};

/** Reason why a VM counts as cut off from the other VMs. */
enum class CutOffReason {
    Zone, ///< Its zone is cut off from the majority.
    Minority, ///< It is in the smaller part of a network partition and does not reach any primary.
    Primaries, ///< Other VMs reach the primaries, but this one does not.
};
/** Reason for which this VM counts as cut off, and the time since which it does. */
struct CutOff
{
    CutOffReason reason_ = CutOffReason::Zone;
    Time since_;
};

/** A pending request for permits to another VM. */
struct PermitRequest
{
    std::uint64_t number_ = 0;
    std::string limiter_; ///< Name of the VM.
    Time sentAt_;
    unsigned attempts_ = 0; ///< Earlier attempts at the same limiter.
};
/** An operation that waits for a permit. */
struct PermitWait
{
    SessionKey session_;
    unsigned priority_ = 0;
    bool requested_ = false; ///< The pending request includes it.
};
/** Operations of one organisation that wait for permits. */
struct PermitQueue
{
    std::vector<PermitWait> waiting_; ///< Most urgent first, then oldest first.
    std::optional<PermitRequest> pending_;
    Time notBefore_; ///< Earliest time of the next request, since no permit is available before.
};
/** The part of an organisation's quota that this VM may grant. */
struct Allowance
{
    TokenBucket bucket_;
    Time borrowedAt_; ///< Time of the last loan requests to other zones.
    std::set<std::uint64_t> pendingLoans_; ///< Numbers of the loan requests that are not answered yet.
    PermitRates rates_; ///< Of requests for permits.
};
/** An organisation that has reached its quota. */
struct ThrottledOrganisation
{
    Time since_;
    Time lastAt_; ///< Time of the last refusal.
    std::uint64_t refused_ = 0; ///< Number of operations refused by this VM.
};
/** State of the enforcement of quotas; see OrganisationQuota.h. */
struct AdmissionState
{
    std::map<OrganisationId, PermitQueue> queues_;
    std::map<OrganisationId, Allowance> allowances_;
    std::map<std::string, Time> unresponsiveSince_; ///< Time of the timeout for each VM that did not answer permit requests, until it sends a heartbeat again.
    std::map<OrganisationId, ThrottledOrganisation> throttled_;
    double zoneShare_ = 1; ///< Fraction of the zone's share that this VM may grant; updated by the periodic review, like the zones below.
    std::set<ZoneId> zones_;
};

/** A read that another VM forwarded to this one. */
struct ReceivedRead
{
    ClientSession session_;
    std::optional<ForwardedReadResult> result_; ///< Present once the read has ended.
    Time endedAt_;
};
/** A connection holder that did not answer. */
struct SilentHolder
{
    Time since_;
    Time notBefore_; ///< Earliest time of the next read that is forwarded to it.
    unsigned failures_ = 0; ///< Number of times that it did not answer, without a result in between.
};
/** Numbers of reads since the process started. */
struct ForwardingTotals
{
    std::uint64_t forwarded_ = 0;
    std::uint64_t answered_ = 0; ///< The reply of the holder was given to the client.
    std::uint64_t fallbacks_ = 0; ///< Forwarded reads that this VM then ran itself.
    std::uint64_t received_ = 0; ///< Reads of other VMs that this VM accepted.
};
/** State of the forwarding of reads; see ReadForwarding.h. */
struct ForwardingState
{
    std::map<std::uint64_t, SessionKey> sent_; ///< Sessions whose reads other VMs run, by number of the read.
    std::map<SessionKey, ReceivedRead> received_; ///< Reads of other VMs; their keys are never those of clients' sessions.
    std::map<std::pair<VmId, std::uint64_t>, SessionKey> receivedKeys_; ///< Keys in received_ by sender and number.
    std::deque<SessionKey> ended_; ///< Keys of the ended reads in received_, oldest first.
    std::map<std::string, SilentHolder> silent_; ///< By name.
    std::optional<Time> silenceLoggedAt_;
    ForwardingTotals totals_;
};

/** State of a proxy's sessions. */
struct SessionServiceState
{
    SessionIdentity identity_;
    std::optional<SessionConfiguration> configuration_;
    std::uint64_t configurationRevision_ = 0; ///< Watches and checks request the changes since this revision; zero: the complete configuration must be read.
    std::optional<UnchangedRevision> unchangedRevision_; ///< Replaces configurationRevision_ after some time.
    ConfigVersion newestReported_; ///< Newest version among the configurations of other VMs.
    ConfigurationDelay delay_;
    std::uint64_t directoryRevision_ = 0;
    std::set<std::string> unusableEntries_; ///< Directory entries that could not be used; each is logged once.
    bool directoryKnown_ = false;
    /** Fingerprint of the directory's content, equal on all VMs that know the same members; zero: no directory is known. */
    std::uint64_t directoryFingerprint_ = 0;
    std::map<SessionKey, ClientSession> sessions_;
    std::set<SessionKey> unaccepted_; ///< Keys of the sessions in sessions_ that are not accepted yet.
    std::set<SessionKey> refusedByDrain_; ///< Keys of the sessions that are closed once their clients have all answers.
    std::map<ConnectionId, MemberConnection> connections_;
    std::map<MemberId, MemberState> members_;
    std::set<MemberId> missingMembers_; ///< Members with missingSince_ set.
    std::map<ServiceId, SessionGroup> groups_;
    std::map<std::string, PeerVm> peers_; ///< Other VMs by name.
    std::map<CallId, PendingStoreCall> calls_;
    AdmissionState quotas_;
    ForwardingState forwarding_;
    StoreSchedule schedule_;
    Time heartbeatsReviewAt_; ///< Time before which no heartbeat is due, except those requested at once.
    bool heartbeatNow_ = false;
    std::map<std::string, DelegateRole> delegates_; ///< Delegates of all zones that have many VMs, by name, possibly including this VM; see Delegates.h.
    Time delegatesReviewAt_; ///< Earliest time at which delegates are chosen again.
    std::set<std::string> relays_; ///< Relays of all zones, possibly including this VM; see Delegates.h.
    bool onDemand_ = false; ///< VMs ask leaders for authority only while they use a group; see GroupInterest.h.
    unsigned zoneVms_ = 1; ///< Number of known VMs in this VM's zone.
    std::set<ServiceId> trackedGroups_; ///< The groups that are reviewed, if onDemand_ is set: those that this VM uses, leads or may have to lead.
    std::vector<std::string> heartbeatRequesters_; ///< Names of VMs that have requested a heartbeat; see PeerVm::sendNow_.
    std::vector<std::string> newVms_; ///< Names of VMs that are new or restarted and not logged yet.
    Time newVmsLoggedAt_;
    unsigned entryVms_ = 1; ///< Number of VMs that share the members' connections, updated by the periodic review because counting iterates over all VMs.
    Time startedAt_;
    OutageHistory outages_; ///< Outages of replaced primaries, of all groups.
    std::optional<bool> ready_;
    std::optional<CutOff> cutOff_; ///< Present while the VM counts as cut off.
    std::optional<Time> drainSince_;
    bool exiting_ = false;
};

} // namespace Figward
