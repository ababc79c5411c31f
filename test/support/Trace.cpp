#include "Trace.h"

namespace Figward::Testing {

namespace {

template<typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

std::string name(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Read:
        return "read";
    case RequestKind::Write:
        return "write";
    case RequestKind::Begin:
        return "begin";
    case RequestKind::Commit:
        return "commit";
    case RequestKind::Rollback:
        return "rollback";
    case RequestKind::CancelKey:
        return "cancel-key";
    }
    return {};
}

std::string name(UpstreamResult result)
{
    switch (result) {
    case UpstreamResult::Done:
        return "done";
    case UpstreamResult::Recorded:
        return "recorded";
    case UpstreamResult::Cancelled:
        return "cancelled";
    case UpstreamResult::Trimmed:
        return "trimmed";
    case UpstreamResult::WrongTerm:
        return "wrong-term";
    case UpstreamResult::Busy:
        return "busy";
    case UpstreamResult::Rejected:
        return "rejected";
    case UpstreamResult::NoTransaction:
        return "no-transaction";
    }
    return {};
}

std::string name(ControlResult result)
{
    return result == ControlResult::Ok ? "ok" : result == ControlResult::Refused ? "refused" : "no answer";
}

std::string name(PlatformStatus status)
{
    switch (status) {
    case PlatformStatus::Ok:
        return "ok";
    case PlatformStatus::NotFound:
        return "not-found";
    case PlatformStatus::Conflict:
        return "conflict";
    case PlatformStatus::Unavailable:
        return "unavailable";
    case PlatformStatus::Lost:
        return "lost";
    }
    return {};
}

std::string keyText(const std::optional<IdempotencyKey> &key)
{
    return key ? " key " + toString(key->session_) + "#" + std::to_string(key->sequence_.value()) : std::string();
}

std::string tokenText(const SessionToken &token)
{
    std::string text;
    for (const auto &[group, point] : token.points_) {
        text += " seen " + group.value() + ":" + toString(point);
    }
    return text;
}

std::string quoted(const std::string &body)
{
    return body.empty() ? std::string() : " \"" + body + "\"";
}

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

std::string describeStatement(const UpstreamStatement &statement)
{
    const std::string term = statement.requiredTerm_ == Term(0) ? " in any role" : " as primary of term " + number(statement.requiredTerm_.value());
    return "#" + number(statement.id_.value()) + " " + name(statement.kind_) + quoted(statement.body_) + keyText(statement.key_) + term;
}

std::string describeControl(const ControlBody &body)
{
    const Overloaded handle{
        [](const Probe &) { return std::string(); },
        [](const Fence &call) { return "fence at term " + number(call.term_.value()); },
        [](const Promote &call) { return "promote in term " + number(call.term_.value()); },
        [](const Follow &call) { return "follow " + call.primary_.value() + " in term " + number(call.term_.value()); },
        [](const TrimKeys &call) { return "trim keys of sessions before " + number(call.sessionsBefore_); },
    };
    return std::visit(handle, body);
}

std::string describeControlEnd(const ControlAnswer &answer)
{
    const bool answered = answer.result_ != ControlResult::Failed;
    return name(answer.result_) + (answered ? " at " + toString(answer.status_.log_) + " fenced " + number(answer.status_.fenced_.value()) : std::string());
}

std::string describePlatform(const PlatformBody &body)
{
    const Overloaded handle{
        [](const GetObject &call) { return "get " + call.path_; },
        [](const PutObject &call) { return "put " + call.path_ + " if at version " + number(call.expected_.value()); },
        [](const WatchObject &) { return std::string(); },
        [](const ListVms &) { return std::string(); },
    };
    return std::visit(handle, body);
}

std::string describePeer(const PeerBody &body)
{
    const Overloaded handle{
        [](const ForwardRequest &m) { return "forward #" + number(m.id_.value()) + ": " + describe(m.request_); },
        [](const ForwardAnswer &m) { return "answer #" + number(m.id_.value()) + ": " + describe(m.answer_); },
        [](const AbandonTransaction &m) { return "abandon transaction " + number(m.transaction_.value()); },
        [](const SuspicionQuery &m) { return "is " + m.primary_.value() + " lost as primary of term " + number(m.term_.value()) + "?"; },
        [](const SuspicionAnswer &m) { return std::string(m.primarySeen_ ? "primary seen" : "primary not seen") + " in term " + number(m.term_.value()); },
        [](const PrimaryNews &m) { return m.primary_.value() + " is primary of term " + number(m.term_.value()); },
        [](const TermHandover &m) { return "terms " + number(m.first_.value()) + " to " + number(m.last_.value()) + " handed over"; },
        [](const auto &) { return std::string(); },
    };
    return std::visit(handle, body);
}

std::string prefixed(const std::string &prefix, const std::string &text)
{
    return text.empty() ? std::string() : prefix + text;
}

} // namespace

