#include "support/SessionWorld.h"

#include "Overloaded.h"
#include "Reducer.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace Figward::Testing {

namespace {

const ServiceId service("ledger-group");
constexpr Duration openTime = std::chrono::milliseconds(12);
constexpr Duration storeTime = std::chrono::milliseconds(4);

DatabaseRoute route(Consistency consistency, Duration timeout, Duration staleness, unsigned priority)
{
    DatabaseRoute route;
    route.service_ = service;
    route.consistency_ = consistency;
    route.statementTimeout_ = timeout;
    route.maxStaleness_ = staleness;
    route.priority_ = priority;
    return route;
}

SessionConfiguration firstConfiguration(const SessionWorldConfig &config)
{
    SessionConfiguration configuration;
    configuration.version_ = ConfigVersion(3);
    configuration.transactionIdle_ = std::chrono::seconds(3);
    configuration.databases_["ledger"] = route(Consistency::Primary, std::chrono::seconds(1), {}, 1);
    configuration.databases_["history"] = route(Consistency::BoundedStaleness, std::chrono::seconds(3), std::chrono::milliseconds(1500), 2);
    configuration.databases_["dispatch"] = route(Consistency::ReadYourWrites, std::chrono::seconds(1), std::chrono::milliseconds(2500), 2);
    configuration.services_[service] = ServiceLimits{config.maxConnections_, config.syncReplicas_};
    return configuration;
}

std::vector<MemberId> memberIds(unsigned count)
{
    std::vector<MemberId> ids;
    for (unsigned member = 0; member < count; ++member) {
        ids.push_back(SessionWorld::memberId(member));
    }
    return ids;
}

std::string zoneName(unsigned number)
{
    constexpr unsigned zones = 3;
    return absl::StrCat("zone-", number % zones);
}

} // namespace

MemberId SessionWorld::memberId(unsigned member)
{
    return MemberId(absl::StrCat("member-", member));
}

SessionWorld::SessionWorld(const SessionWorldConfig &config)
    : config_(config)
    , random_(config.seed_)
    , group_(memberIds(config.members_))
{
    store_.configuration_ = firstConfiguration(config);
    for (unsigned member = 0; member < config.members_; ++member) {
        store_.members_.push_back(DirectoryEntry{memberId(member), service, absl::StrCat(member), ZoneId(zoneName(member)), false, member == 0, 1});
    }
    vms_.resize(config.vms_);
    for (unsigned vm = 0; vm < config.vms_; ++vm) {
        vms_[vm].name_ = absl::StrCat("vm-", vm);
        vms_[vm].address_ = absl::StrCat(vm);
        vms_[vm].zone_ = ZoneId(zoneName(vm));
        startVm(vm);
    }
}

void SessionWorld::schedule(Time at, std::function<void()> step)
{
    queue_.push(Scheduled{std::max(at, now_), order_++, std::move(step)});
}

void SessionWorld::after(Duration delay, std::function<void()> step)
{
    schedule(now_ + delay, std::move(step));
}

Time SessionWorld::now() const
{
    return now_;
}

void SessionWorld::run(Duration duration)
{
    const Time end = now_ + duration;
    while (!queue_.empty() && queue_.top().at_ <= end) {
        const Scheduled next = queue_.top();
        queue_.pop();
        now_ = next.at_;
        next.step_();
    }
    now_ = end;
}

void SessionWorld::startVm(unsigned vm)
{
    Vm &place = vms_[vm];
    place.incarnation_ = random_() >> 1U;
    place.state_ = makeProxyState({}, random_());
    place.state_->sessions_.emplace();
    place.state_->sessions_->identity_.vm_ = EntryVm{place.name_, VmId(place.incarnation_), place.address_, place.zone_};
    place.state_->sessions_->identity_.drainTime_ = std::chrono::seconds(6);
    place.connections_.clear();
    place.held_.clear();
    place.frozen_ = false;
    const std::uint64_t incarnation = place.incarnation_;
    schedule(now_ + Duration(random_() % 100000), [this, vm, incarnation] { give(vm, incarnation, Started{}); });
}

void SessionWorld::killVm(unsigned vm)
{
    Vm &place = vms_[vm];
    for (const auto &[connection, member] : place.connections_) {
        group_.disconnect(worldConnection(vm, connection));
    }
    place.state_.reset();
    place.ready_ = false;
    for (WorldClient &client : clients_) {
        client.closed_ = client.closed_ || client.vm_ == vm;
    }
}

