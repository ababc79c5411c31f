/** \file
 * Defines a stand-in for one group of database members with the platform's line protocol, and for the call that promotes a member.
 *
 * The primary numbers the commits. Replicas receive them over the network and follow the primary of the latest term. A promoted member continues from what it
 * has received; replicas that are ahead of it are rolled back. A replaced primary goes on until it is told to step down, or for a second.
 */
#pragma once

#include "Http.h"
#include "Record.h"
#include "Store.h"

#include <algorithm>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace Review {

/** One commit, with the ids of its writes. */
struct Commit
{
    std::uint64_t term_ = 0;
    std::uint64_t number_ = 0;
    std::vector<std::string> writes_;

    bool operator==(const Commit &other) const
    {
        return term_ == other.term_ && number_ == other.number_;
    }
};

struct Member
{
    std::string id_;
    std::string zone_;
    bool up_ = true;
    bool draining_ = false;
    bool primary_ = false;
    bool receivesNothing_ = false;
    milliseconds receiveDelay_{2}; ///< Time until a commit arrives from the primary.
    std::uint64_t term_ = 1;
    std::vector<Commit> log_;
    std::unique_ptr<tcp::acceptor> acceptor_;
    std::uint16_t port_ = 0;
    std::set<tcp::socket *> sockets_;
    std::uint64_t sequence_ = 0;
    std::optional<Clock::time_point> silentSince_; ///< Since when it no longer writes to the store.
};

struct GroupOptions
{
    std::string service_;
    std::vector<std::pair<std::string, std::string>> members_; ///< Id and zone; the first is the primary.
    unsigned syncReplicas_ = 0;
    milliseconds workTime_{10}; ///< Time that a read, a write or a commit takes.
    milliseconds promoteTime_{300};
    milliseconds reportInterval_{1200}; ///< Interval of the members' status reports to the store.
};

class Group
{
public:
    Group(asio::io_context &context, Record &record, Store &store, GroupOptions options)
        : context_(context)
        , record_(record)
        , store_(store)
        , options_(std::move(options))
        , promotions_(context, [this](HttpRequest request) { return answerPromotion(std::move(request)); })
    {
        for (const auto &[id, zone] : options_.members_) {
            auto member = std::make_unique<Member>();
            member->id_ = id;
            member->zone_ = zone;
            member->primary_ = members_.empty();
            listen(*member, freePort(context));
            members_[id] = std::move(member);
        }
        asio::co_spawn(context_, report(), asio::detached);
    }

    Member &member(const std::string &id)
    {
        return *members_.at(id);
    }

    /** Port of the promotion call. */
    [[nodiscard]] std::uint16_t promotionPort() const
    {
        return promotions_.port();
    }

    /** The primary of the latest term among those that run, or null. */
    Member *primary()
    {
        Member *best = nullptr;
        for (auto &[id, member] : members_) {
            if (member->up_ && member->primary_ && (best == nullptr || best->term_ < member->term_)) {
                best = member.get();
            }
        }
        return best;
    }

    /** Ends a member's process: its connections are closed and new ones are refused. Its log is kept. */
    void crash(const std::string &id)
    {
        Member &member = *members_.at(id);
        member.up_ = false;
        member.acceptor_->close();
        for (tcp::socket *socket : member.sockets_) {
            socket->close();
        }
        member.silentSince_ = Clock::now();
        record_.line("member " + id + " crashes");
    }

    /** Starts a crashed member with its log: as a replica if another one was promoted. */
    void restart(const std::string &id)
    {
        Member &member = *members_.at(id);
        member.up_ = true;
        member.silentSince_.reset();
        listen(member, member.port_);
        if (Member *leader = primary(); leader != nullptr && leader != &member) {
            follow(member, *leader);
        }
        record_.line("member " + id + " is back as " + (member.primary_ ? "primary" : "replica"));
    }

    /** Announces that the member is to be shut down; returns once the store has accepted the report. */
    void drain(const std::string &id)
    {
        members_.at(id)->draining_ = true;
        writeEntry(*members_.at(id));
        record_.line("member " + id + " reports draining, confirmed by the store");
    }