std::string describe(const Request &request)
{
    std::string text = name(request.kind_) + " " + request.group_.value() + quoted(request.body_) + keyText(request.key_) + tokenText(request.token_);
    if (request.transaction_ != TransactionId(0)) {
        text += " in transaction " + number(request.transaction_.value());
    }
    if (request.maxStaleness_) {
        text += " at most " + std::to_string(toMillis(*request.maxStaleness_)) + " ms old";
    }
    return text;
}

std::string describe(const Answer &answer)
{
    std::string text(toString(answer.outcome_));
    if (answer.error_ != ErrorKind::None) {
        text += " " + std::string(toString(answer.error_));
    }
    text += quoted(answer.body_) + tokenText(answer.token_);
    if (answer.transaction_ != TransactionId(0)) {
        text += " transaction " + number(answer.transaction_.value());
    }
    if (!answer.servedBy_.value().empty()) {
        text += std::string(answer.fromReplica_ ? " from replica " : " from primary ") + answer.servedBy_.value();
    }
    if (answer.retryAfter_) {
        text += " again after " + std::to_string(toMillis(*answer.retryAfter_)) + " ms";
    }
    return text;
}

std::string describe(const EventBody &body)
{
    const Overloaded handle{
        [](const Started &) { return std::string("<- started"); },
        [](const WakeUp &) { return std::string(); },
        [](const CallerAsked &e) { return "<- caller asks #" + number(e.id_.value()) + ": " + describe(e.request_); },
        [](const CallerGone &e) { return "<- caller of transaction " + number(e.transaction_.value()) + " is gone"; },
        [](const PeerReceived &e) { return prefixed("<- " + e.message_.fromAddress_ + " ", describePeer(e.message_.body_)); },
        [](const PeerLost &e) { return "<- lost contact to " + e.address_; },
        [](const ConnectionOpened &e) { return "<- connection " + number(e.connection_.value()) + " is open"; },
        [](const ConnectionLost &e) {
            const std::string how = e.end_ == ConnectionEnd::Refused ? "refused" : e.end_ == ConnectionEnd::Unreachable ? "unreachable" : "lost";
            return "<- connection " + number(e.connection_.value()) + " is " + how;
        },
        [](const UpstreamAnswered &e) {
            return "<- connection " + number(e.connection_.value()) + " answers #" + number(e.answer_.id_.value()) + ": " + name(e.answer_.result_)
                   + quoted(e.answer_.body_) + " at " + toString(e.answer_.point_);
        },
        [](const ControlAnswered &e) { return "<- control " + number(e.answer_.id_.value()) + ": " + describeControlEnd(e.answer_); },
        [](const PlatformAnswered &e) {
            const bool list = !e.answer_.vms_.empty();
            return list ? std::string() : "<- platform call " + number(e.answer_.id_.value()) + ": " + name(e.answer_.status_);
        },
        [](const DrainAsked &) { return std::string("<- drain asked"); },
        [](const SessionEvent &) { return std::string(); }, // Session tests have a trace of their own.
    };
    return std::visit(handle, body);
}

std::string describe(const Effect &effect)
{
    const Overloaded handle{
        [](const AnswerCaller &e) { return "-> caller #" + number(e.id_.value()) + ": " + describe(e.answer_); },
        [](const SendPeer &e) { return prefixed("-> " + e.address_ + " ", describePeer(e.message_.body_)); },
        [](const OpenConnection &e) { return "-> open connection " + number(e.connection_.value()) + " to " + e.member_.value(); },
        [](const CloseConnection &e) { return "-> close connection " + number(e.connection_.value()); },
        [](const SendStatement &e) { return "-> connection " + number(e.connection_.value()) + " " + describeStatement(e.statement_); },
        [](const SendControl &e) {
            return prefixed("-> " + e.member_.value() + " control " + number(e.call_.id_.value()) + " ", describeControl(e.call_.body_));
        },
        [](const CallPlatform &e) { return prefixed("-> platform call " + number(e.call_.id_.value()) + " ", describePlatform(e.call_.body_)); },
        [](const ArmWakeUp &) { return std::string(); },
        [](const WriteLog &e) {
            std::string text = "log " + std::string(logEventInfo(e.number_).name_);
            for (const LogField &field : e.fields_) {
                text += " " + field.key_ + "=" + field.value_;
            }
            return text;
        },
        [](const ExitProcess &) { return std::string("exits"); },
        [](const SessionEffect &) { return std::string(); }, // Session tests have a trace of their own.
    };
    return std::visit(handle, effect);
}

} // namespace Figward::Testing