void SessionWorld::freezeVm(unsigned vm, bool frozen)
{
    vms_[vm].frozen_ = frozen;
    if (frozen) {
        return;
    }
    for (EventBody &body : std::exchange(vms_[vm].held_, {})) {
        give(vm, std::move(body));
    }
}

void SessionWorld::drainVm(unsigned vm)
{
    give(vm, DrainAsked{});
}

void SessionWorld::give(unsigned vm, std::uint64_t incarnation, EventBody body)
{
    if (vms_[vm].state_ && vms_[vm].incarnation_ == incarnation) {
        give(vm, std::move(body));
    }
}

void SessionWorld::give(unsigned vm, EventBody body)
{
    Vm &place = vms_[vm];
    if (!place.state_) {
        return;
    }
    if (place.frozen_) {
        place.held_.push_back(std::move(body));
        return;
    }
    const Effects effects = reduce(*place.state_, Event{now_, std::move(body)});
    for (const Effect &effect : effects) {
        perform(vm, effect);
    }
}

void SessionWorld::perform(unsigned vm, const Effect &effect)
{
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    const Overloaded handle{
        [&](const OpenConnection &body) { openConnection(vm, body); },
        [&](const CloseConnection &body) {
            group_.disconnect(worldConnection(vm, body.connection_));
            vms_[vm].connections_.erase(body.connection_);
        },
        [&](const ArmWakeUp &body) {
            const std::uint64_t number = ++vms_[vm].wakeUp_;
            schedule(body.at_, [this, vm, number, incarnation] {
                if (vms_[vm].wakeUp_ == number) {
                    give(vm, incarnation, WakeUp{});
                }
            });
        },
        [&](const WriteLog &body) {
            std::string text = absl::StrCat(toMillis(now_.time_since_epoch()), " vm-", vm, ":");
            for (const LogField &field : body.fields_) {
                absl::StrAppend(&text, " ", field.key_, "=", field.value_);
            }
            story_.push_back(absl::StrCat(std::string(logEventInfo(body.number_).name_), " ", text));
            log_.emplace_back(body.number_, text);
        },
        [&](const ExitProcess &) { killVm(vm); },
        [&](const SessionEffect &body) { perform(vm, body); },
        [](const auto &) {}, // Of figward's own protocol.
    };
    std::visit(handle, effect);
}

void SessionWorld::perform(unsigned vm, const SessionEffect &effect)
{
    const Overloaded handle{
        [&](const AcceptSession &body) {
            if (WorldClient *client = findClient(vm, body.session_)) {
                client->open_ = true;
            }
        },
        [&](const RefuseSession &body) {
            if (WorldClient *client = findClient(vm, body.session_)) {
                client->refused_ = true;
                client->closed_ = true;
            }
        },
        [&](const AnswerSession &body) { takeAnswer(vm, body); },
        [&](const CloseSession &body) {
            if (WorldClient *client = findClient(vm, body.session_)) {
                client->closed_ = true;
            }
        },
        [&](const SendToMember &body) { sendToMember(vm, body); },
        [&](const SendHeartbeat &body) { sendHeartbeat(vm, body); },
        [&](const CallStore &body) { body.call_.peer_.empty() ? callStore(vm, body.call_) : callMirror(vm, body.call_); },
        [&](const CallPromotion &body) { callPromotion(vm, body); },
        [&](const SetReady &body) { vms_[vm].ready_ = body.ready_; },
        [](const StatementEnded & /*body*/) {},
    };
    std::visit(handle, effect);
}

ConnectionId SessionWorld::worldConnection(unsigned vm, ConnectionId connection) const
{
    constexpr std::uint64_t perVm = std::uint64_t{1} << 32U;
    // An incarnation starts counting anew; its connections must not be taken for those of the one before.
    return ConnectionId((vms_[vm].incarnation_ % perVm) * perVm + connection.value());
}

