/** \file
 * Defines strong types for the identifiers that travel through figward, so that a term cannot be passed where a position is meant.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace Figward {

/** A value of type \p Rep that only compares with values of the same \p Tag. */
template<typename Tag, typename Rep>
class StrongValue
{
public:
    constexpr StrongValue() = default;
    constexpr explicit StrongValue(Rep value)
        : value_(std::move(value))
    {
    }

    [[nodiscard]] constexpr const Rep &value() const
    {
        return value_;
    }

    auto operator<=>(const StrongValue &) const = default;

    template<typename H>
    friend H AbslHashValue(H h, const StrongValue &v)
    {
        return H::combine(std::move(h), v.value_);
    }

private:
    Rep value_{};
};

/** One incarnation of a proxy process on a VM. A restarted VM has a new one; zero means "not known yet". */
using VmId = StrongValue<struct VmIdTag, std::uint64_t>;
/** Name of an availability zone. */
using ZoneId = StrongValue<struct ZoneIdTag, std::string>;
/** Name of a service of the configuration. */
using ServiceId = StrongValue<struct ServiceIdTag, std::string>;
/** Name of a database group, unique in the whole configuration. */
using GroupId = StrongValue<struct GroupIdTag, std::string>;
/** Name of one member (an upstream database) of a group, unique in the whole configuration. */
using MemberId = StrongValue<struct MemberIdTag, std::string>;
/** Name of a class of work, such as "dispatch". */
using ClassId = StrongValue<struct ClassIdTag, std::string>;
/** An organisation whose applications use the databases. */
using OrganisationId = StrongValue<struct OrganisationIdTag, std::string>;
/** A caller's request at its entry proxy; unique there for the life of the process. */
using RequestId = StrongValue<struct RequestIdTag, std::uint64_t>;
/** A transaction at its entry proxy; zero means "none". */
using TransactionId = StrongValue<struct TransactionIdTag, std::uint64_t>;
/** A connection from this process to one member; never reused. */
using ConnectionId = StrongValue<struct ConnectionIdTag, std::uint64_t>;
/** A statement sent on a connection, matched against its answer. */
using StatementId = StrongValue<struct StatementIdTag, std::uint64_t>;
/** A control call (probe, fence, promote, follow) to a member. */
using ControlId = StrongValue<struct ControlIdTag, std::uint64_t>;
/** A call to the platform's object API. */
using CallId = StrongValue<struct CallIdTag, std::uint64_t>;
/** Random id that marks one attempt at a conditional update, so that its author can recognise it after a lost answer. */
using AttemptId = StrongValue<struct AttemptIdTag, std::uint64_t>;
/** Version that the platform gives an object; grows with each update. Zero means "does not exist". */
using ObjectVersion = StrongValue<struct ObjectVersionTag, std::uint64_t>;
/** Version of an accepted configuration; grows by one with each apply. Zero means "none yet". */
using ConfigVersion = StrongValue<struct ConfigVersionTag, std::uint64_t>;
/** Term of a group's primary; grows with each promotion. */
using Term = StrongValue<struct TermTag, std::uint64_t>;
/** Position in a group's log; the first entry is 1. */
using Position = StrongValue<struct PositionTag, std::uint64_t>;
/** Number of a request within its session; grows by one with each new request. */
using Sequence = StrongValue<struct SequenceTag, std::uint64_t>;

/** A caller's session. Its start lets a group forget old sessions as a whole without forgetting that they existed. */
struct SessionId
{
    std::uint64_t startedSeconds_ = 0; ///< Seconds since the Unix epoch, by the caller's clock.
    std::uint64_t nonce_ = 0; ///< Chosen at random by the caller.
    auto operator<=>(const SessionId &) const = default;

    template<typename H>
    friend H AbslHashValue(H h, const SessionId &s)
    {
        return H::combine(std::move(h), s.startedSeconds_, s.nonce_);
    }
};

/** Idempotency key of a request that may not run twice; stored by the group in the same transaction as the write. */
struct IdempotencyKey
{
    SessionId session_;
    Sequence sequence_;
    auto operator<=>(const IdempotencyKey &) const = default;

    template<typename H>
    friend H AbslHashValue(H h, const IdempotencyKey &k)
    {
        return H::combine(std::move(h), k.session_, k.sequence_);
    }
};

/** A point in a group's log. Compares by term first: the order in which a new primary is chosen. */
struct LogPoint
{
    Term term_;
    Position position_;
    auto operator<=>(const LogPoint &) const = default;
};

/** Text of a session id for logs, as "seconds-nonce". */
std::string toString(const SessionId &session);
/** Text of a log point for logs, as "term/position". */
std::string toString(const LogPoint &point);

} // namespace Figward
