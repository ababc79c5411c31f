#include "support/SessionWorld.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace Figward::Testing {

std::size_t SessionWorld::open(unsigned vm, const std::string &database, const std::string &key)
{
    WorldClient client;
    client.vm_ = vm;
    client.key_ = SessionKey(clients_.size() + 1);
    client.database_ = database;
    client.keyName_ = key;
    const std::size_t number = database.find('-');
    client.group_ = number == std::string::npos ? 0 : static_cast<unsigned>(std::stoul(database.substr(number + 1)));
    clients_.push_back(client);
    deliverEvent(vm, SessionEvent(SessionOpened{client.key_, database, key.empty() ? std::nullopt : std::optional(digestOf(key))}));
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
    const bool begins = statement.kind_ == StatementKind::Begin || statement.kind_ == StatementKind::BeginRead;
    recordOperation(client, statement, begins || !inTransaction);
    if (inTransaction && statement.kind_ == StatementKind::Write) {
        transactionWrites_[number] = statement.id_;
    }
    client.sent_.insert(statement.id_);
    client.unanswered_.push_back(statement.id_);
    deliverEvent(client.vm_, SessionEvent(StatementArrived{client.key_, statement}));
}

void SessionWorld::setWork(const std::string &id, Duration work)
{
    work_[id] = work;
}

void SessionWorld::setOnAnswer(OnAnswer onAnswer)
{
    onAnswer_ = std::move(onAnswer);
}

void SessionWorld::close(std::size_t client)
{
    clients_[client].closed_ = true;
    deliverEvent(clients_[client].vm_, SessionEvent(SessionClosed{clients_[client].key_}));
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
    WorldClient &client = clients_.at(key.value() - 1); // Session keys are numbered in the order of opening, from 1.
    return client.vm_ == vm && !client.closed_ ? &client : nullptr;
}

void SessionWorld::recordAnswer(unsigned vm, const AnswerSession &effect)
{
    WorldClient *client = findClient(vm, effect.session_);
    if (client == nullptr) {
        return;
    }
    if (client->unanswered_.empty()) {
        reportViolation("an answer to a session that has no pending statement");
        return;
    }
    const std::string id = client->unanswered_.front();
    client->unanswered_.pop_front();
    const ClientAnswer answer{id, effect.reply_, now_};
    client->answers_.push_back(answer);
    if (onAnswer_) {
        schedule(now_, [this, number = static_cast<std::size_t>(client - clients_.data()), answer] { onAnswer_(number, answer); });
    }
    const bool done = effect.reply_.code_ == ReplyCode::None;
    if (done && effect.reply_.receipt_ != "-" && effect.reply_.receipt_ != absl::StrCat("receipt-", id)) {
        reportViolation(absl::StrCat("statement ", id, " was answered with ", effect.reply_.receipt_));
    }
    if (done && !effect.reply_.rows_.empty()) {
        checkRead(*client, answer);
    }
    if (guaranteesNotRun(effect.reply_.code_) || effect.reply_.code_ == ReplyCode::Aborted) {
        reportedNotRun_.insert(id);
    }
    if (!done) {
        return;
    }
    recordAcknowledgedWrite(*client, answer);
}

void SessionWorld::recordAcknowledgedWrite(WorldClient &client, const ClientAnswer &answer)
{
    // The log holds the writes of a transaction but not its commit, so the last write represents the transaction.
    std::string write = answer.id_;
    if (const auto writes = transactionWrites_.find(&client - clients_.data()); writes != transactionWrites_.end()) {
        const bool committed = answer.reply_.state_ == TransactionState::None;
        write = committed ? writes->second : std::string();
        if (committed) {
            transactionWrites_.erase(writes);
        }
    }
    const Standin::LineGroupModel &group = groups_[client.group_];
    const Standin::LineMember &leader = group.leader();
    for (const auto &[member, state] : group.members()) {
        // An answer arrives soon after its commit, so the commit can only be at the end of the log.
        constexpr std::size_t searchedEntries = 300;
        const std::size_t first = state.log_.size() > searchedEntries ? state.log_.size() - searchedEntries : 0;
        for (std::size_t entry = first; entry < state.log_.size(); ++entry) {
            const Standin::LineCommit &commit = state.log_[entry];
            if (std::ranges::find(commit.statements_, write) == commit.statements_.end()) {
                continue;
            }
            if (state.primary_ && state.term_ < leader.term_ && !Standin::holds(leader.log_, commit.point_)) {
                reportViolation(absl::StrCat("write ", write, " was acknowledged by the replaced primary ", member.value()));
            }
            acknowledged_.push_back(Acknowledged{write, client.group_, commit.point_, now_});
            client.lastCommit_ = commit.point_;
        }
    }
}

void SessionWorld::checkRead(const WorldClient &client, const ClientAnswer &answer)
{
    const std::vector<std::string> words = absl::StrSplit(answer.reply_.rows_.front(), ' ');
    const Position seen(std::stoull(words.front()));
    const Standin::LineMember &leader = groups_[client.group_].leader();
    const ReadNeed &need = needs_.at(answer.id_);
    for (const Acknowledged &commit : acknowledged_) {
        if (commit.group_ != client.group_ || commit.point_.position_ <= seen) {
            continue;
        }
        const bool before = commit.at_ <= need.sent_;
        const Duration age = need.sent_ - commit.at_;
        const bool own = client.lastCommit_ && need.own_ && commit.point_ <= *need.own_ && client.sent_.contains(commit.id_);
        const DatabaseRoute &route = store_.configuration_.databases_.at(client.database_);
        const bool counts = route.consistency_ == Consistency::Primary || own || age > route.maxStaleness_;
        const bool rolledBack = !Standin::holds(leader.log_, commit.point_);
        if (before && counts && !rolledBack) {
            reportViolation(absl::StrCat("read ",
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
    for (const Standin::LineGroupModel &group : groups_) {
        for (const Standin::LineCommit &commit : group.leader().log_) {
            for (const std::string &statement : commit.statements_) {
                if (++runs[statement] > 1) {
                    reportViolation(absl::StrCat("write ", statement, " ran twice"));
                }
                if (reportedNotRun_.contains(statement)) {
                    reportViolation(absl::StrCat("write ", statement, " ran, though its client was told that it had not"));
                }
            }
        }
    }
}

void SessionWorld::reportViolation(const std::string &what)
{
    note(what);
    violations_.push_back(absl::StrCat("at ", toMillis(now_.time_since_epoch()), " ms: ", what));
}

} // namespace Figward::Testing