    /** Called when a promotion has taken effect, before others are rolled back to the promoted member's log. */
    std::function<void(const Member &promoted)> onPromoted_;
    /** Called for each promotion call that arrives. */
    std::function<void(const std::string &holder, std::uint64_t generation, const std::string &id)> onPromotionCall_;
    /** Called for each commit of a member; \p replaced: another one has been promoted and leads a later term. */
    std::function<void(const Member &member, const std::vector<std::string> &writes, bool replaced)> onCommit_;
    /** Called when a read, write or commit reaches a member. */
    std::function<void(const Member &member, const std::string &id, const std::string &text)> onStatement_;

private:
    struct Session
    {
        bool inTransaction_ = false;
        bool readOnly_ = false;
        bool failed_ = false;
        std::vector<std::string> writes_;
        std::map<std::string, bool> prepared_; ///< True: a write.
        const tcp::socket *socket_ = nullptr;
    };
    struct Reply
    {
        std::string row_;
        std::string receipt_ = "-";
        std::string error_;
    };

    void listen(Member &member, std::uint16_t port)
    {
        member.acceptor_ = std::make_unique<tcp::acceptor>(context_, tcp::endpoint(asio::ip::address_v4::loopback(), port));
        member.port_ = member.acceptor_->local_endpoint().port();
        asio::co_spawn(context_, accept(member), asio::detached);
    }

    void writeEntry(Member &member)
    {
        store_.put("servers",
                   member.id_,
                   json::object{{"service", options_.service_},
                                {"address", "127.0.0.1:" + std::to_string(member.port_)},
                                {"zone", member.zone_},
                                {"version", "v1"},
                                {"slots", 5},
                                {"state", member.draining_ ? "draining" : "ready"},
                                {"cold_remaining_ms", 0},
                                {"db_role", member.primary_ ? "primary" : "replica"},
                                {"seq", ++member.sequence_}});
    }

    awaitable<void> report()
    {
        for (;;) {
            for (auto &[id, member] : members_) {
                if (member->up_) {
                    writeEntry(*member);
                } else if (member->silentSince_ && Clock::now() - *member->silentSince_ > 3 * options_.reportInterval_) {
                    store_.remove("servers", id);
                }
            }
            co_await pause(options_.reportInterval_);
        }
    }

    awaitable<void> accept(Member &member)
    {
        try {
            for (;;) {
                tcp::socket socket = co_await member.acceptor_->async_accept(use_awaitable);
                socket.set_option(tcp::no_delay(true));
                asio::co_spawn(context_, serve(member, std::move(socket)), asio::detached);
            }
        } catch (const boost::system::system_error &) {
            // The member has crashed.
        }
    }

    static std::string nextWord(std::string &rest)
    {
        const std::size_t blank = rest.find(' ');
        std::string word = rest.substr(0, blank);
        rest = blank == std::string::npos ? std::string() : rest.substr(blank + 1);
        return word;
    }

    static std::string positionOf(const Member &member)
    {
        return member.log_.empty() ? "1.0" : std::to_string(member.log_.back().term_) + "." + std::to_string(member.log_.back().number_);
    }

    awaitable<void> serve(Member &member, tcp::socket socket)
    {
        member.sockets_.insert(&socket);
        Session session;
        session.socket_ = &socket;
        std::string buffer;
        try {
            bool started = false;
            for (;;) {
                const std::size_t size = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n", use_awaitable);
                std::string line = buffer.substr(0, size - 2);
                buffer.erase(0, size);
                std::string answer;
                const std::string verb = nextWord(line);
                if (verb == "START") {
                    const std::string service = nextWord(line);
                    nextWord(line); // Who connects.
                    if (service != options_.service_ || (!line.empty() && line != member.id_)) {
                        answer = "ERROR MISROUTED " + member.id_ + "\r\n";
                        co_await asio::async_write(socket, asio::buffer(answer), use_awaitable);
                        break;
                    }
                    started = true;
                    co_await pause(milliseconds(12)); // The handshake.
                    answer = "READY I " + positionOf(member) + "\r\n";
                } else if (verb == "QUERY" && started) {
                    const std::string id = nextWord(line);
                    answer = co_await run(member, session, id, line);
                } else {
                    break;
                }
                co_await asio::async_write(socket, asio::buffer(answer), use_awaitable);
            }
        } catch (const boost::system::system_error &) {
            // The connection has ended; an open transaction is rolled back.
        }
        member.sockets_.erase(&socket);
    }

