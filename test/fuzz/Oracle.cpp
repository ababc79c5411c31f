#include "fuzz/Oracle.h"

#include "support/Trace.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace Figward::Testing {

namespace {

std::string describeWrite(const RequestedWrite &write)
{
    const std::string key = write.key_ ? toString(write.key_->session_) + "#" + std::to_string(write.key_->sequence_.value()) : "no key";
    return write.group_.value() + " " + key + " \"" + (write.bodies_.empty() ? "" : write.bodies_.back()) + "\"";
}

/** Returns the tag in "append KEY TAG". */
std::string tagOf(const std::string &body)
{
    return body.substr(body.rfind(' ') + 1);
}

} // namespace

std::string Oracle::newTag(const std::string &key, WriteNumber write)
{
    std::string tag = key + "." + std::to_string(nextTag_++) + ";";
    tags_[tag] = write;
    return tag;
}

WriteNumber Oracle::ask(RequestedWrite write)
{
    writes_.push_back(std::move(write));
    return writes_.size() - 1;
}

RequestedWrite &Oracle::write(WriteNumber number)
{
    return writes_.at(number);
}

void Oracle::recordAnswer(WriteNumber number, const std::optional<Answer> &answer)
{
    if (!answer) {
        return;
    }
    RequestedWrite &write = writes_.at(number);
    counts_.unknown_ += answer->outcome_ == Outcome::Unknown ? 1 : 0;
    if (answer->outcome_ == Outcome::NotRun) {
        ++counts_.notRun_;
        write.notRun_ = true;
    }
    if (answer->outcome_ == Outcome::Done) {
        ++counts_.done_;
        write.done_ = true;
        const auto point = answer->token_.points_.find(write.group_);
        if (point == answer->token_.points_.end()) {
            violate("done, but the token has no log point: " + describeWrite(write));
            return;
        }
        write.point_ = point->second;
        checkAnswerBelongs(write, *answer);
    }
    if (write.done_ && write.notRun_) {
        violate("reported as both done and not run: " + describeWrite(write));
    }
}

void Oracle::check(const CheckedRead &read)
{
    ++counts_.reads_;
    counts_.replicaReads_ += read.fromReplica_ ? 1 : 0;
    std::set<std::string> seen;
    for (const absl::string_view part : absl::StrSplit(read.body_, absl::ByChar(';'), absl::SkipEmpty())) {
        const std::string tag = absl::StrCat(part, ";");
        const auto known = tags_.find(tag);
        if (known == tags_.end() || !absl::StartsWith(tag, read.key_ + ".")) {
            violate("the answer to a read of " + read.key_ + " holds foreign " + tag);
            continue;
        }
        const bool uncommitted = !writes_.at(known->second).key_ && read.transaction_ != known->second;
        if (uncommitted) {
            violate("a read saw " + tag + " of a transaction whose commit has not been requested");
        }
        if (!seen.insert(tag).second) {
            violate("a read saw " + tag + " twice");
        }
    }
    for (const std::string &tag : read.mustContain_) {
        if (!seen.contains(tag)) {
            violate("a read of " + read.group_.value() + " " + read.key_ + " lacked " + tag);
        }
    }
}

void Oracle::checkLog(const GroupId &group, const Standin::GroupLog &log)
{
    counts_.promotions_ += log.termStarts().size() - 1;
    std::map<IdempotencyKey, const Standin::LogEntry *> ran;
    for (const Standin::LogEntry &entry : log.entries()) {
        if (entry.key_ && !entry.tombstone_ && !ran.emplace(*entry.key_, &entry).second) {
            violate("a key ran twice: " + toString(entry.key_->session_) + "#" + std::to_string(entry.key_->sequence_.value()));
        }
    }
    for (const RequestedWrite &write : writes_) {
        if (write.group_ != group || !write.key_) {
            continue;
        }
        const auto found = ran.find(*write.key_);
        if (found == ran.end()) {
            if (write.done_) {
                violate("acknowledged and lost: " + describeWrite(write));
            }
            continue;
        }
        if (write.notRun_) {
            violate("reported as not run, but ran: " + describeWrite(write));
        }
        if (write.done_ && found->second->point_ > write.point_) {
            violate("its answer's token says " + toString(write.point_) + " and it is at " + toString(found->second->point_) + ": " + describeWrite(write));
        }
        std::vector<std::string> bodies;
        for (const Standin::Operation &operation : found->second->operations_) {
            bodies.push_back("append " + operation.key_ + " " + operation.argument_);
        }
        if (bodies != write.bodies_) {
            violate("ran with other statements than requested: " + describeWrite(write));
        }
    }
}

void Oracle::violate(std::string what)
{
    violations_.push_back(std::move(what));
}

const std::vector<std::string> &Oracle::violations() const
{
    return violations_;
}

void Oracle::checkAnswerBelongs(const RequestedWrite &write, const Answer &answer)
{
    const bool transaction = answer.body_ == "committed";
    const bool belongs = transaction || absl::EndsWith(answer.body_, tagOf(write.bodies_.back()));
    if (!belongs) {
        violate("the answer \"" + answer.body_ + "\" is not that of " + describeWrite(write));
    }
}

} // namespace Figward::Testing
