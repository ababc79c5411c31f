/** \file
 * Defines the state of a proxy that serves database sessions; it is part of ProxyState and changes only in reduce().
 */
#pragma once

#include "ConfigurationAttempts.h"
#include "ConfigurationDelay.h"
#include "ConnectionPlan.h"
#include "Delegates.h"
#include "PositionSamples.h"
#include "PrimaryAuthority.h"
#include "SessionEvents.h"
#include "SessionPolicies.h"
#include "SharedCheck.h"
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

/** A client's statement that must be run by a member and is not answered yet. */
struct StatementRun
{
    ClientStatement statement_;
    Time arrived_;
    Time deadline_; ///< Its answer must be given by then.
    Time notBefore_; ///< Waits at least until then before the next try.
    std::optional<ConnectionId> connection_; ///< Runs there; otherwise it waits for one.
    bool sent_ = false; ///< The statement itself, not only what prepares its connection.
    bool moved_ = false; ///< Left a member that did not answer.
    bool usesPrimary_ = false; ///< Its answer counts only while the member is surely the primary.
    bool first_ = false; ///< First of its operation: no member has run anything of it.
    MemberId member_; ///< Given to it last.
    Time placedAt_; ///< When it was given to a member for the first time.
    Time sentAt_; ///< When the statement itself was last sent.
    unsigned tries_ = 0;
    std::set<MemberId> avoided_; ///< Refused it or fell silent.
    std::optional<LogPoint> after_; ///< The log must hold this.
};

/** One client's session. */
struct ClientSession
{
    SessionKey key_;
    std::string database_;
    std::optional<KeyDigest> keyDigest_; ///< Of the key that the client named.
    OrganisationId organisation_; ///< Holds the key; of the present operation.
    Time openedAt_;
    bool accepted_ = false; ///< Until then it waits for a configuration, or for one that knows its key.
    bool revoked_ = false; ///< No organisation holds its key any more; it is closed between two statements.
    TransactionState state_ = TransactionState::None;
    DatabaseRoute route_; ///< Of the present operation.
    std::string beginId_; ///< Id of the client's statement that began the transaction.
    bool readOnly_ = false; ///< The transaction was begun as such.
    bool wrote_ = false; ///< The transaction may have written.
    std::optional<ConnectionId> pinned_; ///< Runs the transaction.
    std::map<std::string, std::string> values_;
    std::map<std::string, PreparedStatement> prepared_;
    std::optional<LogPoint> lastCommit_; ///< Reads of the session include it.
    std::optional<StatementRun> run_;
    std::deque<ClientStatement> queued_; ///< Came before the answer to the one before.
    Time lastActive_;
};

/** What a member connection is used for. */
enum class MemberConnectionUse {
    Opening,
    Idle,
    Statement, ///< Runs a statement, or rests inside a transaction of a session.
    Releasing, ///< Its session has gone; it is idle once its answers are in.
    Control, ///< Asks the member about itself.
};

/** A connection to a member. */
struct MemberConnection
{
    ConnectionId id_;
    MemberId member_;
    ServiceId service_;
    OrganisationId organisation_; ///< The member was told that it runs for this one; statements of others never use it.
    MemberConnectionUse use_ = MemberConnectionUse::Opening;
    std::optional<SessionKey> session_;
    std::deque<MemberRequest> steps_; ///< Not sent yet; one is under way at a time.
    std::optional<MemberRequest> underWay_;
    Time sentAt_; ///< Of the request under way, or of the opening.
    Time idleSince_;
    bool inTransaction_ = false; ///< The member has begun one.
    bool isControl_ = false; ///< Opened to ask the member about itself; runs no statements.
    std::map<std::string, std::string> values_;
    std::set<std::string> prepared_; ///< Names at the member.
};

/** What this proxy knows of one member. */
struct MemberState
{
    DirectoryEntry entry_;
    std::optional<Time> missingSince_; ///< The directory no longer lists it.
    std::optional<Time> leavingSince_; ///< It says that it leaves.
    std::set<ConnectionId> connections_; ///< All but those for control.
    std::vector<ConnectionId> idle_;
    std::optional<ConnectionId> control_;
    UseRate use_; ///< By statements of this VM.
    std::optional<Time> heard_; ///< When the last request that it answered was sent.
    Time controlAsked_;
    std::optional<ReplicationReport> report_;
    Time reported_; ///< When the request was sent that report_ answers.
    LogPoint position_; ///< Highest that it has shown.
    Time laggedAt_; ///< When it last refused a read as lagging.
    std::optional<LogPoint> laggedBehind_;
    std::optional<Time> refusedAt_; ///< When it last refused a connection as full: it runs, and this VM reaches it.
    Time openAfter_; ///< No new connection before.
    unsigned openFailures_ = 0; ///< In a row.
    bool refusedConnections_ = false; ///< Its process is gone: connections are refused.
    bool unreachable_ = false; ///< The last opening failed, and not because the member is full.
    unsigned silent_ = 0; ///< Connections in a row that fell silent.
};

