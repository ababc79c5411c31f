/** \file
 * Defines the messages between proxies. Every message carries the sender's configuration version, so that a change spreads with ordinary work.
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
    RequestId id_; ///< The entry's.
    Request request_;
};
/** The answer to a ForwardRequest. */
struct ForwardAnswer
{
    RequestId id_;
    Answer answer_;
};
/** The caller of an open transaction is gone: roll it back. */
struct AbandonTransaction
{
    TransactionId transaction_;
};
/** Asks another owner whether it, too, has lost the primary. */
struct SuspicionQuery
{
    GroupId group_;
    Term term_;
    MemberId primary_;
};
/** The answer: whether a probe that was sent after the query came back from the primary in that term. */
struct SuspicionAnswer
{
    GroupId group_;
    Term term_;
    bool primarySeen_ = false;
};
/** A group has a new primary. Also sent to those who ask with an older term. */
struct PrimaryNews
{
    GroupId group_;
    Term term_;
    MemberId primary_;
};
/** A sign of life between owners of the same group, and to peers that are otherwise silent. */
struct Heartbeat
{
    VmInfo sender_;
    bool wantsVms_ = false; ///< The sender has no list of VMs: answer with yours.
};
/** What the sender has learnt of the list of VMs: a change that spreads from peer to peer, or all of it for one that asked by Heartbeat. */
struct VmListNews
{
    std::vector<VmInfo> vms_; ///< New to the list, or changed.
    std::vector<VmId> gone_; ///< No longer on the list.
};
/** Asks for the manifest of the receiver's configuration, if newer than the envelope's version. */
struct ManifestRequest
{
};
/** The manifest of a configuration, as stored on the platform. */
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
    std::uint64_t ask_ = 0; ///< Number of this request at its sender, which the loan names; zero to take back what the sender has lent.
    ConnectionCount connections_;
    SlotCount slots_;
};
/** Lends quota until the lease ends by the lender's clock; the borrower counts a shorter time from its request. */
struct QuotaLoan
{
    GroupId group_;
    std::uint64_t ask_ = 0; ///< The request that it answers.
    std::uint64_t loan_ = 0; ///< Number of the loan at the lender; zero when nothing more is lent.
    ConnectionCount connections_;
    SlotCount slots_;
    Duration lease_{};
};
/** The borrower no longer uses a loan, which may end before its lease. */
struct QuotaReturn
{
    GroupId group_;
    std::uint64_t loan_ = 0;
};
/** A draining proxy hands terms of its block to another owner; the giver will not use them. */
struct TermHandover
{
    GroupId group_;
    Term first_;
    Term last_;
};
/** What a proxy knows that the status report of its zone should show, encoded by Status. */
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

/** A message from one proxy to another; may be lost, late, or arrive twice. */
struct PeerMessage
{
    VmId from_;
    VmId to_; ///< Zero when only the address is known; an incarnation other than this one drops the message.
    std::string fromAddress_;
    ConfigVersion configVersion_; ///< Version in force at the sender.
    PeerBody body_;
};

} // namespace Figward
