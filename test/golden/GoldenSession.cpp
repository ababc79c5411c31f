#include "golden/GoldenSession.h"

#include "support/Trace.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace Figward::Testing {

namespace {

constexpr Duration settleTime = std::chrono::seconds(3);
constexpr Duration requestTimeout = std::chrono::seconds(2);
const SessionId session{100, 1};

std::string pathOf(const std::string &name)
{
    return std::string(FIGWARD_GOLDEN_DIR) + "/" + name + ".txt";
}

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string describeEntry(const Standin::LogEntry &entry)
{
    const auto text = [](std::string *out, const Standin::Operation &operation) { absl::StrAppend(out, operation.key_, "=", operation.argument_); };
    const std::string content = entry.tombstone_ ? "tombstone" : entry.operations_.empty() ? "opening" : absl::StrJoin(entry.operations_, ",", text);
    const std::string key = entry.key_ ? absl::StrCat(" key ", entry.key_->sequence_.value()) : "";
    return absl::StrCat(toString(entry.point_), " ", content, key);
}

} // namespace

GoldenSession::GoldenSession(WorldConfig config)
    : world_(std::move(config))
{
    world_.run(settleTime);
    world_.setTrace(&lines_);
}

void GoldenSession::traceStep(const std::string &line)
{
    world_.note("-- " + line);
}

Answer GoldenSession::ask(ProxyIndex proxy, Request request)
{
    const std::optional<Answer> answer = world_.askAndWait(proxy, std::move(request));
    EXPECT_TRUE(answer.has_value());
    if (!answer) {
        return unknown(ErrorKind::NoOwner);
    }
    merge(token_, answer->token_);
    return *answer;
}

void GoldenSession::askWithoutWaiting(ProxyIndex proxy, Request request)
{
    world_.ask(proxy, std::move(request), [this](const std::optional<Answer> &answer) {
        if (answer) {
            answers_.push_back(*answer);
            merge(token_, answer->token_);
        }
    });
}

const std::vector<Answer> &GoldenSession::answers() const
{
    return answers_;
}

void GoldenSession::run(Duration duration)
{
    world_.run(duration);
}

World &GoldenSession::world()
{
    return world_;
}

Request GoldenSession::read(const std::string &body)
{
    Request request;
    request.service_ = ServiceId("ledger");
    request.group_ = World::groupId(0);
    request.body_ = body;
    request.timeout_ = requestTimeout;
    request.class_ = ClassId("dispatch");
    request.token_ = token_;
    return request;
}

Request GoldenSession::write(const std::string &body)
{
    Request request = read(body);
    request.kind_ = RequestKind::Write;
    sequence_ = Sequence(sequence_.value() + 1);
    request.key_ = IdempotencyKey{session, sequence_};
    return request;
}

Request GoldenSession::step(RequestKind kind, TransactionId transaction, const std::string &body)
{
    Request request = kind == RequestKind::Commit ? write(body) : read(body);
    request.kind_ = kind;
    request.transaction_ = transaction;
    return request;
}

void GoldenSession::traceLogs()
{
    const Standin::GroupModel &group = world_.group(0);
    for (Standin::MemberIndex member = 0; member < group.size(); ++member) {
        const auto text = [](std::string *out, const Standin::LogEntry &entry) { absl::StrAppend(out, describeEntry(entry)); };
        traceStep(absl::StrCat("log of m", member, ": ", absl::StrJoin(group.log(member).entries(), "; ", text)));
    }
}

void GoldenSession::compare(const std::string &name) const
{
    const std::string text = absl::StrJoin(lines_, "\n") + "\n";
    if (std::getenv("FIGWARD_REMAKE_GOLDEN") != nullptr) {
        std::ofstream(pathOf(name)) << text;
        return;
    }
    EXPECT_EQ(readFile(pathOf(name)), text) << "if the change is intended, regenerate the file as described in GoldenSession.h and review its diff";
}

} // namespace Figward::Testing