void SessionWorld::openConnection(unsigned vm, const OpenConnection &effect)
{
    unsigned member = 0;
    while (memberId(member) != effect.member_) {
        ++member;
    }
    vms_[vm].connections_[effect.connection_] = member;
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    if (vmMemberCuts_.contains({vm, member})) {
        return; // Packets are lost; the proxy's own time-out ends it.
    }
    schedule(now_ + openTime + 2 * config_.networkDelay_, [this, vm, member, incarnation, effect] {
        if (vms_[vm].incarnation_ != incarnation || !vms_[vm].connections_.contains(effect.connection_)) {
            return;
        }
        if (!group_.member(effect.member_).up_) {
            vms_[vm].connections_.erase(effect.connection_);
            give(vm, incarnation, ConnectionLost{effect.connection_, ConnectionEnd::Unreachable});
            return;
        }
        if (vmMemberCuts_.contains({vm, member})) {
            return;
        }
        group_.connect(worldConnection(vm, effect.connection_), effect.member_);
        give(vm, incarnation, ConnectionOpened{effect.connection_});
    });
}

void SessionWorld::sendToMember(unsigned vm, const SendToMember &effect)
{
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    const bool works =
        effect.request_.verb_ == MemberVerb::Forward || effect.request_.verb_ == MemberVerb::Execute || effect.request_.verb_ == MemberVerb::Commit;
    const Duration work = works ? config_.workTime_ : Duration(0);
    schedule(now_ + config_.networkDelay_ + work, [this, vm, incarnation, effect] { runAtMember(vm, incarnation, effect); });
}

void SessionWorld::runAtMember(unsigned vm, std::uint64_t incarnation, const SendToMember &effect)
{
    if (vms_[vm].incarnation_ != incarnation || !vms_[vm].connections_.contains(effect.connection_)) {
        return;
    }
    const unsigned member = vms_[vm].connections_.at(effect.connection_);
    if (vmMemberCuts_.contains({vm, member})) {
        return;
    }
    if (effect.request_.verb_ == MemberVerb::Forward) {
        lastRuns_[member] = now_;
    }
    std::optional<Standin::LineAnswer> answer = group_.run(worldConnection(vm, effect.connection_), effect.request_, now_);
    if (!answer) {
        return;
    }
    schedule(now_ + config_.networkDelay_, [this, vm, incarnation, member, effect, answer] {
        if (!vmMemberCuts_.contains({vm, member})) {
            give(vm, incarnation, SessionEvent(MemberReplyArrived{effect.connection_, answer->reply_, answer->report_}));
        }
    });
}

void SessionWorld::crashMember(unsigned member)
{
    group_.crash(memberId(member));
    for (unsigned vm = 0; vm < vms_.size(); ++vm) {
        std::vector<ConnectionId> lost;
        for (const auto &[connection, other] : vms_[vm].connections_) {
            if (other == member) {
                lost.push_back(connection);
            }
        }
        for (const ConnectionId connection : lost) {
            vms_[vm].connections_.erase(connection);
            schedule(now_ + config_.networkDelay_, [this, vm, connection, incarnation = vms_[vm].incarnation_] {
                give(vm, incarnation, ConnectionLost{connection, ConnectionEnd::Closed});
            });
        }
    }
}

void SessionWorld::restartMember(unsigned member)
{
    group_.restart(memberId(member));
}

void SessionWorld::memberLeaves(unsigned member)
{
    store_.members_[member].leaving_ = true;
    ++store_.revision_;
}

void SessionWorld::garbleEntry(const std::string &name, bool garbled)
{
    if (garbled) {
        store_.garbled_.insert(name);
    } else {
        store_.garbled_.erase(name);
    }
    ++store_.revision_;
}

void SessionWorld::newConfiguration(const std::function<void(SessionConfiguration &)> &change)
{
    change(store_.configuration_);
    store_.configuration_.version_ = ConfigVersion(store_.configuration_.version_.value() + 2);
    store_.configurationRevision_ = ++store_.revision_;
}

void SessionWorld::freezeStaleReads(bool frozen)
{
    stale_ = frozen ? std::optional(store_) : std::nullopt;
}

