#include "GroupStandinServer.h"

#include "WireUpstream.h"
#include "WriteQueue.h"

#include <optional>

namespace Figward::Standin {

/** One connection of a client. Deletes itself when its stream has ended. */
class GroupStandinServer::Connection : public grpc::ServerBidiReactor<v1::ConnectionRequest, v1::ConnectionAnswer>
{
public:
    explicit Connection(GroupStandinServer &server)
        : server_(server)
    {
        StartRead(&incoming_);
    }

    void OnReadDone(bool ok) override
    {
        if (ok && processIncoming()) {
            StartRead(&incoming_);
            return;
        }
        server_.clock_.post([this] {
            server_.disconnect(this);
            finish(grpc::Status::OK);
        });
    }

    void write(v1::ConnectionAnswer answer)
    {
        const std::scoped_lock lock(mutex_);
        if (broken_ || ending_) {
            return;
        }
        if (const v1::ConnectionAnswer *next = outgoing_.push(std::move(answer))) {
            StartWrite(next);
        }
    }

    void OnWriteDone(bool ok) override
    {
        const std::scoped_lock lock(mutex_);
        const v1::ConnectionAnswer *next = outgoing_.pop();
        broken_ = broken_ || !ok;
        if (next != nullptr && !broken_) {
            StartWrite(next);
            return;
        }
        finishIfIdle();
    }

    /** Ends the stream once the queued answers are written. */
    void finish(const grpc::Status &status)
    {
        const std::scoped_lock lock(mutex_);
        if (!ending_) {
            ending_ = status;
            finishIfIdle();
        }
    }

    void OnDone() override
    {
        server_.clock_.post([this] { delete this; }); // Runs after the tasks that were posted for this connection.
    }

    std::optional<ReplyTag> connecting_; ///< Used by the clock's thread only, like link_.
    std::optional<LinkId> link_;

private:
    /** Processes the received message; returns false if it violates the protocol. */
    bool processIncoming()
    {
        if (incoming_.has_open() != !opened_) {
            return false;
        }
        if (!opened_) {
            opened_ = true;
            server_.clock_.post([this, member = MemberId(incoming_.open().member())] { server_.connect(this, member); });
            return true;
        }
        absl::StatusOr<UpstreamStatement> statement = Wire::decode(incoming_.statement());
        if (!statement.ok()) {
            return false;
        }
        server_.clock_.post([this, sent = *std::move(statement)] { server_.send(this, sent); });
        return true;
    }

    void finishIfIdle()
    {
        if (ending_ && (outgoing_.empty() || broken_)) {
            Finish(*ending_);
        }
    }

