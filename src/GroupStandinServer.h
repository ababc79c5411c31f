/** \file
 * Defines a gRPC server that runs the model of a database group in real time.
 */
#pragma once

#include "GroupModel.h"
#include "Protocol.h"
#include "StandinCall.h"
#include "StandinClock.h"
#include "Transport.h"

#include <functional>
#include <upstream.grpc.pb.h>

namespace Figward::Standin {

/** Serves all members of one group, at one address or at an address for each member. */
class GroupStandinServer : public v1::Upstream::CallbackService
{
public:
    /** An operation on the model, such as the injection of a fault. */
    using Step = std::function<void(GroupModel &, Time)>;

    GroupStandinServer(GroupModelConfig config, std::uint64_t seed);
    GroupStandinServer(const GroupStandinServer &) = delete;
    GroupStandinServer &operator=(const GroupStandinServer &) = delete;
    ~GroupStandinServer() override;

    /** Starts the server; returns Unavailable if \p address cannot be bound. */
    absl::Status start(const std::string &address);
    /** Starts the server at one address for each member. Each address serves all members, because a connection names its member. */
    absl::Status start(const std::vector<std::string> &addresses);
    [[nodiscard]] const std::string &address() const;
    [[nodiscard]] const std::vector<std::string> &addresses() const;
    /** Runs \p step on the clock's thread, between calls. */
    void run(const Step &step);

    grpc::ServerBidiReactor<v1::ConnectionRequest, v1::ConnectionAnswer> *Connect(grpc::CallbackServerContext *context) override;
    grpc::ServerUnaryReactor *Control(grpc::CallbackServerContext *context, const v1::ControlRequest *request, v1::ControlReply *reply) override;

private:
    class Connection;
    struct WaitingControl
    {
        StandinCall *call_;
        v1::ControlReply *reply_;
    };

    /** This and the following functions run on the clock's thread. */
    void connect(Connection *connection, const MemberId &member);
    void send(const Connection *connection, const UpstreamStatement &statement);
    void disconnect(Connection *connection);
    void control(const v1::ControlRequest &request, WaitingControl waiting);
    void deliverReplies();
    void deliver(const ConnectReply &reply);
    void deliver(const StatementReply &reply);
    void deliver(const ControlReply &reply);
    void deliver(const LinkClosed &reply);

    GroupModel model_;
    std::uint64_t nextTag_ = 1;
    std::map<ReplyTag, Connection *> connecting_;
    std::map<LinkId, Connection *> links_;
    std::map<ReplyTag, WaitingControl> controls_;
    StandinClock clock_; // Declared after the members that its thread uses, so that the thread ends before they are destroyed.
    ListeningServer server_;
};

} // namespace Figward::Standin
