#include "LogLine.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>
#include <algorithm>

namespace Figward {

namespace {

constexpr std::size_t headerWordCount = 5; ///< Time, level, number, name and process.

absl::string_view asAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string quoteIfNeeded(const std::string &value)
{
    const bool plain = !value.empty() && std::ranges::all_of(value, [](unsigned char c) { return c > ' ' && c < 127 && c != '"' && c != '\\' && c != '='; });
    return plain ? value : absl::StrCat("\"", absl::CHexEscape(value), "\"");
}

/** Returns the length of the value at the start of \p rest, including its quotes; npos if the closing quote is missing. */
std::size_t valueLength(std::string_view rest)
{
    if (rest.empty() || rest.front() != '"') {
        return std::min(rest.find(' '), rest.size());
    }
    for (std::size_t i = 1; i < rest.size(); ++i) {
        if (rest[i] == '\\') {
            ++i;
        } else if (rest[i] == '"') {
            return i + 1;
        }
    }
    return std::string_view::npos;
}

/** Parses one "KEY=VALUE" at the start of \p rest and removes it from \p rest. */
std::optional<LogField> parseField(std::string_view &rest)
{
    const std::size_t equals = rest.find('=');
    if (equals == 0 || equals == std::string_view::npos) {
        return std::nullopt;
    }
    LogField field{std::string(rest.substr(0, equals)), {}};
    rest.remove_prefix(equals + 1);
    const std::size_t length = valueLength(rest);
    if (length == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view value = rest.substr(0, length);
    rest.remove_prefix(length);
    if (!value.starts_with('"')) {
        field.value_ = std::string(value);
    } else if (!absl::CUnescape(asAbsl(value.substr(1, value.size() - 2)), &field.value_)) {
        return std::nullopt;
    }
    return field;
}

std::optional<LogTime> parseTime(absl::string_view text)
{
    absl::Time time;
    if (!absl::ParseTime(absl::RFC3339_full, text, &time, nullptr) || time == absl::InfiniteFuture() || time == absl::InfinitePast()) {
        return std::nullopt;
    }
    return LogTime(std::chrono::milliseconds(absl::ToUnixMillis(time)));
}

} // namespace

std::string_view toString(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "DEBUG";
    case LogLevel::Info:
        return "INFO";
    case LogLevel::Warning:
        return "WARN";
    case LogLevel::Error:
        return "ERROR";
    }
    return "?";
}

std::string formatLogBody(LogNumber number, std::string_view process, const std::vector<LogField> &fields)
{
    std::string body = absl::StrCat(static_cast<int>(number), " ", asAbsl(logEventInfo(number).name_), " ", asAbsl(process));
    for (const LogField &field : fields) {
        absl::StrAppend(&body, " ", field.key_, "=", quoteIfNeeded(field.value_));
    }
    return body;
}

std::optional<LogLine> parseLogLine(std::string_view line)
{
    std::vector<absl::string_view> header;
    std::string_view rest = line;
    while (header.size() < headerWordCount && !rest.empty()) {
        const std::size_t end = std::min(rest.find(' '), rest.size());
        header.push_back(asAbsl(rest.substr(0, end)));
        rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of(' ', end)));
    }
    LogLine result;
    const std::optional<LogTime> time = header.size() == headerWordCount ? parseTime(header[0]) : std::nullopt;
    if (!time || !absl::SimpleAtoi(header[2], &result.number_)) {
        return std::nullopt;
    }
    result.time_ = *time;
    result.level_ = std::string(header[1]);
    result.name_ = std::string(header[3]);
    result.process_ = std::string(header[4]);
    while (!rest.empty()) {
        std::optional<LogField> field = parseField(rest);
        if (!field) {
            return std::nullopt;
        }
        result.fields_.push_back(*std::move(field));
        rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of(' ')));
    }
    return result;
}

} // namespace Figward
