#include "TimeLine.h"

#include <absl/strings/str_format.h>
#include <absl/time/time.h>
#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <map>

namespace Figward {

namespace {

std::string formatTime(LogTime time)
{
    return absl::FormatTime("%H:%M:%E3S", absl::FromUnixMillis(time.time_since_epoch().count()), absl::UTCTimeZone());
}

boost::json::object instantEvent(const LogLine &event, std::size_t process)
{
    boost::json::object arguments;
    for (const LogField &field : event.fields_) {
        arguments[field.key_] = field.value_;
    }
    arguments["number"] = event.number_;
    arguments["level"] = event.level_;
    return {
        {"name", event.name_},
        {"ph", "i"},
        {"s", "p"},
        {"ts", std::chrono::microseconds(event.time_.time_since_epoch()).count()},
        {"pid", process},
        {"tid", 0},
        {"args", std::move(arguments)},
    };
}

boost::json::object processName(const std::string &name, std::size_t process)
{
    return {{"name", "process_name"}, {"ph", "M"}, {"pid", process}, {"tid", 0}, {"args", {{"name", name}}}};
}

} // namespace

void addLog(TimeLine &timeLine, std::istream &in, const std::string &file)
{
    std::string text;
    for (std::size_t number = 1; std::getline(in, text); ++number) {
        if (std::optional<LogLine> line = parseLogLine(text)) {
            timeLine.events_.push_back(*std::move(line));
        } else if (!text.empty()) {
            timeLine.unreadable_.push_back({file, number});
        }
    }
}

void orderByTime(TimeLine &timeLine)
{
    std::ranges::stable_sort(timeLine.events_, {}, &LogLine::time_);
}

TimeLine filterByRequest(const TimeLine &timeLine, const std::string &id, std::chrono::milliseconds margin)
{
    const auto hasRequestId = [&](const LogLine &event) {
        return std::ranges::any_of(event.fields_, [&](const LogField &field) { return field.key_ == "id" && field.value_ == id; });
    };
    const auto hasAnyId = [](const LogLine &event) { return std::ranges::any_of(event.fields_, [](const LogField &field) { return field.key_ == "id"; }); };
    const auto first = std::ranges::find_if(timeLine.events_, hasRequestId);
    TimeLine filtered;
    if (first == timeLine.events_.end()) {
        return filtered;
    }
    const auto last = std::ranges::find_if(timeLine.events_.rbegin(), timeLine.events_.rend(), hasRequestId);
    for (const LogLine &event : timeLine.events_) {
        const bool near = event.time_ >= first->time_ - margin && event.time_ <= last->time_ + margin;
        if (hasRequestId(event) || (near && !hasAnyId(event))) {
            filtered.events_.push_back(event);
        }
    }
    return filtered;
}

void writeText(const TimeLine &timeLine, std::ostream &out)
{
    std::size_t width = 0;
    for (const LogLine &event : timeLine.events_) {
        width = std::max(width, event.process_.size());
    }
    LogTime previous = timeLine.events_.empty() ? LogTime() : timeLine.events_.front().time_;
    for (const LogLine &event : timeLine.events_) {
        const auto gap = (event.time_ - previous).count();
        out << absl::StrFormat("%s %+7d ms  %-*s %d %s", formatTime(event.time_), gap, static_cast<int>(width), event.process_, event.number_, event.name_);
        for (const LogField &field : event.fields_) {
            out << ' ' << field.key_ << '=' << field.value_;
        }
        out << '\n';
        previous = event.time_;
    }
}

void writeChromeTrace(const TimeLine &timeLine, std::ostream &out)
{
    std::map<std::string, std::size_t> processes;
    boost::json::array events;
    for (const LogLine &event : timeLine.events_) {
        const auto [process, isNew] = processes.emplace(event.process_, processes.size() + 1);
        if (isNew) {
            events.push_back(processName(process->first, process->second));
        }
        events.push_back(instantEvent(event, process->second));
    }
    out << boost::json::serialize(boost::json::object{{"displayTimeUnit", "ms"}, {"traceEvents", std::move(events)}}) << '\n';
}

} // namespace Figward