void SessionWorld::callStore(unsigned vm, const StoreCall &call)
{
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    const bool lost = storeDown_ || storeCuts_.contains(vm);
    const bool isWrite = std::holds_alternative<WriteClaim>(call.request_) || std::holds_alternative<RegisterVm>(call.request_);
    if (const auto *watch = std::get_if<WatchConfiguration>(&call.request_)) {
        // Answers as soon as there is a change, or at the end of the wait.
        const auto poll = std::make_shared<std::function<void()>>();
        const Time end = now_ + watch->wait_;
        *poll = [this, vm, incarnation, call, since = watch->sinceRevision_, end, poll] {
            const bool changed = store_.configurationRevision_ > since && !stale_ && !storeDown_ && !storeCuts_.contains(vm);
            if (!changed && now_ < end && vms_[vm].incarnation_ == incarnation) {
                schedule(now_ + std::chrono::milliseconds(5), *poll);
                return;
            }
            StoreAnswered answer{call.id_, StoreResult::Done, ConfigurationRead{store_.revision_, std::nullopt}};
            if (changed) {
                answer.content_ = ConfigurationRead{store_.revision_, store_.configuration_};
            }
            give(vm, incarnation, SessionEvent(answer));
            schedule(now_, [poll] { *poll = nullptr; });
        };
        schedule(now_ + storeTime, *poll);
        return;
    }
    schedule(now_ + storeTime, [this, vm, incarnation, call, lost, isWrite] {
        const bool cut = lost || storeDown_ || storeCuts_.contains(vm);
        if (cut || (isWrite && storeLosesAnswers_)) {
            if (!cut) {
                execute(call);
            }
            schedule(now_ + call.timeout_, [this, vm, incarnation, call] {
                give(vm, incarnation, SessionEvent(StoreAnswered{call.id_, StoreResult::Unknown, {}}));
            });
            return;
        }
        StoreAnswered answer = execute(call);
        schedule(now_ + config_.networkDelay_, [this, vm, incarnation, answer = std::move(answer)] { give(vm, incarnation, SessionEvent(answer)); });
    });
}

void SessionWorld::callMirror(unsigned vm, const StoreCall &call)
{
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    const unsigned peer = static_cast<unsigned>(std::stoul(call.peer_));
    schedule(now_ + 2 * config_.networkDelay_, [this, vm, incarnation, peer, call] {
        const bool reached = !vmCuts_.contains(std::minmax(vm, peer)) && vms_[peer].state_ && !vms_[peer].frozen_;
        const bool asksConfiguration = std::holds_alternative<ReadConfiguration>(call.request_);
        if (!reached || !asksConfiguration || !vms_[peer].state_->sessions_->configuration_) {
            give(vm, incarnation, SessionEvent(StoreAnswered{call.id_, StoreResult::Unknown, {}}));
            return;
        }
        give(vm, incarnation, SessionEvent(StoreAnswered{call.id_, StoreResult::Done, ConfigurationRead{1, vms_[peer].state_->sessions_->configuration_}}));
    });
}

StoreAnswered SessionWorld::execute(const StoreCall &call)
{
    Store &store = stale_ && call.freshness_ == Freshness::MayBeStale ? *stale_ : store_;
    StoreAnswered answer{call.id_, StoreResult::Done, {}};
    const Overloaded handle{
        [&](const ReadConfiguration &) {
            answer.content_ = ConfigurationRead{store.configurationRevision_, store.configuration_};
        },
        [&](const WatchConfiguration &) {},
        [&](const ReadMembers &) {
            answer.content_ = MemberDirectory{++store.revision_, store.members_, store.garbled_};
        },
        [&](const ReadVms &) {
            std::vector<EntryVm> vms;
            for (const auto &[name, vm] : store.vms_) {
                vms.push_back(vm);
            }
            answer.content_ = std::move(vms);
        },
        [&](const ReadClaims &) {
            std::vector<LeaderClaim> claims;
            for (const auto &[group, claim] : store.claims_) {
                claims.push_back(claim);
            }
            answer.content_ = std::move(claims);
        },
        [&](const RegisterVm &body) { store.vms_[body.vm_.name_] = body.vm_; },
        [&](const RemoveVm &body) { store.vms_.erase(body.name_); },
        [&](const WriteClaim &body) { answer = executeWrite(call.id_, body); },
    };
    std::visit(handle, call.request_);
    return answer;
}

