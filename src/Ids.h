/** \file
 * Defines strong types for figward's identifiers, so that a term cannot be passed where a position is expected.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace Figward {

/** A value of type \p Rep that can be compared only with values of the same \p Tag. */
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

/** One incarnation of a proxy process on a VM. A restarted process has a new one; zero means that it is not known yet. */
using VmId = StrongValue<struct VmIdTag, std::uint64_t>;
/** Name of an availability zone. */
using ZoneId = StrongValue<struct ZoneIdTag, std::string>;
/** Name of a service in the configuration. */
using ServiceId = StrongValue<struct ServiceIdTag, std::string>;
/** Name of a database group, unique in the whole configuration. */
using GroupId = StrongValue<struct GroupIdTag, std::string>;
/** Name of one member (an upstream database) of a group, unique in the whole configuration. */
using MemberId = StrongValue<struct MemberIdTag, std::string>;
/** Unix time in milliseconds at which a member's process started. With the member's id it names one incarnation, which knows nothing of the previous one. */
using MemberStart = StrongValue<struct MemberStartTag, std::int64_t>;
/** Name of a class of work, such as "dispatch". */
using ClassId = StrongValue<struct ClassIdTag, std::string>;
/** Name of an organisation whose applications use the databases. */
using OrganisationId = StrongValue<struct OrganisationIdTag, std::string>;
/** A caller's request at its entry proxy; unique during the lifetime of that process. */
using RequestId = StrongValue<struct RequestIdTag, std::uint64_t>;
/** A transaction at its entry proxy; zero means no transaction. */
using TransactionId = StrongValue<struct TransactionIdTag, std::uint64_t>;
/** A connection from this process to one member; never reused. */
using ConnectionId = StrongValue<struct ConnectionIdTag, std::uint64_t>;
/** A statement sent on a connection, matched against its answer. */
using StatementId = StrongValue<struct StatementIdTag, std::uint64_t>;
/** A control call (probe, fence, promote, follow) to a member. */
using ControlId = StrongValue<struct ControlIdTag, std::uint64_t>;
/** A call to the platform's object API. */
using CallId = StrongValue<struct CallIdTag, std::uint64_t>;
/** Random id of one attempt at a conditional update. If the answer is lost, the proxy recognises its own update by this id. */
using AttemptId = StrongValue<struct AttemptIdTag, std::uint64_t>;
/** Version that the platform assigns to an object; increases with each update. Zero means that the object does not exist. */
using ObjectVersion = StrongValue<struct ObjectVersionTag, std::uint64_t>;
/** Version of an accepted configuration; increases by one each time a configuration is applied. Zero means that there is none yet. */
using ConfigVersion = StrongValue<struct ConfigVersionTag, std::uint64_t>;
/** Term of a group's primary; increases with each promotion. */
using Term = StrongValue<struct TermTag, std::uint64_t>;
/** Position in a group's log; the first entry is 1. */
using Position = StrongValue<struct PositionTag, std::uint64_t>;
/** Number of a request within its session; increases by one with each new request. */
using Sequence = StrongValue<struct SequenceTag, std::uint64_t>;

/** A caller's session. By the start time in the id, a group still recognises a session as expired after it has deleted its records. */
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

/** Idempotency key of a request that must not run twice. The group stores it in the same transaction as the write. */
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

/** A point in a group's log. Points are ordered by term first, which is the order used to choose a new primary. */
struct LogPoint
{
    Term term_;
    Position position_;
    auto operator<=>(const LogPoint &) const = default;
};

/** Formats a session id for logs, as "seconds-nonce". */
std::string toString(const SessionId &session);
/** Formats a log point for logs, as "term/position". */
std::string toString(const LogPoint &point);

} // namespace Figward
