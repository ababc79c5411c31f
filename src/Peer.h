/** \file
 * Defines the messages between proxies. Every message carries the sender's configuration version, so that proxies learn of a new version from ordinary traffic.
 */
#pragma once

#include "Ids.h"
#include "Platform.h"
#include "Request.h"
#include "Upstream.h"

#include <string>
#include <variant>
#include <vector>

namespace Figward {

/** An entry proxy asks an owner of the group to run a request. */
struct ForwardRequest
{
    RequestId id_; ///< Assigned by the entry.
    Request request_;
};
/** The answer to a ForwardRequest. */
struct ForwardAnswer
{
    RequestId id_;
    Answer answer_;
};
/** Asks the owner to roll back an open transaction whose caller has disconnected. */
struct AbandonTransaction
{
    TransactionId transaction_;
};
/** Asks another owner whether the primary is unresponsive to it as well. */
struct SuspicionQuery
{
    GroupId group_;
    Term term_;
    MemberId primary_;
};
/** The answer to a SuspicionQuery: whether the primary answered, in that term, a probe sent after the query arrived. */
struct SuspicionAnswer
{
    GroupId group_;
    Term term_;
    bool primarySeen_ = false;
};
/** Announces a new primary of a group. Also sent in answer to a query with an older term. */
struct PrimaryNews
{
    GroupId group_;
    Term term_;
    MemberId primary_;
};
/** Periodic message to a few other proxies; it shows that the sender is alive and carries its configuration version. */
struct Heartbeat
{
    VmInfo sender_;
    bool wantsVms_ = false; ///< The sender does not yet know both the VMs and the configuration, and asks the receiver for its list of VMs.
};
/** An update of the list of VMs that is passed on from peer to peer, or the complete list in answer to a Heartbeat with wantsVms_. */
struct VmListNews
{
    std::vector<VmInfo> vms_; ///< VMs that were added or changed.
    std::vector<VmId> gone_; ///< VMs that were removed.
};
/** Asks for the manifest of the receiver's configuration if that is newer than the version in the PeerMessage. */
struct ManifestRequest
{
};
/** The manifest of a configuration, complete as stored on the platform, or as the changes since the version of the requesting proxy. */
struct ManifestNews
{
    ConfigVersion version_;
    std::string manifest_;
};
/** Asks for parts of a configuration by their content hash. */
struct PartsRequest
{
    std::vector<std::string> hashes_;
};
/** Parts of a configuration; each is checked against its hash by the receiver. */
struct PartsNews
{
    std::vector<std::string> parts_;
};
/** Asks another owner of the group to lend part of its quota. */
struct QuotaRequest
{
    GroupId group_;
    std::uint64_t ask_ = 0; ///< Id of this request at its sender, returned in the loan; zero to recall what the sender has lent.
    ConnectionCount connections_;
    SlotCount slots_;
};
/** Lends quota until the lease expires by the lender's clock; the borrower counts a shorter lease from the time of its request. */
struct QuotaLoan
{
    GroupId group_;
    std::uint64_t ask_ = 0; ///< Id of the request that this answers.
    std::uint64_t loan_ = 0; ///< Id of the loan at the lender; zero if nothing more is lent.
    ConnectionCount connections_;
    SlotCount slots_;
    Duration lease_{};
};
/** The borrower no longer uses a loan and returns it before its lease expires. */
struct QuotaReturn
{
    GroupId group_;
    std::uint64_t loan_ = 0;
};
/** Hands unused terms of a draining proxy's block to another owner; the sender will not use them. */
struct TermHandover
{
    GroupId group_;
    Term first_;
    Term last_;
};
/** The report of a proxy for the status report of its zone, encoded by encodeVmReport(). */
struct StatusNews
{
    std::string report_;
};

using PeerBody = std::variant<ForwardRequest,
                              ForwardAnswer,
                              AbandonTransaction,
                              SuspicionQuery,
                              SuspicionAnswer,
                              PrimaryNews,
                              Heartbeat,
                              VmListNews,
                              ManifestRequest,
                              ManifestNews,
                              PartsRequest,
                              PartsNews,
                              QuotaRequest,
                              QuotaLoan,
                              TermHandover,
                              StatusNews,
                              QuotaReturn>;

/** A message from one proxy to another. It may be lost, delayed or duplicated. */
struct PeerMessage
{
    VmId from_;
    VmId to_; ///< Zero if only the address is known. A process with another id discards the message, such as a new process at the same address.
    std::string fromAddress_;
    ConfigVersion configVersion_; ///< Version active at the sender.
    PeerBody body_;
};

} // namespace Figward
