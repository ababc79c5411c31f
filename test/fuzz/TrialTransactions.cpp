#include "fuzz/Trial.h"

namespace Figward::Testing {

namespace {

constexpr std::size_t keyCount = 2;
constexpr Duration stepTimeout = std::chrono::seconds(2);

} // namespace

/** Begins a transaction or executes the next step of the open one; a third of these steps end the transaction. */
void Trial::transact(Session &session, const Action &action)
{
    if (session.transaction_ == TransactionId(0)) {
        begin(session, action);
        return;
    }
    constexpr std::size_t variantCount = 9;
    const std::size_t variant = action.choice_ / 4 % variantCount;
    if (variant < 4) {
        stepWrite(session, action);
    } else if (variant < 6) {
        stepRead(session, action);
    } else if (variant < 8) {
        commit(session);
    } else if (action.choice_ % 2 == 0) {
        rollBack(session);
    } else {
        world_.leaveTransaction(session.transactionProxy_, session.transaction_);
        endTransaction(session);
    }
}

void Trial::begin(Session &session, const Action &action)
{
    const ProxyIndex proxy = action.where_ % world_.proxies();
    Request request;
    request.kind_ = RequestKind::Begin;
    request.service_ = ServiceId("ledger");
    request.group_ = World::groupId(action.choice_ % world_.groups());
    request.timeout_ = stepTimeout;
    const GroupId group = request.group_;
    ask(session, proxy, std::move(request), [this, &session, proxy, group](const std::optional<Answer> &answer) {
        if (answer && answer->outcome_ == Outcome::Done) {
            session.transaction_ = answer->transaction_;
            session.transactionProxy_ = proxy;
            session.transactionWrite_ = oracle_.ask({.group_ = group});
        }
    });
}

Request Trial::makeStepRequest(const Session &session, RequestKind kind)
{
    Request request;
    request.kind_ = kind;
    request.service_ = ServiceId("ledger");
    request.group_ = oracle_.write(session.transactionWrite_).group_;
    request.transaction_ = session.transaction_;
    request.timeout_ = stepTimeout;
    return request;
}

void Trial::stepWrite(Session &session, const Action &action)
{
    const WriteNumber number = session.transactionWrite_;
    const std::string key = "k" + std::to_string(action.choice_ / 2 % keyCount);
    Request request = makeStepRequest(session, RequestKind::Write);
    request.body_ = "append " + key + " " + oracle_.newTag(key, number);
    const std::string body = request.body_;
    ask(session, session.transactionProxy_, std::move(request), [this, &session, number, body](const std::optional<Answer> &answer) {
        if (!answer || answer->outcome_ != Outcome::Done) {
            endTransaction(session);
            return;
        }
        oracle_.write(number).bodies_.push_back(body);
    });
}

void Trial::stepRead(Session &session, const Action &action)
{
    const WriteNumber number = session.transactionWrite_;
    const GroupId group = oracle_.write(number).group_;
    CheckedRead read{.group_ = group, .key_ = "k" + std::to_string(action.choice_ / 2 % keyCount), .transaction_ = number};
    read.mustContain_ = session.acknowledgedTags_[{group, read.key_}];
    for (const std::string &body : oracle_.write(number).bodies_) {
        if (body.starts_with("append " + read.key_ + " ")) {
            read.mustContain_.insert(body.substr(body.rfind(' ') + 1));
        }
    }
    Request request = makeStepRequest(session, RequestKind::Read);
    request.body_ = "get " + read.key_;
    ask(session, session.transactionProxy_, std::move(request), [this, &session, read](const std::optional<Answer> &answer) mutable {
        if (!answer || answer->outcome_ != Outcome::Done) {
            endTransaction(session);
            return;
        }
        read.body_ = answer->body_;
        read.fromReplica_ = answer->fromReplica_;
        oracle_.check(read);
    });
}

void Trial::commit(Session &session)
{
    const WriteNumber number = session.transactionWrite_;
    Request request = makeStepRequest(session, RequestKind::Commit);
    request.key_ = IdempotencyKey{session.id_, session.next_};
    request.acknowledgedBelow_ = session.next_;
    session.next_ = Sequence(session.next_.value() + 1);
    oracle_.write(number).key_ = request.key_;
    session.open_.reset();
    const ProxyIndex proxy = session.transactionProxy_;
    endTransaction(session);
    ask(session, proxy, std::move(request), [this, &session, number](const std::optional<Answer> &answer) {
        oracle_.recordAnswer(number, answer);
        if (answer && answer->outcome_ == Outcome::Done) {
            recordDone(session, number);
        }
    });
}

void Trial::rollBack(Session &session)
{
    Request request = makeStepRequest(session, RequestKind::Rollback);
    const ProxyIndex proxy = session.transactionProxy_;
    endTransaction(session);
    ask(session, proxy, std::move(request), [](const std::optional<Answer> &) {});
}

void Trial::endTransaction(Session &session)
{
    session.transaction_ = TransactionId(0);
}

} // namespace Figward::Testing