    GroupStandinServer &server_;
    v1::ConnectionRequest incoming_;
    bool opened_ = false; ///< Used by the read callbacks only.
    std::mutex mutex_; ///< Guards the members declared after it.
    WriteQueue<v1::ConnectionAnswer> outgoing_;
    std::optional<grpc::Status> ending_;
    bool broken_ = false;
};

GroupStandinServer::GroupStandinServer(GroupModelConfig config, std::uint64_t seed)
    : model_(std::move(config), seed, StandinClock::now())
{
}

GroupStandinServer::~GroupStandinServer()
{
    if (server_.server_) {
        server_.server_->Shutdown(std::chrono::system_clock::now());
        clock_.run([] { /* Waits until the tasks that the last calls posted have run. */ });
    }
}

absl::Status GroupStandinServer::start(const std::string &address)
{
    return start(std::vector<std::string>{address});
}

absl::Status GroupStandinServer::start(const std::vector<std::string> &addresses)
{
    absl::StatusOr<ListeningServer> server = listen(addresses, serverCredentials(std::nullopt, ClientCertificate::NotAsked), *this, messageLimit);
    if (!server.ok()) {
        return server.status();
    }
    server_ = *std::move(server);
    return absl::OkStatus();
}

const std::string &GroupStandinServer::address() const
{
    return server_.address_;
}

const std::vector<std::string> &GroupStandinServer::addresses() const
{
    return server_.addresses_;
}

void GroupStandinServer::run(const Step &step)
{
    clock_.run([&] {
        step(model_, StandinClock::now());
        deliverReplies();
    });
}

grpc::ServerBidiReactor<v1::ConnectionRequest, v1::ConnectionAnswer> *GroupStandinServer::Connect(grpc::CallbackServerContext * /*context*/)
{
    return new Connection(*this);
}

grpc::ServerUnaryReactor *GroupStandinServer::Control(grpc::CallbackServerContext * /*context*/, const v1::ControlRequest *request, v1::ControlReply *reply)
{
    auto *call = new StandinCall;
    clock_.post([this, copy = *request, call, reply] { control(copy, {call, reply}); });
    return call;
}

void GroupStandinServer::connect(Connection *connection, const MemberId &member)
{
    const MemberIndex index = model_.indexOf(member);
    if (index == model_.size()) {
        connection->finish({grpc::StatusCode::NOT_FOUND, "no such member"});
        return;
    }
    const ReplyTag tag(nextTag_++);
    connection->connecting_ = tag;
    connecting_[tag] = connection;
    model_.connect(index, tag, StandinClock::now());
    deliverReplies();
}

void GroupStandinServer::send(const Connection *connection, const UpstreamStatement &statement)
{
    if (connection->link_) {
        model_.send(*connection->link_, statement, StandinClock::now());
        deliverReplies();
    }
}

void GroupStandinServer::disconnect(Connection *connection)
{
    if (connection->connecting_) {
        connecting_.erase(*connection->connecting_);
    }
    if (connection->link_) {
        links_.erase(*connection->link_);
        model_.close(*connection->link_, StandinClock::now());
        deliverReplies();
    }
}

void GroupStandinServer::control(const v1::ControlRequest &request, WaitingControl waiting)
{
    const MemberIndex index = model_.indexOf(MemberId(request.member()));
    absl::StatusOr<ControlBody> body = Wire::decodeControl(request);
    if (index == model_.size() || !body.ok()) {
        waiting.call_->refuse({grpc::StatusCode::INVALID_ARGUMENT, "no such member or call"});
        waiting.call_->release();
        return;
    }
    const ReplyTag tag(nextTag_++);
    controls_[tag] = waiting;
    model_.control(index, tag, {ControlId(tag.value()), *std::move(body)}, StandinClock::now());
    deliverReplies();
}

void GroupStandinServer::deliverReplies()
{
    for (GroupReply &reply : model_.takeReplies()) {
        if (reply.at_ <= StandinClock::now()) {
            std::visit([this](const auto &body) { deliver(body); }, reply.body_);
            continue;
        }
        clock_.runAt(reply.at_, [this, body = std::move(reply.body_)] { std::visit([this](const auto &alternative) { deliver(alternative); }, body); });
    }
}

void GroupStandinServer::deliver(const ConnectReply &reply)
{
    const auto found = connecting_.find(reply.tag_);
    if (found == connecting_.end()) {
        if (!reply.refused_) {
            model_.close(reply.link_, StandinClock::now()); // The client disconnected before the connection was established.
        }
        return;
    }
    Connection *connection = found->second;
    connecting_.erase(found);
    connection->connecting_.reset();
    if (reply.refused_) {
        connection->finish({grpc::StatusCode::RESOURCE_EXHAUSTED, "the group is at its connection limit"});
        return;
    }
    connection->link_ = reply.link_;
    links_[reply.link_] = connection;
    v1::ConnectionAnswer answer;
    answer.mutable_opened();
    connection->write(std::move(answer));
}

void GroupStandinServer::deliver(const StatementReply &reply)
{
    const auto found = links_.find(reply.link_);
    if (found != links_.end()) {
        v1::ConnectionAnswer answer;
        Wire::encode(reply.answer_, *answer.mutable_answer());
        found->second->write(std::move(answer));
    }
}

void GroupStandinServer::deliver(const ControlReply &reply)
{
    const auto found = controls_.find(reply.tag_);
    if (found == controls_.end()) {
        return;
    }
    found->second.call_->answer([&] { *found->second.reply_ = Wire::encodeControlReply(reply.answer_); });
    found->second.call_->release();
    controls_.erase(found);
}

void GroupStandinServer::deliver(const LinkClosed &reply)
{
    const auto found = links_.find(reply.link_);
    if (found != links_.end()) {
        found->second->link_.reset();
        found->second->finish({grpc::StatusCode::UNAVAILABLE, "the member ended"});
        links_.erase(found);
    }
}

} // namespace Figward::Standin