/** Steps of a leader that replaces a primary. */
enum class ReplacementStep {
    None,
    Revoking, ///< No VM may use the old primary any more.
    Surveying, ///< What do the members have?
    Promoting, ///< The platform was asked; the member does not lead yet.
};

/** What a leader does about its group. */
struct LeaderState
{
    LeaderClaim claim_; ///< As last written.
    Time validUntil_; ///< Others may take the claim after this.
    std::uint64_t confirmedRenewals_ = 0; ///< The renewal that validUntil_ counts from.
    std::optional<CallId> write_; ///< A write of the claim is under way.
    bool writeWanted_ = false;
    Time writeAfter_; ///< No write before.
    Time renewAt_;
    ReplacementStep step_ = ReplacementStep::None;
    Time stepSince_;
    Time replacementSince_;
    bool planned_ = false; ///< The primary leaves, and still works.
    std::optional<Time> revokeStored_; ///< The store has the revocation since.
    std::optional<Time> surveyAt_; ///< Reports sent before count as none.
    std::optional<MemberId> target_;
    std::optional<Time> promotionAccepted_; ///< When the platform confirmed the call for target_.
    bool promotionIssued_ = false; ///< This leader or one before it may have called for a promotion since the last steady primary.
    Time promoteAfter_;
    Time leadSince_;
};

/** One group of databases: a primary and its replicas. */
struct SessionGroup
{
    ServiceId id_;
    std::set<MemberId> members_;
    PrimaryAuthority authority_;
    std::optional<Time> primaryLostAt_; ///< Since then this VM cannot use the primary of the present epoch, or does not reach it.
    std::uint64_t primaryLostEpoch_ = 0;
    PositionSamples samples_;
    std::optional<LeaderClaim> seenClaim_; ///< As last read from the store.
    Time seenClaimChanged_; ///< When it was first seen as it is.
    Time claimEnds_; ///< By the leader's last word, which counted from the renewal below.
    std::uint64_t leaderGeneration_ = 0;
    std::uint64_t leaderRenewals_ = 0;
    Time leaderHeard_;
    std::optional<LeaderState> leader_; ///< This VM leads.
    std::uint64_t resigned_ = 0; ///< Highest generation that its leader has resigned; its claim is over though the store still shows it.
    Time claimAfter_; ///< No claim before.
    std::optional<CallId> claimWrite_;
    std::vector<SessionKey> waiting_; ///< Sessions whose statements have no connection yet, most urgent first.
    bool heldAuthority_ = false; ///< As last logged.
    Time authorityLostAt_; ///< When it was last lost; the start of the process before it was first held.
    std::uint64_t heldEpoch_ = 0; ///< Of the authority held last; zero before the first. One of a later epoch follows a replacement.
    QueueHistory queue_; ///< Of waiting_.
    std::set<MemberId> residences_; ///< This VM keeps a connection to these though connections are too few for all VMs: a replica, the primary, or both.
    Time residenceReviewAt_; ///< They are not chosen anew before.
};

/** What is known of another entry VM. */
struct PeerVm
{
    EntryVm vm_;
    bool registered_ = false; ///< The store lists it.
    VmId listed_; ///< The incarnation that the store lists.
    std::uint64_t revision_ = 0;
    std::optional<Time> heard_;
    Time itsClock_; ///< When it sent the newest heartbeat that came.
    Time itsClockAt_; ///< When that was, by this VM's clock; see sendingTime().
    Duration clockOffset_{}; ///< From its clock at sending to this VM's at arrival, of the heartbeat that took least.
    ConfigVersion configuration_;
    Time configurationAfter_; ///< It is not asked for it before.
    Duration itsInterval_ = heartbeatInterval; ///< Until its next one to this VM, by its own word.
    bool leads_ = false; ///< Some group.
    bool leaving_ = false;
    std::optional<Time> sentTo_; ///< The last heartbeat to it.
    bool sendNow_ = false; ///< It waits for one.
    std::map<ServiceId, GroupHeartbeat> groups_;
};

/** What a call to the store that is under way was made for. */
struct StoreCallUnderWay
{
    StoreRequest request_;
    std::string peer_;
    Time sentAt_;
};

/** A revision of the store up to which no change of the configuration was heard of. */
struct QuietRevision
{
    std::uint64_t revision_ = 0;
    Time heardAt_;
};

/** When the store is asked next. */
struct StoreSchedule
{
    SharedCheck configurationCheck_;
    SharedCheck directoryCheck_;
    Time membersAt_; ///< No read of the directory before.
    Time configurationAt_; ///< No read of the configuration before.
    Time watchAt_;
    Time vmsAt_;
    Time vmsReadAt_; ///< When the newest list of VMs was asked for.
    Time claimsAt_;
    Time registerAt_;
    bool registered_ = false;
    bool claimsRead_ = false; ///< Since this VM is registered.
    std::optional<CallId> members_;
    ConfigurationAttempts configurationAttempts_; ///< Reads and checks; not the watch.
    Duration transferTime_{}; ///< That the last whole configuration took to arrive.
    std::optional<CallId> watch_;
    std::optional<CallId> vms_;
    std::optional<CallId> claims_;
    std::optional<CallId> register_;
    bool reachable_ = true; ///< Its last call was answered.
    Time answeredAskedAt_; ///< When the last call that it answered was made.
    Time unreachableSince_; ///< While it is not.
};

