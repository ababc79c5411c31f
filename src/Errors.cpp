#include "Errors.h"

namespace Figward {

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "invalid";
}

std::string_view toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::None:
        return "none";
    case ErrorKind::BadRequest:
        return "bad-request";
    case ErrorKind::UnknownService:
        return "unknown-service";
    case ErrorKind::UnknownGroup:
        return "unknown-group";
    case ErrorKind::MissingKey:
        return "missing-key";
    case ErrorKind::BadToken:
        return "bad-token";
    case ErrorKind::NotConfigured:
        return "not-configured";
    case ErrorKind::Draining:
        return "draining";
    case ErrorKind::NotOwner:
        return "not-owner";
    case ErrorKind::NoOwner:
        return "no-owner";
    case ErrorKind::NoPrimary:
        return "no-primary";
    case ErrorKind::ReplicasBehind:
        return "replicas-behind";
    case ErrorKind::QueueFull:
        return "queue-full";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::DeadlineExceeded:
        return "deadline-exceeded";
    case ErrorKind::RetryBudgetSpent:
        return "retry-budget-spent";
    case ErrorKind::UpstreamFailed:
        return "upstream-failed";
    case ErrorKind::UpstreamRefused:
        return "upstream-refused";
    case ErrorKind::StatementRejected:
        return "statement-rejected";
    case ErrorKind::KeyCancelled:
        return "key-cancelled";
    case ErrorKind::KeyTrimmed:
        return "key-trimmed";
    case ErrorKind::TransactionLost:
        return "transaction-lost";
    case ErrorKind::NoSuchTransaction:
        return "no-such-transaction";
    }
    return "invalid";
}

} // namespace Figward