StoreAnswered SessionWorld::executeWrite(CallId id, const WriteClaim &write)
{
    const auto stands = store_.claims_.find(write.claim_.group_);
    const std::uint64_t revision = stands == store_.claims_.end() ? 0 : stands->second.revision_;
    if (revision != write.claim_.revision_) {
        std::vector<LeaderClaim> present;
        if (stands != store_.claims_.end()) {
            present.push_back(stands->second);
        }
        return StoreAnswered{id, present.empty() ? StoreResult::NotFound : StoreResult::Conflict, present};
    }
    LeaderClaim claim = write.claim_;
    claim.revision_ = ++store_.revision_;
    store_.claims_[claim.group_] = claim;
    return StoreAnswered{id, StoreResult::Done, std::vector<LeaderClaim>{claim}};
}

void SessionWorld::sendHeartbeat(unsigned vm, const SendHeartbeat &effect)
{
    const unsigned to = static_cast<unsigned>(std::stoul(effect.address_));
    schedule(now_ + config_.networkDelay_, [this, vm, to, effect] {
        if (!vmCuts_.contains(std::minmax(vm, to))) {
            give(to, SessionEvent(HeartbeatReceived{effect.heartbeat_}));
        }
    });
}

void SessionWorld::callPromotion(unsigned vm, const CallPromotion &effect)
{
    const std::uint64_t incarnation = vms_[vm].incarnation_;
    if (promotionsDown_) {
        schedule(now_ + effect.timeout_, [this, vm, incarnation, effect] {
            give(vm, incarnation, SessionEvent(PromotionAnswered{effect.group_, effect.member_, 0}));
        });
        return;
    }
    const std::string &holder = holders_.try_emplace(effect.generation_, vms_[vm].name_).first->second;
    if (holder != vms_[vm].name_) {
        violate(absl::StrCat("two VMs promote with generation ", effect.generation_));
    }
    if (effect.generation_ < highestGeneration_) {
        violate(absl::StrCat("a promotion with generation ", effect.generation_, " after ", highestGeneration_));
    }
    highestGeneration_ = std::max(highestGeneration_, effect.generation_);
    const bool running = group_.member(effect.member_).up_;
    constexpr unsigned accepted = 200;
    constexpr unsigned notRunning = 409;
    schedule(now_ + 2 * config_.networkDelay_, [this, vm, incarnation, effect, running] {
        give(vm, incarnation, SessionEvent(PromotionAnswered{effect.group_, effect.member_, running ? accepted : notRunning}));
    });
    note(absl::StrCat("promotion of ", effect.member_.value(), " asked by ", vm));
    if (running) {
        schedule(now_ + config_.promotionTime_, [this, effect] {
            note(absl::StrCat(effect.member_.value(), " leads"));
            promotions_ += group_.promote(effect.member_, now_) ? 1 : 0;
        });
    }
}

std::size_t SessionWorld::open(unsigned vm, const std::string &database)
{
    WorldClient client;
    client.vm_ = vm;
    client.key_ = SessionKey(clients_.size() + 1);
    client.database_ = database;
    clients_.push_back(client);
    give(vm, SessionEvent(SessionOpened{client.key_, database}));
    return clients_.size() - 1;
}

std::string SessionWorld::send(std::size_t client, StatementKind kind, const std::string &text)
{
    ClientStatement statement;
    statement.id_ = absl::StrCat("s", nextStatement_++);
    statement.kind_ = kind;
    statement.text_ = text;
    send(client, statement);
    return statement.id_;
}

void SessionWorld::send(std::size_t number, const ClientStatement &statement)
{
    WorldClient &client = clients_[number];
    const ReadNeed need{client.lastCommit_, now_};
    if (statement.kind_ == StatementKind::Begin || statement.kind_ == StatementKind::BeginRead) {
        transactionWrites_.erase(number);
        transactionNeeds_[number] = need;
    }
    const auto transaction = transactionNeeds_.find(number);
    needs_[statement.id_] = transaction == transactionNeeds_.end() ? need : transaction->second;
    if (statement.kind_ == StatementKind::Commit || statement.kind_ == StatementKind::Rollback) {
        transactionNeeds_.erase(number);
    }
    const bool inTransaction = transactionNeeds_.contains(number);
    if (inTransaction && statement.kind_ == StatementKind::Write) {
        transactionWrites_[number] = statement.id_;
    }
    client.sent_.insert(statement.id_);
    client.unanswered_.push_back(statement.id_);
    give(client.vm_, SessionEvent(StatementArrived{client.key_, statement}));
}

