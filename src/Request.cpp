#include "Request.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace Figward {

namespace {

// absl is built with its own string_view, to which std::string_view does not convert.
constexpr absl::string_view tokenPrefix = "f1:"; // Version of the format. A later format must use another prefix.

absl::Status malformed()
{
    return absl::InvalidArgumentError("session token is malformed");
}

} // namespace

void advance(SessionToken &token, const GroupId &group, LogPoint point)
{
    LogPoint &known = token.points_[group];
    known = std::max(known, point);
}

void merge(SessionToken &token, const SessionToken &other)
{
    for (const auto &[group, point] : other.points_) {
        advance(token, group, point);
    }
}

std::string encodeToken(const SessionToken &token)
{
    if (token.points_.empty()) {
        return {};
    }
    std::string plain;
    for (const auto &[group, point] : token.points_) {
        absl::StrAppend(&plain, group.value(), "=", point.term_.value(), ",", point.position_.value(), ";");
    }
    return absl::StrCat(tokenPrefix, absl::WebSafeBase64Escape(plain));
}

absl::StatusOr<SessionToken> decodeToken(std::string_view encoded)
{
    const absl::string_view text(encoded.data(), encoded.size());
    SessionToken token;
    if (text.empty()) {
        return token;
    }
    std::string plain;
    if (!absl::StartsWith(text, tokenPrefix) || !absl::WebSafeBase64Unescape(text.substr(tokenPrefix.size()), &plain)) {
        return malformed();
    }
    for (const absl::string_view part : absl::StrSplit(plain, ';', absl::SkipEmpty())) {
        const std::pair<absl::string_view, absl::string_view> entry = absl::StrSplit(part, absl::MaxSplits('=', 1));
        const std::pair<absl::string_view, absl::string_view> point = absl::StrSplit(entry.second, absl::MaxSplits(',', 1));
        std::uint64_t term = 0;
        std::uint64_t position = 0;
        if (entry.first.empty() || !absl::SimpleAtoi(point.first, &term) || !absl::SimpleAtoi(point.second, &position)) {
            return malformed();
        }
        advance(token, GroupId(std::string(entry.first)), {Term(term), Position(position)});
    }
    return token;
}

bool isTransactionStep(const Request &request)
{
    return request.transaction_ != TransactionId(0) && request.kind_ != RequestKind::Begin;
}

Answer notRun(ErrorKind error, std::optional<Duration> retryAfter)
{
    Answer answer;
    answer.outcome_ = Outcome::NotRun;
    answer.error_ = error;
    answer.retryAfter_ = retryAfter;
    return answer;
}

Answer unknown(ErrorKind error)
{
    Answer answer;
    answer.outcome_ = Outcome::Unknown;
    answer.error_ = error;
    return answer;
}

} // namespace Figward