/** What the sessions of a process start with. */
struct SessionIdentity
{
    EntryVm vm_;
    std::vector<std::string> seeds_; ///< Addresses of VMs to ask when the store cannot be reached.
    Duration drainTime_{}; ///< From the request to shut down to the end of the process.
    SessionPolicies policies_;
};

/** Why a VM counts as cut off from the rest. */
enum class CutOffReason {
    Zone, ///< Its zone is cut off from the larger part.
    Minority, ///< It is in the smaller part of a split, and reaches no primary.
    Primaries, ///< Other VMs reach the primaries, this one does not.
};
/** A VM that counts as cut off, and since when for this reason. */
struct CutOff
{
    CutOffReason reason_ = CutOffReason::Zone;
    Time since_;
};

/** Permits that this VM has asked another for and has no answer about. */
struct PermitAsk
{
    std::uint64_t number_ = 0;
    unsigned wanted_ = 0; ///< The first that wait.
    std::string limiter_; ///< VM.
    Time sentAt_;
    unsigned tries_ = 0; ///< At the same limiter before.
};
/** Operations of one organisation that wait for permits. */
struct PermitQueue
{
    std::deque<SessionKey> waiting_; ///< Oldest first.
    std::optional<PermitAsk> ask_;
    Time notBefore_; ///< No permit is to be had before.
};
/** What this VM may grant of an organisation's quota. */
struct Allowance
{
    TokenBucket bucket_;
    Time borrowedAt_; ///< When it last asked another zone for tokens.
    std::set<std::uint64_t> borrows_; ///< Numbers of those requests, until they are answered.
};
/** An organisation that has reached its quota. */
struct QuotaLimited
{
    Time since_;
    Time lastAt_; ///< Of the last refusal.
    std::uint64_t refused_ = 0; ///< Operations, by this VM.
};
/** All that this VM knows of quotas; see OrganisationQuota.h. */
struct QuotaBook
{
    std::map<OrganisationId, PermitQueue> queues_;
    std::map<OrganisationId, Allowance> allowances_;
    std::map<std::string, Time> silentSince_; ///< VMs that did not answer, until they are heard again.
    std::map<OrganisationId, QuotaLimited> limited_;
    double partOfZone_ = 1; ///< That this VM may grant, by the last review, like the zones below.
    std::set<ZoneId> zones_;
};

/** State of a proxy's sessions. */
struct SessionServiceState
{
    SessionIdentity identity_;
    std::optional<SessionConfiguration> configuration_;
    std::uint64_t configurationRevision_ = 0; ///< Watches and checks ask for what changed since; zero: the whole must be read.
    std::optional<QuietRevision> quietRevision_; ///< Takes the place of the one above after a while.
    ConfigVersion newestHeard_; ///< Of the configurations that other VMs have.
    ConfigurationDelay delay_;
    std::uint64_t directoryRevision_ = 0;
    std::set<std::string> unusableEntries_; ///< Of the directory; each is logged once.
    bool directoryKnown_ = false;
    std::uint64_t directoryMark_ = 0; ///< Fingerprint of its content, equal at all VMs that know the same members; zero: none is known.
    std::map<SessionKey, ClientSession> sessions_;
    std::set<SessionKey> unaccepted_; ///< Of these, the sessions that are not accepted yet.
    std::map<ConnectionId, MemberConnection> connections_;
    std::map<MemberId, MemberState> members_;
    std::map<ServiceId, SessionGroup> groups_;
    std::map<std::string, PeerVm> peers_; ///< By name of the VM.
    std::map<CallId, StoreCallUnderWay> calls_;
    QuotaBook quotas_;
    StoreSchedule schedule_;
    Time heartbeatsReviewAt_; ///< No heartbeat is due before, but for those wanted at once.
    bool heartbeatNow_ = false;
    std::map<std::string, DelegateRole> delegates_; ///< By name, the delegates of all zones where VMs are many, this one among them; see Delegates.h.
    Time delegatesReviewAt_; ///< They are not chosen anew before.
    std::vector<std::string> awaited_; ///< Names of VMs that wait for a heartbeat; see PeerVm::sendNow_.
    std::vector<std::string> newVms_; ///< Names of VMs that were heard first, or first after they started again, and not told of yet.
    Time newVmsToldAt_;
    unsigned entryVms_ = 1; ///< VMs that share the members' connections, by the last review: counting walks over all VMs, too much for each statement.
    Time startedAt_;
    OutageHistory outages_; ///< Of primaries that were replaced, of all groups.
    std::optional<bool> ready_;
    std::optional<CutOff> cutOff_; ///< Present while the VM counts as cut off.
    std::optional<Time> drainSince_;
    bool exiting_ = false;
};

} // namespace Figward
