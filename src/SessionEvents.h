/** \file
 * Defines the events and effects of database sessions, alternatives of one alternative each in Event and Effect.
 */
#pragma once

#include "HeartbeatPace.h"
#include "SessionConfiguration.h"

#include <map>
#include <variant>

namespace Figward {

/** A client opened a session. */
struct SessionOpened
{
    SessionKey session_;
    std::string database_;
    std::optional<KeyDigest> key_; ///< Of the key that the client named.
};
/** A client sent a statement. */
struct StatementArrived
{
    SessionKey session_;
    ClientStatement statement_;
};
/** The client's connection is gone. */
struct SessionClosed
{
    SessionKey session_;
};
/** A member answered the oldest request on a connection that was not answered yet. */
struct MemberReplyArrived
{
    ConnectionId connection_;
    SessionReply reply_;
    std::optional<ReplicationReport> report_; ///< Of Status and StepDown.
};

/** What one VM tells the others about one group. */
struct GroupHeartbeat
{
    ServiceId group_;
    std::uint64_t epoch_ = 0; ///< Highest that the sender knows; a primary of a lower one is not used by it any more.
    std::optional<Duration> primaryHeard_; ///< How long ago the primary of this epoch last answered the sender.
    std::optional<LogPoint> sample_; ///< Position of the primary, read under authority.
    Duration sampleAge_{}; ///< Since the statement that the position came with was sent.
    bool leads_ = false; ///< The sender is the leader; the fields below but for authorityAge_ are its word.
    std::uint64_t generation_ = 0;
    ClaimPhase phase_ = ClaimPhase::Replacing;
    std::optional<Duration> authorityAge_; ///< While its leader is silent: since when the sender's authority over the primary below counts, passed on.
    MemberId primary_;
    Term term_;
    Duration claimLeft_{}; ///< Time for which the leader relies on its claim.
    std::uint64_t renewals_ = 0; ///< The renewal of the claim that claimLeft_ counts from.
    std::uint64_t resigned_ = 0; ///< Highest generation that is known to be led no more, by the word of the VM that led it; zero: none.
};

/** What VMs tell each other several times a second, by datagram: may be lost, late, or arrive twice. */
struct VmHeartbeat
{
    std::string name_;
    VmId from_;
    std::string address_;
    ZoneId zone_;
    Time sent_; ///< The sender's clock.
    Time echo_; ///< The receiver's clock: when it sent the last heartbeat that the sender had from it.
    VmId echoOf_; ///< The incarnation whose clock that is.
    ConfigVersion configuration_;
    std::optional<Duration> configurationAge_; ///< Since a VM asked the store for its latest configuration and found this one, or an older one.
    std::uint64_t directoryMark_ = 0; ///< Fingerprint of the members that the sender knows.
    std::optional<Duration> directoryAge_; ///< Since a VM asked the store for the members and found these.
    Duration interval_ = heartbeatInterval; ///< Until the sender's next one to this receiver.
    bool leaving_ = false;
    bool answerNow_ = false; ///< The receiver should send one at once.
    std::vector<GroupHeartbeat> groups_;
};
/** A heartbeat came in. */
struct HeartbeatReceived
{
    VmHeartbeat heartbeat_;
};

/** A VM asks another, by datagram, for permits of an organisation; see OrganisationQuota.h. */
struct AdmissionRequest
{
    std::string name_; ///< Of the sender, like the three below.
    VmId from_;
    std::string address_;
    ZoneId zone_;
    OrganisationId organisation_;
    std::uint64_t number_ = 0; ///< Of the sender; the answer carries it.
    double wanted_ = 0; ///< Operations, or, of a limiter of another zone, tokens.
    bool lends_ = false; ///< The sender limits the organisation in another zone and runs short.
};
/** The answer, by datagram. */
struct AdmissionGrant
{
    VmId from_;
    VmId to_;
    OrganisationId organisation_;
    std::uint64_t number_ = 0;
    double granted_ = 0;
    Duration nextIn_{}; ///< Until one more is to be had.
};

/** Reads the configuration; answered with ConfigurationRead. */
struct ReadConfiguration
{
};
/** Answers when the configuration has changed since the revision, or after the wait. */
struct WatchConfiguration
{
    std::uint64_t sinceRevision_ = 0;
    Duration wait_{};
};
/** Reads the list of members; answered with MemberDirectory. */
struct ReadMembers
{
};
/** Reads the entries of all VMs; answered with a vector of EntryVm. */
struct ReadVms
{
};
/** Reads the claims on all groups; answered with a vector of LeaderClaim. */
struct ReadClaims
{
};
/** Creates the VM's entry or replaces it, whatever it says. */
struct RegisterVm
{
    EntryVm vm_;
};
/** Creates the claim, or replaces the object of the claim's revision. */
struct WriteClaim
{
    LeaderClaim claim_;
};
using StoreRequest = std::variant<ReadConfiguration, WatchConfiguration, ReadMembers, ReadVms, ReadClaims, RegisterVm, WriteClaim>;

/** Whom a call to the store goes to. */
struct StoreSource
{
    std::string peer_; ///< The mirror of the VM at this address in place of the store; empty: the store.
    bool newConnection_ = false; ///< Not on a kept connection: those may have gone silent.
};
/** A call to the store. */
struct StoreCall
{
    CallId id_;
    StoreSource source_;
    Duration timeout_{};
    StoreRequest request_;
};
/** How a call to the store ended. */
enum class StoreResult {
    Done,
    Conflict, ///< Another revision stands there; nothing was done.
    NotFound,
    HistoryGone, ///< Read all again.
    Refused, ///< Nothing was done.
    Unknown, ///< No answer: it may have been done, or may be done later.
    Unreadable, ///< Answered with something that cannot be used.
};
/** As metrics and log lines name it. */
std::string_view toString(StoreResult result);
/** A configuration and the revision it was read at. */
struct ConfigurationRead
{
    std::uint64_t revision_ = 0; ///< Of the store; what changes later is no part of it.
    std::optional<SessionConfiguration> configuration_; ///< Absent: nothing new was heard of.
    std::size_t bytes_ = 0; ///< Of the answers that brought it.
};
using StoreContent = std::variant<std::monostate, ConfigurationRead, MemberDirectory, std::vector<EntryVm>, std::vector<LeaderClaim>>;
/** A call to the store ended. */
struct StoreAnswered
{
    CallId id_;
    StoreResult result_ = StoreResult::Unknown;
    StoreContent content_;
};
/** The answer to a read, check or watch of the configuration has begun to arrive; its source is not silent. */
struct StoreAnswerBegan
{
    CallId id_;
};
/** A call to promote a member ended. */
struct PromotionAnswered
{
    ServiceId group_;
    MemberId member_;
    unsigned status_ = 0; ///< HTTP; zero: no answer.
};

using SessionEvent = std::variant<SessionOpened,
                                  StatementArrived,
                                  SessionClosed,
                                  MemberReplyArrived,
                                  HeartbeatReceived,
                                  AdmissionRequest,
                                  AdmissionGrant,
                                  StoreAnswered,
                                  StoreAnswerBegan,
                                  PromotionAnswered>;

/** Lets a client that opened a session go on. */
struct AcceptSession
{
    SessionKey session_;
};
/** Tells the client why, and closes. */
struct RefuseSession
{
    SessionKey session_;
    ReplyCode code_ = ReplyCode::NoDatabase;
    std::string text_;
};
/** Gives a client the one answer to its oldest statement that has none. */
struct AnswerSession
{
    SessionKey session_;
    SessionReply reply_;
};
/** Closes a session after what was answered. */
struct CloseSession
{
    SessionKey session_;
};
/** Sends a request on an open connection; comes back as MemberReplyArrived, or the connection is lost. */
struct SendToMember
{
    ConnectionId connection_;
    MemberRequest request_;
};
/** Sends a datagram to the VM at "IP:port"; it may be lost, and nothing comes back. */
struct SendHeartbeat
{
    std::string address_;
    VmHeartbeat heartbeat_;
};
/** Sends a datagram to the VM at "IP:port", like a heartbeat. */
struct SendAdmissionRequest
{
    std::string address_;
    AdmissionRequest request_;
};
/** Sends a datagram to the VM at "IP:port", like a heartbeat. */
struct SendAdmissionGrant
{
    std::string address_;
    AdmissionGrant grant_;
};
/** Calls the store, or a VM in its place; comes back as StoreAnswered, also when there was no answer in time. */
struct CallStore
{
    StoreCall call_;
};
/** Asks the platform to make a member the primary; comes back as PromotionAnswered. */
struct CallPromotion
{
    ServiceId group_;
    MemberId member_;
    std::uint64_t generation_ = 0;
    Duration timeout_{};
};
/** Whether the platform should send new clients here. */
struct SetReady
{
    bool ready_ = false;
};

/** A statement that needs a member was answered; to be counted. */
struct StatementEnded
{
    Consistency consistency_ = Consistency::Primary;
    bool writes_ = false; ///< A write, or a commit.
    ReplyCode code_ = ReplyCode::None;
    bool usedPrimary_ = false;
    unsigned tries_ = 0;
    Duration total_{};
    Duration waiting_{}; ///< For a connection to a member.
    std::optional<Duration> atMember_; ///< Since it was sent; none if it never was.
};

using SessionEffect = std::variant<AcceptSession,
                                   RefuseSession,
                                   AnswerSession,
                                   CloseSession,
                                   SendToMember,
                                   SendHeartbeat,
                                   SendAdmissionRequest,
                                   SendAdmissionGrant,
                                   CallStore,
                                   CallPromotion,
                                   SetReady,
                                   StatementEnded>;

} // namespace Figward
