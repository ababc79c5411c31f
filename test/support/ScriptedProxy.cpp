#include "ScriptedProxy.h"

#include <gtest/gtest.h>

namespace Figward::Testing {

namespace {

const VmInfo self{VmId(1), ZoneId("z1"), "127.0.0.1:1", false};

MemberStatus freshStatus(bool primary)
{
    const LogPoint start{Term(1), Position(1)};
    return {.log_ = start, .fenced_ = Term(1), .primary_ = primary, .termStarts_ = {start}};
}

} // namespace

Configuration smallConfiguration()
{
    Configuration configuration;
    configuration.version_ = ConfigVersion(1);
    configuration.services_[ServiceId("s")] = {ServiceId("s"), {}, {{ClassId("urgent"), 0}, {ClassId("normal"), 1}}, {GroupId("g")}};
    GroupConfig group{GroupId("g"), ServiceId("s"), {}, ConnectionCount(35), SlotCount(5)};
    group.members_ = {{MemberId("a"), ZoneId("z1"), "a:1", false}, {MemberId("b"), ZoneId("z2"), "b:1", false}, {MemberId("c"), ZoneId("z3"), "c:1", false}};
    configuration.groups_[GroupId("g")] = group;
    return configuration;
}

ScriptedProxy::ScriptedProxy(std::vector<VmInfo> others, bool owns)
    : state_(makeProxyState({self, {}}, 7))
    , now_(std::chrono::seconds(100))
    , vms_(std::move(others))
{
    VmInfo listed = self;
    listed.leaving_ = !owns;
    vms_.insert(vms_.begin(), listed);
    for (const char *member : {"a", "b", "c"}) {
        reports_[MemberId(member)] = freshStatus(std::string(member) == "a");
    }
    feed(Started{});
    Effects out;
    activateConfiguration(state_, smallConfiguration(), now_, out);
    for (const Effect &effect : out) {
        perform(effect);
    }
    pass(std::chrono::milliseconds(200));
}

void ScriptedProxy::feed(EventBody body)
{
    pending_.push_back(std::move(body));
    if (feeding_) {
        return;
    }
    feeding_ = true;
    while (!pending_.empty()) {
        const Event event{now_, std::move(pending_.front())};
        pending_.pop_front();
        for (const Effect &effect : reduce(state_, event)) {
            perform(effect);
        }
    }
    feeding_ = false;
}

void ScriptedProxy::pass(Duration span)
{
    const Time end = now_ + span;
    while (wakeUp_ && *wakeUp_ <= end) {
        now_ = std::max(now_, *wakeUp_);
        wakeUp_.reset();
        feed(WakeUp{});
    }
    now_ = end;
}

RequestId ScriptedProxy::ask(Request request)
{
    const RequestId id(nextRequest_++);
    feed(CallerAsked{id, std::move(request)});
    return id;
}

std::vector<Answer> ScriptedProxy::answersTo(RequestId id) const
{
    std::vector<Answer> answers;
    for (const Effect &effect : effects_) {
        const auto *answer = std::get_if<AnswerCaller>(&effect);
        if (answer != nullptr && answer->id_ == id) {
            answers.push_back(answer->answer_);
        }
    }
    return answers;
}

std::vector<SendStatement> ScriptedProxy::takeStatements()
{
    return std::exchange(statements_, {});
}

SendStatement ScriptedProxy::takeStatement()
{
    const std::vector<SendStatement> taken = takeStatements();
    EXPECT_EQ(taken.size(), 1U);
    return taken.empty() ? SendStatement{} : taken.front();
}

std::vector<PeerMessage> ScriptedProxy::takeForwards()
{
    return std::exchange(forwards_, {});
}

PeerMessage ScriptedProxy::takeForward()
{
    const std::vector<PeerMessage> taken = takeForwards();
    EXPECT_EQ(taken.size(), 1U);
    return taken.empty() ? PeerMessage{} : taken.front();
}

void ScriptedProxy::answerForward(const PeerMessage &forward, Answer answer)
{
    const RequestId id = std::get<ForwardRequest>(forward.body_).id_;
    feed(PeerReceived{{forward.to_, self.id_, {}, state_.configuration_.version_, ForwardAnswer{id, std::move(answer)}}});
}

void ScriptedProxy::answer(const SendStatement &sent, UpstreamResult result, LogPoint point, std::string body)
{
    UpstreamAnswer answer{.id_ = sent.statement_.id_, .result_ = result, .body_ = std::move(body), .point_ = point};
    answer.status_ = reports_.at(memberOf(sent.connection_));
    feed(UpstreamAnswered{sent.connection_, std::move(answer)});
}

MemberId ScriptedProxy::memberOf(ConnectionId connection) const
{
    return connections_.at(connection);
}

bool ScriptedProxy::isClosed(ConnectionId connection) const
{
    return closed_.contains(connection);
}

void ScriptedProxy::setPosition(const std::string &member, std::uint64_t position)
{
    reports_.at(MemberId(member)).log_.position_ = Position(position);
}

Request ScriptedProxy::write(std::uint64_t sequence, const std::string &body)
{
    Request request = read(body);
    request.kind_ = RequestKind::Write;
    request.key_ = IdempotencyKey{{1, 1}, Sequence(sequence)};
    return request;
}

Request ScriptedProxy::read(const std::string &body)
{
    Request request;
    request.service_ = ServiceId("s");
    request.group_ = GroupId("g");
    request.body_ = body;
    request.timeout_ = std::chrono::seconds(1);
    return request;
}

void ScriptedProxy::perform(const Effect &effect)
{
    effects_.push_back(effect);
    if (const auto *open = std::get_if<OpenConnection>(&effect)) {
        connections_[open->connection_] = open->member_;
        const bool reachable = reports_.contains(open->member_);
        feed(reachable ? EventBody(ConnectionOpened{open->connection_}) : EventBody(ConnectionLost{open->connection_, ConnectionEnd::Unreachable}));
    } else if (const auto *close = std::get_if<CloseConnection>(&effect)) {
        closed_.insert(close->connection_);
    } else if (const auto *statement = std::get_if<SendStatement>(&effect)) {
        statements_.push_back(*statement);
    } else if (const auto *peer = std::get_if<SendPeer>(&effect)) {
        if (std::holds_alternative<ForwardRequest>(peer->message_.body_)) {
            forwards_.push_back(peer->message_);
        }
    } else if (const auto *control = std::get_if<SendControl>(&effect)) {
        answerControl(*control);
    } else if (const auto *call = std::get_if<CallPlatform>(&effect)) {
        answerPlatform(*call);
    } else if (const auto *wakeUp = std::get_if<ArmWakeUp>(&effect)) {
        wakeUp_ = wakeUp->at_;
    }
}

void ScriptedProxy::answerControl(const SendControl &control)
{
    const auto report = reports_.find(control.member_);
    const bool probe = std::holds_alternative<Probe>(control.call_.body_);
    if (report == reports_.end() || !probe) {
        feed(ControlAnswered{{control.call_.id_, ControlResult::Failed, {}}});
        return;
    }
    feed(ControlAnswered{{control.call_.id_, ControlResult::Ok, report->second}});
}

void ScriptedProxy::answerPlatform(const CallPlatform &call)
{
    PlatformAnswer answer{.id_ = call.call_.id_, .status_ = PlatformStatus::Unavailable};
    if (std::holds_alternative<ListVms>(call.call_.body_)) {
        answer.status_ = PlatformStatus::Ok;
        answer.vms_ = vms_;
    }
    feed(PlatformAnswered{std::move(answer)});
}

} // namespace Figward::Testing