    awaitable<std::string> run(Member &member, Session &session, std::string id, std::string text)
    {
        std::optional<std::pair<std::uint64_t, std::uint64_t>> after;
        if (text.starts_with("AFTER ")) {
            nextWord(text);
            const std::string position = nextWord(text);
            const std::size_t dot = position.find('.');
            after.emplace(std::stoull(position.substr(0, dot)), std::stoull(position.substr(dot + 1)));
        }
        if (text == "STATUS" || text.starts_with("STEPDOWN ")) {
            if (text.starts_with("STEPDOWN ") && member.primary_ && member.term_ < std::stoull(text.substr(9))) {
                member.primary_ = false;
                record_.line("member " + member.id_ + " steps down");
            }
            std::ostringstream row;
            row << "DATAROW " << (member.primary_ ? "primary " : "replica ") << member.term_ << ' ' << positionOf(member) << " 0 0 1 "
                << member.sockets_.size() << "\r\nCOMPLETE -\r\nREADY I " << positionOf(member) << "\r\n";
            co_return row.str();
        }
        const Reply reply = co_await runStatement(member, session, id, text, after);
        session.failed_ = session.failed_ || (session.inTransaction_ && !reply.error_.empty());
        std::string answer = reply.row_.empty() ? std::string() : "DATAROW " + reply.row_ + "\r\n";
        answer += reply.error_.empty() ? "COMPLETE " + reply.receipt_ + "\r\n" : "ERROR " + reply.error_ + " " + member.id_ + "\r\n";
        const char *state = !session.inTransaction_ ? "I" : session.failed_ ? "E" : "T";
        co_return answer + "READY " + state + " " + positionOf(member) + "\r\n";
    }

    static bool holds(const Member &member, const std::pair<std::uint64_t, std::uint64_t> &position)
    {
        return position.second == 0 || std::ranges::any_of(member.log_, [&](const Commit &commit) {
                   return commit.term_ == position.first && commit.number_ == position.second;
               });
    }

    awaitable<Reply>
    runStatement(Member &member, Session &session, std::string id, std::string text, std::optional<std::pair<std::uint64_t, std::uint64_t>> after)
    {
        std::string rest = text;
        const std::string verb = nextWord(rest);
        if (verb == "SET") {
            co_return Reply{};
        }
        if (verb == "RESET") {
            session.prepared_.clear();
            co_return Reply{};
        }
        if (verb == "PREPARE") {
            const std::string name = nextWord(rest);
            session.prepared_[name] = nextWord(rest) == "WRITE";
            co_return Reply{};
        }
        if (verb == "ROLLBACK") {
            endTransaction(session);
            co_return Reply{};
        }
        if (session.failed_ && verb != "COMMIT") {
            co_return Reply{.error_ = "MALFORMED"};
        }
        if (after && !holds(member, *after)) {
            co_return Reply{.error_ = "LAGGING"};
        }
        if (verb == "BEGIN") {
            if (rest.empty() && !member.primary_) {
                co_return Reply{.error_ = "READONLY"};
            }
            session.inTransaction_ = true;
            session.readOnly_ = rest == "READ";
            co_return Reply{};
        }
        if (onStatement_) {
            onStatement_(member, id, text);
        }
        bool writes = verb == "WRITE";
        if (verb == "EXECUTE") {
            const auto prepared = session.prepared_.find(nextWord(rest));
            if (prepared == session.prepared_.end()) {
                co_return Reply{.error_ = "NOSTMT"};
            }
            writes = prepared->second;
        }
        co_await pause(options_.workTime_);
        if (!session.socket_->is_open()) {
            throw boost::system::system_error(asio::error::operation_aborted); // The member has crashed.
        }
        if (verb == "COMMIT") {
            const Session ended = session;
            endTransaction(session);
            if (!ended.inTransaction_ || ended.failed_) {
                co_return Reply{.error_ = ended.failed_ ? "ABORTED" : "MALFORMED"};
            }
            if (!ended.writes_.empty() && !member.primary_) {
                co_return Reply{.error_ = "READONLY"};
            }
            if (!ended.writes_.empty()) {
                co_await commit(member, ended.writes_);
            }
            co_return Reply{.receipt_ = receipt(id)};
        }
        if (!member.primary_ && (writes || (session.inTransaction_ && !session.readOnly_))) {
            co_return Reply{.error_ = "READONLY"};
        }
        if (writes && session.inTransaction_) {
            session.writes_.push_back(id);
        } else if (writes) {
            std::vector<std::string> single;
            single.push_back(id);
            co_await commit(member, std::move(single));
        }
        co_return Reply{.row_ = writes ? std::string() : member.id_ + " " + positionOf(member), .receipt_ = receipt(id)};
    }