void SessionWorld::close(std::size_t client)
{
    clients_[client].closed_ = true;
    give(clients_[client].vm_, SessionEvent(SessionClosed{clients_[client].key_}));
}

const SessionReply *SessionWorld::answerTo(std::size_t client, const std::string &id) const
{
    const std::vector<ClientAnswer> &answers = clients_[client].answers_;
    const auto found = std::ranges::find(answers.rbegin(), answers.rend(), id, &ClientAnswer::id_);
    return found == answers.rend() ? nullptr : &found->reply_;
}

SessionReply SessionWorld::ask(std::size_t client, StatementKind kind, const std::string &text, Duration limit)
{
    const std::string id = send(client, kind, text);
    const Time end = now_ + limit;
    while (answerTo(client, id) == nullptr && now_ < end) {
        run(std::chrono::milliseconds(1));
    }
    const SessionReply *reply = answerTo(client, id);
    SessionReply none;
    none.code_ = ReplyCode::Other;
    none.text_ = "no answer";
    return reply == nullptr ? none : *reply;
}

const WorldClient &SessionWorld::client(std::size_t client) const
{
    return clients_[client];
}

WorldClient *SessionWorld::findClient(unsigned vm, SessionKey key)
{
    const auto found = std::ranges::find_if(clients_, [&](const WorldClient &client) { return client.vm_ == vm && client.key_ == key && !client.closed_; });
    return found == clients_.end() ? nullptr : &*found;
}

void SessionWorld::takeAnswer(unsigned vm, const AnswerSession &effect)
{
    WorldClient *client = findClient(vm, effect.session_);
    if (client == nullptr) {
        return;
    }
    if (client->unanswered_.empty()) {
        violate("an answer to nothing");
        return;
    }
    const std::string id = client->unanswered_.front();
    client->unanswered_.pop_front();
    const ClientAnswer answer{id, effect.reply_, now_};
    client->answers_.push_back(answer);
    const bool done = effect.reply_.code_ == ReplyCode::None;
    if (done && effect.reply_.receipt_ != "-" && effect.reply_.receipt_ != absl::StrCat("receipt-", id)) {
        violate(absl::StrCat("statement ", id, " was answered with ", effect.reply_.receipt_));
    }
    if (done && !effect.reply_.rows_.empty()) {
        checkRead(*client, answer);
    }
    if (promisesNotRun(effect.reply_.code_) || effect.reply_.code_ == ReplyCode::Aborted) {
        promisedNotRun_.insert(id);
    }
    if (!done) {
        return;
    }
    noteAcknowledged(*client, answer);
}

void SessionWorld::noteAcknowledged(WorldClient &client, const ClientAnswer &answer)
{
    // Of a transaction, the log holds the writes and not the commit: its last one stands for all.
    std::string write = answer.id_;
    if (const auto writes = transactionWrites_.find(&client - clients_.data()); writes != transactionWrites_.end()) {
        const bool committed = answer.reply_.state_ == TransactionState::None;
        write = committed ? writes->second : std::string();
        if (committed) {
            transactionWrites_.erase(writes);
        }
    }
    const Standin::LineMember &leader = group_.leader();
    for (const auto &[member, state] : group_.members()) {
        // An answer comes soon after its commit: only the end of the log can hold it.
        constexpr std::size_t searched = 300;
        const std::size_t first = state.log_.size() > searched ? state.log_.size() - searched : 0;
        for (std::size_t entry = first; entry < state.log_.size(); ++entry) {
            const Standin::LineCommit &commit = state.log_[entry];
            if (std::ranges::find(commit.statements_, write) == commit.statements_.end()) {
                continue;
            }
            if (state.primary_ && state.term_ < leader.term_ && !Standin::holds(leader.log_, commit.point_)) {
                violate(absl::StrCat("write ", write, " was acknowledged by the replaced primary ", member.value()));
            }
            acknowledged_.push_back(Acknowledged{write, commit.point_, now_});
            client.lastCommit_ = commit.point_;
        }
    }
}

void SessionWorld::checkRead(const WorldClient &client, const ClientAnswer &answer)
{
    const std::vector<std::string> words = absl::StrSplit(answer.reply_.rows_.front(), ' ');
    const Position seen(std::stoull(words.front()));
    const Standin::LineMember &leader = group_.leader();
    const ReadNeed &need = needs_.at(answer.id_);
    for (const Acknowledged &commit : acknowledged_) {
        if (commit.point_.position_ <= seen) {
            continue;
        }
        const bool before = commit.at_ <= need.sent_;
        const Duration age = need.sent_ - commit.at_;
        const bool own = client.lastCommit_ && need.own_ && commit.point_ <= *need.own_ && client.sent_.contains(commit.id_);
        const DatabaseRoute &route = store_.configuration_.databases_.at(client.database_);
        const bool counts = route.consistency_ == Consistency::Primary || own || age > route.maxStaleness_;
        const bool rolledBack = !Standin::holds(leader.log_, commit.point_);
        if (before && counts && !rolledBack) {
            violate(absl::StrCat("read ",
                                 answer.id_,
                                 " of ",
                                 client.database_,
                                 " at ",
                                 answer.reply_.rows_.front(),
                                 " lacks ",
                                 commit.id_,
                                 " at ",
                                 commit.point_.position_.value()));
            return;
        }
    }
}

void SessionWorld::checkLogs()
{
    std::map<std::string, unsigned> runs;
    for (const Standin::LineCommit &commit : group_.leader().log_) {
        for (const std::string &statement : commit.statements_) {
            if (++runs[statement] > 1) {
                violate(absl::StrCat("write ", statement, " ran twice"));
            }
            if (promisedNotRun_.contains(statement)) {
                violate(absl::StrCat("write ", statement, " ran, though its client was told that it had not"));
            }
        }
    }
}

void SessionWorld::violate(const std::string &what)
{
    note(what);
    violations_.push_back(absl::StrCat("at ", toMillis(now_.time_since_epoch()), " ms: ", what));
}

void SessionWorld::cutVmFromMember(unsigned vm, unsigned member, bool cut)
{
    cut ? (void)vmMemberCuts_.insert({vm, member}) : (void)vmMemberCuts_.erase({vm, member});
}

void SessionWorld::cutVms(unsigned a, unsigned b, bool cut)
{
    cut ? (void)vmCuts_.insert(std::minmax(a, b)) : (void)vmCuts_.erase(std::minmax(a, b));
}

void SessionWorld::cutVmFromStore(unsigned vm, bool cut)
{
    cut ? (void)storeCuts_.insert(vm) : (void)storeCuts_.erase(vm);
}

void SessionWorld::storeDown(bool down)
{
    storeDown_ = down;
}

void SessionWorld::storeLosesAnswers(bool loses)
{
    storeLosesAnswers_ = loses;
}

void SessionWorld::promotionsDown(bool down)
{
    promotionsDown_ = down;
}

ProxyState &SessionWorld::vm(unsigned vm)
{
    return *vms_[vm].state_;
}

Standin::LineGroupModel &SessionWorld::group()
{
    return group_;
}

bool SessionWorld::ready(unsigned vm) const
{
    return vms_[vm].ready_;
}

bool SessionWorld::runs(unsigned vm) const
{
    return vms_[vm].state_.has_value();
}

std::optional<unsigned> SessionWorld::leader() const
{
    for (unsigned vm = 0; vm < vms_.size(); ++vm) {
        if (!vms_[vm].state_) {
            continue;
        }
        const auto group = vms_[vm].state_->sessions_->groups_.find(service);
        if (group != vms_[vm].state_->sessions_->groups_.end() && group->second.leader_ && now_ < group->second.leader_->validUntil_) {
            return vm;
        }
    }
    return std::nullopt;
}

unsigned SessionWorld::promotions() const
{
    return promotions_;
}

const std::vector<std::string> &SessionWorld::violations() const
{
    return violations_;
}

std::vector<std::string> SessionWorld::story() const
{
    return story_;
}

void SessionWorld::note(const std::string &text)
{
    story_.push_back(absl::StrCat("world ", toMillis(now_.time_since_epoch()), " ", text));
}

Time SessionWorld::lastRun(unsigned member) const
{
    const auto found = lastRuns_.find(member);
    return found == lastRuns_.end() ? Time() : found->second;
}

std::vector<std::string> SessionWorld::logged(LogNumber number) const
{
    std::vector<std::string> lines;
    for (const auto &[logged, text] : log_) {
        if (logged == number) {
            lines.push_back(text);
        }
    }
    return lines;
}

} // namespace Figward::Testing