    static void endTransaction(Session &session)
    {
        session.inTransaction_ = false;
        session.readOnly_ = false;
        session.failed_ = false;
        session.writes_.clear();
    }

    std::string receipt(const std::string &id)
    {
        return std::to_string(++receipts_) + "." + id;
    }

    /** Appends a commit, and waits until enough replicas have received it. */
    awaitable<void> commit(Member &member, std::vector<std::string> writes)
    {
        const std::uint64_t number = member.log_.empty() ? 1 : member.log_.back().number_ + 1;
        const Commit added{member.term_, number, std::move(writes)};
        member.log_.push_back(added);
        if (onCommit_) {
            onCommit_(member, added.writes_, primary() != &member);
        }
        for (auto &[id, other] : members_) {
            if (other.get() != &member) {
                asio::co_spawn(context_, deliver(member, *other), asio::detached);
            }
        }
        const auto received = [&] {
            return std::ranges::count_if(members_, [&](const auto &entry) {
                return entry.second.get() != &member && std::ranges::find(entry.second->log_, added) != entry.second->log_.end();
            });
        };
        while (received() < static_cast<std::ptrdiff_t>(options_.syncReplicas_)) {
            co_await pause(milliseconds(1));
        }
    }

    /** Whether \p replica follows \p source, so that it receives its commits. */
    static bool follows(const Member &replica, const Member &source)
    {
        return replica.up_ && source.up_ && !replica.primary_ && !replica.receivesNothing_ && replica.term_ <= source.term_;
    }

    awaitable<void> deliver(Member &source, Member &replica)
    {
        const std::size_t size = source.log_.size();
        co_await pause(replica.receiveDelay_);
        if (!follows(replica, source) || primary() != &source || source.log_.size() < size || replica.log_.size() >= size) {
            co_return;
        }
        replica.term_ = source.term_;
        replica.log_.assign(source.log_.begin(), source.log_.begin() + static_cast<std::ptrdiff_t>(size));
    }

    /** Makes \p member a replica of \p leader: what its log has beyond the leader's is rolled back, and it receives what it lacks. */
    static void follow(Member &member, const Member &leader)
    {
        member.primary_ = false;
        member.term_ = leader.term_;
        member.log_ = leader.log_;
    }

    awaitable<HttpResponse> answerPromotion(HttpRequest request)
    {
        const std::string holder = headerField(request.head_, "X-Duty-Holder");
        const std::uint64_t generation = std::stoull("0" + headerField(request.head_, "X-Fencing-Token"));
        const json::value body = json::parse(request.body_);
        const std::string id(body.at("id").as_string());
        record_.line("platform receives POST /promote holder=" + holder + " generation=" + std::to_string(generation) + " id=" + id);
        if (onPromotionCall_) {
            onPromotionCall_(holder, generation, id);
        }
        co_await pause(milliseconds(4));
        const auto found = members_.find(id);
        if (found == members_.end() || !found->second->up_) {
            co_return HttpResponse{409, {}};
        }
        if (primary() != found->second.get()) {
            asio::co_spawn(context_, promote(*found->second), asio::detached);
        }
        co_return HttpResponse{200, {}};
    }

    awaitable<void> promote(Member &member)
    {
        co_await pause(options_.promoteTime_);
        if (!member.up_ || primary() == &member) {
            co_return;
        }
        Member *previous = primary();
        std::uint64_t term = 0;
        for (const auto &[id, other] : members_) {
            term = std::max(term, other->term_);
        }
        member.primary_ = true;
        member.term_ = term + 1;
        writeEntry(member);
        record_.line("member " + member.id_ + " leads term " + std::to_string(member.term_) + " from " + positionOf(member));
        if (onPromoted_) {
            onPromoted_(member);
        }
        for (auto &[id, other] : members_) {
            if (other.get() != &member && other->up_ && !other->primary_) {
                follow(*other, member);
            }
        }
        if (previous != nullptr) {
            co_await pause(milliseconds(1000)); // A replaced primary goes on for a second.
            if (previous->up_ && previous->primary_ && primary() != previous) {
                follow(*previous, *primary());
                record_.line("member " + previous->id_ + " follows " + primary()->id_);
            }
        }
    }

    asio::io_context &context_;
    Record &record_;
    Store &store_;
    GroupOptions options_;
    std::map<std::string, std::unique_ptr<Member>> members_;
    HttpServer promotions_;
    std::uint64_t receipts_ = 0;
};

} // namespace Review
