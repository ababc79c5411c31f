#include "world.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdarg>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

const Clock::time_point start = Clock::now();
std::FILE *recordFile = nullptr;
std::mutex recordMutex;

std::vector<Vm *> processes;

/// Position of a log without commits of this run.
constexpr std::pair<std::uint64_t, std::uint64_t> initialPosition{3, 1000};

std::int64_t unixMs()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::string part;
    std::istringstream in(text);
    while (std::getline(in, part, separator)) {
        parts.push_back(part);
    }
    return parts;
}

/// Removes the first word of \p rest and returns it.
std::string word(std::string &rest)
{
    const std::size_t blank = rest.find(' ');
    const std::string first = rest.substr(0, blank);
    rest = blank == std::string::npos ? std::string() : rest.substr(blank + 1);
    return first;
}

std::string httpResponse(int status, const std::string &body)
{
    std::ostringstream out;
    out << "HTTP/1.1 " << status << " X\r\nContent-Type: application/json\r\nContent-Length: " << body.size() << "\r\n\r\n" << body;
    return out.str();
}

struct HttpCall
{
    std::string method_, target_, body_;
    std::map<std::string, std::string> headers_;
};

std::optional<HttpCall> readHttp(Reader &reader)
{
    const std::optional<std::string> first = reader.line();
    if (!first) {
        return std::nullopt;
    }
    HttpCall call;
    std::string rest = *first;
    call.method_ = word(rest);
    call.target_ = word(rest);
    std::size_t length = 0;
    for (;;) {
        const std::optional<std::string> header = reader.line();
        if (!header) {
            return std::nullopt;
        }
        if (header->empty()) {
            break;
        }
        const std::size_t colon = header->find(':');
        std::string name = header->substr(0, colon);
        for (char &c : name) {
            c = static_cast<char>(std::tolower(c));
        }
        std::string value = colon == std::string::npos ? "" : header->substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        call.headers_[name] = value;
    }
    if (const auto found = call.headers_.find("content-length"); found != call.headers_.end()) {
        length = std::stoul(found->second);
    }
    if (length > 0) {
        const std::optional<std::string> body = reader.bytes(length);
        if (!body) {
            return std::nullopt;
        }
        call.body_ = *body;
    }
    return call;
}

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

std::optional<sockaddr_in> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in address = loopback(std::atoi(text.c_str() + colon + 1));
    return inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1 ? std::optional(address) : std::nullopt;
}

int connectTo(const std::string &to)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const std::optional<sockaddr_in> address = parseAddress(to);
    if (!address || connect(fd, reinterpret_cast<const sockaddr *>(&*address), sizeof *address) != 0) {
        close(fd);
        return -1;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

} // namespace

namespace {

/// The inode of the socket that is connected from port \p from to port \p to, as the kernel lists it.
std::string inodeOf(int from, int to)
{
    std::ifstream in("/proc/net/tcp");
    std::string line;
    char localPort[8];
    char remotePort[8];
    std::snprintf(localPort, sizeof localPort, ":%04X", from);
    std::snprintf(remotePort, sizeof remotePort, ":%04X", to);
    while (std::getline(in, line)) {
        std::istringstream fields(line);
        std::string slot, local, remote, state, queues, timer, retransmits, user, timeout, inode;
        fields >> slot >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode;
        if (local.ends_with(localPort) && remote.ends_with(remotePort) && inode != "0") {
            return inode;
        }
    }
    return {};
}

/// Zone of the VM that opened the connection \p fd; empty if none of them did.
std::string zoneOfPeer(int fd)
{
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size);
    sockaddr_in here{};
    size = sizeof here;
    getsockname(fd, reinterpret_cast<sockaddr *>(&here), &size);
    const std::string wanted = "socket:[" + inodeOf(ntohs(peer.sin_port), ntohs(here.sin_port)) + "]";
    for (Vm *vm : processes) {
        const std::string folder = "/proc/" + std::to_string(vm->pid()) + "/fd";
        std::error_code error;
        for (const auto &entry : std::filesystem::directory_iterator(folder, error)) {
            if (std::filesystem::read_symlink(entry.path(), error).string() == wanted) {
                return vm->zone();
            }
        }
    }
    return {};
}

} // namespace

double nowMs()
{
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

void openRecord(const std::string &file)
{
    recordFile = std::fopen(file.c_str(), "w");
}

void record(const char *format, ...)
{
    const std::scoped_lock lock(recordMutex);
    std::FILE *out = recordFile != nullptr ? recordFile : stdout;
    std::fprintf(out, "%10.1f ", nowMs());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(out, format, arguments);
    va_end(arguments);
    std::fputc('\n', out);
    std::fflush(out);
}

void sleepMs(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

Listener::Listener(std::function<void(int)> onConnection)
    : onConnection_(std::move(onConnection))
{
    reopen();
}

Listener::~Listener()
{
    shut();
}

std::string Listener::address() const
{
    return "127.0.0.1:" + std::to_string(port_);
}

void Listener::reopen()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = loopback(port_);
    bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port_ = ntohs(address.sin_port);
    listen(fd, 512);
    fd_ = fd;
    std::thread([this, fd] { acceptLoop(fd); }).detach();
}

void Listener::shut()
{
    const int fd = fd_.exchange(-1);
    if (fd >= 0) {
        shutdown(fd, SHUT_RDWR);
        close(fd);
    }
    dropAll();
}

void Listener::dropAll()
{
    const std::scoped_lock lock(mutex_);
    for (const int fd : open_) {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        shutdown(fd, SHUT_RDWR);
    }
}

void Listener::acceptLoop(int listening)
{
    for (;;) {
        const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            if (fd_ != listening) {
                return;
            }
            sleepMs(5);
            continue;
        }
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        {
            const std::scoped_lock lock(mutex_);
            open_.insert(fd);
        }
        std::thread([this, fd] {
            onConnection_(fd);
            const std::scoped_lock lock(mutex_);
            open_.erase(fd);
            close(fd);
        }).detach();
    }
}

bool Reader::fill(int timeoutMs)
{
    if (timeoutMs >= 0) {
        pollfd wait{fd_, POLLIN, 0};
        if (poll(&wait, 1, timeoutMs) <= 0) {
            timedOut_ = true;
            return false;
        }
    }
    char chunk[16384];
    const ssize_t size = recv(fd_, chunk, sizeof chunk, 0);
    if (size <= 0) {
        return false;
    }
    buffer_.append(chunk, static_cast<std::size_t>(size));
    return true;
}

std::optional<std::string> Reader::line(int timeoutMs)
{
    timedOut_ = false;
    const double until = nowMs() + timeoutMs;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
        const int left = timeoutMs < 0 ? -1 : std::max(0, static_cast<int>(until - nowMs()));
        if (!fill(left)) {
            return std::nullopt;
        }
    }
    std::string found = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return found;
}

std::optional<std::string> Reader::bytes(std::size_t count)
{
    while (buffer_.size() < count) {
        if (!fill(-1)) {
            return std::nullopt;
        }
    }
    std::string found = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return found;
}

bool sendAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t size = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

Cuts &cuts()
{
    static Cuts instance;
    return instance;
}

void Cuts::set(std::set<std::string> zones)
{
    std::string text;
    for (const std::string &zone : zones) {
        text += " " + zone;
    }
    record("cut off from now on:%s", text.empty() ? " nobody" : text.c_str());
    const std::scoped_lock lock(mutex_);
    zones_ = std::move(zones);
}

bool Cuts::between(const std::string &zone, const std::string &other) const
{
    const std::scoped_lock lock(mutex_);
    return zone != other && !zone.empty() && !other.empty() && (zones_.contains(zone) || zones_.contains(other));
}

bool Cuts::concerns(const std::string &zone) const
{
    const std::scoped_lock lock(mutex_);
    return zones_.contains(zone);
}

Store::Store() = default;

Store::~Store()
{
    ends_ = true;
    change_.notify_all();
}

Store::Door &Store::addDoor(const std::string &zone)
{
    doors_.push_back(std::make_unique<Door>());
    Door &door = *doors_.back();
    door.zone_ = zone;
    door.listener_ = std::make_unique<Listener>([this, &door](int fd) { serve(door, fd); });
    return door;
}

json::object Store::render(const std::string &name, const Object &object) const
{
    return {{"meta", {{"name", name}, {"revision", object.revision_}, {"created", object.created_}, {"finalizers", json::array()}, {"deleting", false}}},
            {"spec", object.spec_},
            {"status", nullptr}};
}

void Store::changed(const std::string &kind, const std::string &name, bool deleted)
{
    const Object &object = kinds_[kind][name];
    changes_.push_back({revision_, kind, json::object{{"deleted", deleted}, {"object", render(name, object)}}});
    if (deleted) {
        kinds_[kind].erase(name);
    }
    change_.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, json::value spec)
{
    const std::scoped_lock lock(mutex_);
    Object &object = kinds_[kind][name];
    if (object.revision_ != 0 && object.spec_ == spec) {
        return;
    }
    object.revision_ = ++revision_;
    object.created_ = object.created_ == 0 ? revision_ : object.created_;
    object.spec_ = std::move(spec);
    changed(kind, name, false);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::scoped_lock lock(mutex_);
    if (kinds_[kind].contains(name)) {
        kinds_[kind][name].revision_ = ++revision_;
        changed(kind, name, true);
    }
}

std::optional<json::value> Store::get(const std::string &kind, const std::string &name)
{
    const std::scoped_lock lock(mutex_);
    const auto found = kinds_[kind].find(name);
    return found == kinds_[kind].end() ? std::nullopt : std::optional(found->second.spec_);
}

void Store::serve(Door &door, int fd)
{
    Reader reader(fd);
    while (const std::optional<HttpCall> call = readHttp(reader)) {
        const Fault fault = cuts().concerns(door.zone_) ? Fault::Silent : door.fault_.load();
        if (fault == Fault::Silent) {
            continue;
        }
        if (fault == Fault::Reset) {
            return;
        }
        if (fault == Fault::Busy) {
            sendAll(fd, httpResponse(503, ""));
            continue;
        }
        sleepMs(2);
        auto [status, body] = answer(call->method_, call->target_, call->body_);
        const std::string marker = "@unreadable@";
        for (std::size_t at = body.find(marker); at != std::string::npos; at = body.find(marker, at)) {
            body.replace(at, marker.size(), unreadable_);
        }
        if (call->method_ != "GET") {
            record("store %s %s -> %d", call->method_.c_str(), call->target_.c_str(), status);
        }
        if (door.fault_ == Fault::Silent || cuts().concerns(door.zone_)) {
            continue;
        }
        if (!sendAll(fd, httpResponse(status, body))) {
            return;
        }
    }
}

std::pair<int, std::string> Store::answer(const std::string &method, const std::string &target, const std::string &body)
{
    const std::size_t mark = target.find('?');
    const std::vector<std::string> path = split(target.substr(0, mark), '/');
    std::map<std::string, std::string> query;
    if (mark != std::string::npos) {
        for (const std::string &pair : split(target.substr(mark + 1), '&')) {
            const std::size_t equals = pair.find('=');
            query[pair.substr(0, equals)] = equals == std::string::npos ? "" : pair.substr(equals + 1);
        }
    }
    if (path.size() < 4 || path[1] != "-" || path[2] != "objects") {
        return {404, ""};
    }
    const std::string kind = path[3];
    const std::string name = path.size() > 4 ? path[4] : "";
    std::unique_lock lock(mutex_);
    if (method == "GET" && !name.empty()) {
        const auto found = kinds_[kind].find(name);
        return found == kinds_[kind].end() ? std::pair(404, std::string()) : std::pair(200, json::serialize(render(name, found->second)));
    }
    if (method == "GET" && query.contains("watch")) {
        const std::uint64_t since = std::stoull(query["watch"]);
        const int wait = query.contains("wait_ms") ? std::stoi(query["wait_ms"]) : 0;
        json::array events;
        const auto collect = [&] {
            events.clear();
            for (const Change &change : changes_) {
                if (change.revision_ > since && change.kind_ == kind) {
                    events.push_back(change.event_);
                }
            }
            return !events.empty() || ends_;
        };
        change_.wait_for(lock, Millis(wait), collect);
        return {200, json::serialize(json::object{{"events", events}, {"store_revision", revision_}})};
    }
    if (method == "GET") {
        json::array items;
        for (const auto &[itemName, object] : kinds_[kind]) {
            if (itemName > query["after"] || query["after"].empty()) {
                items.push_back(render(itemName, object));
            }
        }
        return {200, json::serialize(json::object{{"items", items}, {"has_more", false}, {"store_revision", revision_}})};
    }
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object() || !value.as_object().contains("meta")) {
        return {400, ""};
    }
    const json::object &meta = value.at("meta").as_object();
    const std::string target2 = method == "POST" ? std::string(meta.at("name").as_string()) : name;
    const auto found = kinds_[kind].find(target2);
    const bool exists = found != kinds_[kind].end();
    if (method == "POST" && exists) {
        return {409, json::serialize(render(target2, found->second))};
    }
    if (method == "PUT" && !exists) {
        return {404, ""};
    }
    const std::uint64_t condition = meta.contains("revision") ? meta.at("revision").to_number<std::uint64_t>() : 0;
    if (exists && condition != 0 && condition != found->second.revision_) {
        return {409, json::serialize(render(target2, found->second))};
    }
    Object &object = kinds_[kind][target2];
    if (!exists || object.spec_ != value.at("spec")) {
        object.revision_ = ++revision_;
        object.created_ = object.created_ == 0 ? revision_ : object.created_;
        object.spec_ = value.at("spec");
        changed(kind, target2, false);
    }
    return {method == "POST" ? 201 : 200, json::serialize(render(target2, kinds_[kind][target2]))};
}

Group::Group(Store &store, Settings settings)
    : workMs_(settings.workMs_)
    , store_(store)
    , settings_(std::move(settings))
{
    for (int index = 0; index < settings_.members_; ++index) {
        auto member = std::make_unique<Member>();
        member->id_ = "i-" + settings_.service_ + "-" + std::to_string(index);
        member->zone_ = std::string("zone-") + static_cast<char>('a' + index % 3);
        member->primary_ = index == 0;
        member->born_ = unixMs();
        Member *raw = member.get();
        member->listener_ = std::make_unique<Listener>([this, raw](int fd) { serve(*raw, fd); });
        members_.push_back(std::move(member));
    }
    for (const auto &member : members_) {
        writeEntry(*member);
    }
    beats_ = std::thread([this] { beat(); });
}

Group::~Group()
{
    stop();
}

void Group::stop()
{
    if (!ends_.exchange(true)) {
        beats_.join();
        for (std::thread &promotion : promotions_) {
            promotion.join();
        }
    }
}

std::string Group::memberId(int index) const
{
    return members_[static_cast<std::size_t>(index)]->id_;
}

void Group::writeEntry(Member &member)
{
    store_.put("servers",
               member.id_,
               json::object{{"service", settings_.service_},
                            {"address", member.listener_->address()},
                            {"zone", member.zone_},
                            {"version", "v1"},
                            {"slots", settings_.slots_},
                            {"state", member.state_},
                            {"cold_remaining_ms", 0},
                            {"db_role", member.primary_ ? "primary" : "replica"},
                            {"born", member.born_},
                            {"seq", ++member.seq_}});
}

void Group::beat()
{
    for (int tick = 0; !ends_; ++tick) {
        sleepMs(50);
        {
            const std::scoped_lock lock(mutex_);
            followLeader();
            for (const auto &member : members_) {
                if (member->up_ && member->primary_) {
                    replicate(*member);
                }
            }
        }
        if (tick % 24 == 0) {
            const std::scoped_lock lock(mutex_);
            for (const auto &member : members_) {
                if (member->up_) {
                    writeEntry(*member);
                }
            }
        }
    }
}

void Group::setState(int index, const std::string &state)
{
    const std::scoped_lock lock(mutex_);
    members_[static_cast<std::size_t>(index)]->state_ = state;
    writeEntry(*members_[static_cast<std::size_t>(index)]);
}

std::string Group::primary()
{
    const std::scoped_lock lock(mutex_);
    const Member *best = nullptr;
    for (const auto &member : members_) {
        if (member->primary_ && member->up_ && (best == nullptr || best->term_ < member->term_)) {
            best = member.get();
        }
    }
    return best == nullptr ? "" : best->id_;
}

std::vector<Run> Group::runs()
{
    const std::scoped_lock lock(mutex_);
    return runs_;
}

void Group::crash(int index)
{
    Member &member = *members_[static_cast<std::size_t>(index)];
    {
        const std::scoped_lock lock(mutex_);
        member.up_ = false;
        ++member.life_;
        const double now = nowMs();
        for (const auto &other : members_) { // What is still on its way to the replicas is lost with it.
            std::erase_if(other->log_, [&](const Commit &commit) { return member.primary_ && other.get() != &member && commit.receivedAt_ > now; });
        }
    }
    record("member %s crashes", member.id_.c_str());
    member.listener_->shut();
}

void Group::follow(Member &member)
{
    for (const auto &other : members_) {
        if (other->up_ && other->primary_ && other->term_ == latestTerm_) {
            member.primary_ = false;
            member.log_ = other->log_;
            member.term_ = other->term_;
            member.empty_ = false;
            record("member %s is a replica in term %llu", member.id_.c_str(), static_cast<unsigned long long>(member.term_));
        }
    }
}

void Group::restart(int index)
{
    Member &member = *members_[static_cast<std::size_t>(index)];
    {
        const std::scoped_lock lock(mutex_);
        member.up_ = true;
        record("member %s is back with its log", member.id_.c_str());
        if (!member.primary_ || member.term_ < latestTerm_) {
            follow(member);
        }
    }
    member.listener_->reopen();
    const std::scoped_lock lock(mutex_);
    writeEntry(member);
}

std::vector<Commit> Group::logOf(int index)
{
    const std::scoped_lock lock(mutex_);
    return members_[static_cast<std::size_t>(index)]->log_;
}

int Group::indexOf(const std::string &id) const
{
    for (std::size_t index = 0; index < members_.size(); ++index) {
        if (members_[index]->id_ == id) {
            return static_cast<int>(index);
        }
    }
    return -1;
}

std::vector<Commit> Group::finalLog()
{
    const std::scoped_lock lock(mutex_);
    const Member *best = nullptr;
    for (const auto &member : members_) {
        if (member->primary_ && member->up_ && (best == nullptr || best->term_ < member->term_)) {
            best = member.get();
        }
    }
    return best == nullptr ? std::vector<Commit>() : best->log_;
}

int Group::promote(const std::string &service, const std::string &id)
{
    const std::scoped_lock lock(mutex_);
    for (const auto &member : members_) {
        if (service != settings_.service_ || member->id_ != id) {
            continue;
        }
        if (!member->up_) {
            return 409;
        }
        if (member->primary_ && member->term_ == latestTerm_) {
            return 200; // The present primary.
        }
        Member *chosen = member.get();
        promotions_.emplace_back([this, chosen] {
            sleepMs(300);
            const std::scoped_lock inner(mutex_);
            if (!chosen->up_) {
                return;
            }
            chosen->primary_ = true;
            chosen->term_ = ++latestTerm_;
            record("member %s leads term %llu", chosen->id_.c_str(), static_cast<unsigned long long>(chosen->term_));
            followLeader();
        });
        return 200;
    }
    return 409;
}

std::pair<std::uint64_t, std::uint64_t> Group::position(const Member &member, bool received) const
{
    const double now = nowMs();
    std::pair<std::uint64_t, std::uint64_t> last = initialPosition;
    for (auto commit = member.log_.rbegin(); commit != member.log_.rend(); ++commit) {
        if (member.primary_ || (received ? commit->receivedAt_ : commit->appliedAt_) <= now) {
            last = {commit->term_, commit->number_};
            break;
        }
    }
    return last;
}

std::string Group::positionText(const Member &member, bool received) const
{
    if (member.empty_) {
        return "-"; // Its log has no last entry.
    }
    const auto [term, number] = position(member, received);
    return std::to_string(term) + "." + std::to_string(number);
}

void Group::restartEmpty(int index, double downMs)
{
    crash(index);
    sleepMs(downMs);
    Member &member = *members_[static_cast<std::size_t>(index)];
    {
        const std::scoped_lock lock(mutex_);
        member.up_ = true;
        member.primary_ = false;
        member.empty_ = true;
        member.log_.clear();
        member.term_ = 0;
        member.seq_ = 0;
        member.born_ = unixMs();
        record("member %s has started again and holds nothing", member.id_.c_str());
    }
    member.listener_->reopen();
    const std::scoped_lock lock(mutex_);
    writeEntry(member);
}

/// Waits while a cut holds up what passes between a VM of \p zone and the member. False if the connection has ended meanwhile.
bool Group::held(const std::string &zone, const Member &member, int fd) const
{
    while (cuts().between(zone, member.zone_)) {
        pollfd wait{fd, POLLRDHUP, 0};
        if (poll(&wait, 1, 5) > 0 && (wait.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
            return false;
        }
    }
    return true;
}

/// Whether the member has applied the commit at \p point, in a log that goes on from it.
bool Group::contains(const Member &member, const std::pair<std::uint64_t, std::uint64_t> &point) const
{
    if (member.empty_) {
        return false;
    }
    std::pair<std::uint64_t, std::uint64_t> last = initialPosition;
    for (const Commit &commit : member.log_) {
        const bool isApplied = member.primary_ || commit.appliedAt_ <= nowMs();
        if (isApplied && commit.term_ <= point.first) {
            last = {commit.term_, commit.number_};
        }
    }
    return point <= initialPosition || (last.first == point.first && last.second >= point.second);
}

/// Replicas of the primary's term that it reaches receive what they lack, in order.
void Group::replicate(const Member &primary)
{
    const double now = nowMs();
    for (const auto &other : members_) {
        const bool follows = other.get() != &primary && other->up_ && !other->primary_ && !other->empty_ && other->term_ == primary.term_;
        if (!follows || cuts().between(other->zone_, primary.zone_)) {
            continue;
        }
        for (std::size_t next = other->log_.size(); next < primary.log_.size(); ++next) {
            other->log_.push_back(primary.log_[next]);
            other->log_.back().receivedAt_ = now + 1;
            other->log_.back().appliedAt_ = now + settings_.lagMs_;
        }
    }
}

/// Members that reach the latest primary follow it: replicas at once, an old primary after a second.
void Group::followLeader()
{
    const Member *leader = nullptr;
    for (const auto &member : members_) {
        if (member->up_ && member->primary_ && member->term_ == latestTerm_) {
            leader = member.get();
        }
    }
    for (const auto &member : members_) {
        const bool reaches = leader != nullptr && member.get() != leader && member->up_ && !cuts().between(member->zone_, leader->zone_);
        if (!reaches || member->term_ == latestTerm_) {
            member->reachesLeaderSince_ = -1;
            continue;
        }
        if (member->reachesLeaderSince_ < 0) {
            member->reachesLeaderSince_ = nowMs();
        }
        constexpr double oldPrimaryMs = 1000;
        if (!member->primary_ || nowMs() - member->reachesLeaderSince_ >= oldPrimaryMs) {
            follow(*member);
        }
    }
}

void Group::serve(Member &member, int fd)
{
    Reader reader(fd);
    std::optional<std::string> line = reader.line();
    const std::string from = zoneOfPeer(fd);
    if (!line || !held(from, member, fd)) {
        return;
    }
    std::string rest = *line;
    const std::string verb = word(rest);
    const std::string service = word(rest);
    word(rest);
    if (verb != "START" || service != settings_.service_ || (!rest.empty() && rest != member.id_)) {
        sendAll(fd, "ERROR MISROUTED " + member.id_ + "\r\n");
        return;
    }
    {
        const std::scoped_lock lock(mutex_);
        if (member.connections_ >= settings_.maxConnections_) {
            sendAll(fd, "ERROR TOOMANY " + member.id_ + "\r\n");
            return;
        }
        ++member.connections_;
    }
    // A statement takes a slot of the member for its work.
    const auto work = [&](double ms) {
        std::unique_lock lock(mutex_);
        slotFree_.wait(lock, [&] { return member.busy_ < settings_.slots_; });
        ++member.busy_;
        lock.unlock();
        sleepMs(ms);
        lock.lock();
        --member.busy_;
        slotFree_.notify_all();
    };
    work(settings_.handshakeMs_);
    std::string first;
    {
        const std::scoped_lock lock(mutex_);
        first = "READY I " + positionText(member, false) + "\r\n";
    }
    sendAll(fd, first);
    bool inTransaction = false;
    bool failed = false;
    bool readOnly = false;
    std::vector<Commit> writes;
    std::map<std::string, std::pair<bool, std::string>> prepared;
    while ((line = reader.line())) {
        if (!held(from, member, fd)) {
            break;
        }
        rest = *line;
        if (word(rest) != "QUERY") {
            break;
        }
        const std::string id = word(rest);
        std::optional<std::pair<std::uint64_t, std::uint64_t>> after;
        if (rest.starts_with("AFTER ")) {
            word(rest);
            const std::string text = word(rest);
            const std::size_t dot = text.find('.');
            after = std::pair(std::stoull(text.substr(0, dot)), std::stoull(text.substr(dot + 1)));
        }
        const std::string text = rest;
        const std::string kind = word(rest);
        std::string rows;
        std::string result = "COMPLETE -\r\n";
        bool isRead = kind == "READ";
        bool isWrite = kind == "WRITE";
        std::string item = rest;
        std::string data;
        if (kind == "EXECUTE") {
            const std::string name = word(rest);
            const auto found = prepared.find(name);
            if (found == prepared.end()) {
                result = "ERROR NOSTMT " + name + "\r\n";
            } else {
                isWrite = found->second.first;
                isRead = !isWrite;
                item = rest;
            }
        }
        if (isWrite) {
            data = item;
            item = word(data);
        }
        const double startMs = nowMs();
        const bool leads = [&] {
            const std::scoped_lock lock(mutex_);
            return member.primary_;
        }();
        const auto lacks = [&] {
            const std::scoped_lock lock(mutex_);
            return after && !contains(member, *after);
        };
        if (kind == "STATUS") {
            record("member %s is asked for its state", member.id_.c_str());
            const std::scoped_lock lock(mutex_);
            rows = "DATAROW " + std::string(member.primary_ ? "primary " : "replica ") + std::to_string(member.term_) + " " + positionText(member, true)
                   + " 0 0 " + std::to_string(member.busy_) + " " + std::to_string(member.connections_) + "\r\n";
        } else if (kind == "STEPDOWN") {
            const std::scoped_lock lock(mutex_);
            member.primary_ = false;
        } else if (failed && kind != "ROLLBACK" && kind != "COMMIT") {
            result = "ERROR MALFORMED the transaction failed\r\n";
        } else if (kind == "BEGIN") {
            readOnly = rest == "READ";
            if (lacks()) {
                result = "ERROR LAGGING " + member.id_ + "\r\n";
            } else if (!readOnly && !leads) {
                result = "ERROR READONLY " + member.id_ + "\r\n";
            } else {
                inTransaction = true;
            }
        } else if (kind == "ROLLBACK") {
            inTransaction = failed = false;
            writes.clear();
        } else if (kind == "SET") {
        } else if (kind == "RESET") {
            prepared.clear();
        } else if (kind == "PREPARE") {
            const std::string name = word(rest);
            const std::string mode = word(rest);
            prepared[name] = {mode == "WRITE", rest};
        } else if (kind == "COMMIT" || isRead || isWrite) {
            if (lacks()) {
                result = "ERROR LAGGING " + member.id_ + "\r\n";
                failed = inTransaction;
            } else if ((isWrite || (inTransaction && !readOnly && (kind != "COMMIT" || !writes.empty()))) && !leads) {
                result = "ERROR READONLY " + member.id_ + "\r\n";
                failed = inTransaction;
            } else {
                const int life = member.life_;
                work(kind == "COMMIT" ? 3 : workMs_.load());
                const std::scoped_lock lock(mutex_);
                if (life != member.life_) {
                    break; // The process that took the statement is gone.
                }
                Run run{member.id_, id, text, startMs, nowMs(), false};
                run.lacking_ = member.empty_;
                run.term_ = member.term_;
                if (isWrite) {
                    writes.push_back({0, 0, id, item, data});
                }
                if (isRead) {
                    rows = "DATAROW none\r\n";
                    for (const Commit &commit : member.log_) {
                        if (commit.item_ == item && (member.primary_ || commit.appliedAt_ <= nowMs())) {
                            rows = "DATAROW " + commit.data_ + "\r\n";
                        }
                    }
                }
                if (kind == "COMMIT" || (isWrite && !inTransaction)) {
                    for (Commit commit : writes) {
                        const std::uint64_t number = member.log_.empty() ? initialPosition.second : member.log_.back().number_;
                        commit.term_ = member.term_;
                        commit.number_ = number + 1;
                        commit.receivedAt_ = nowMs() + 1;
                        commit.appliedAt_ = nowMs() + settings_.lagMs_;
                        member.log_.push_back(commit);
                        replicate(member);
                        run.commits_ = true;
                        run.term_ = member.term_;
                        run.replaced_ = member.term_ < latestTerm_;
                    }
                    writes.clear();
                    inTransaction = false;
                }
                result = "COMPLETE r" + std::to_string(++receipts_) + "." + id + "\r\n";
                record("member %s ran %s %.40s (%.1f ms)", member.id_.c_str(), id.c_str(), text.c_str(), run.endMs_ - run.startMs_);
                runs_.push_back(std::move(run));
            }
            if (kind == "COMMIT") {
                inTransaction = failed = false;
                writes.clear();
            }
        } else if (result == "COMPLETE -\r\n") {
            result = "ERROR MALFORMED unknown\r\n";
        }
        std::string answer;
        {
            const std::scoped_lock lock(mutex_);
            answer = rows + result + "READY " + (failed ? "E " : inTransaction ? "T " : "I ") + positionText(member, false) + "\r\n";
        }
        if (!held(from, member, fd) || !sendAll(fd, answer)) {
            break;
        }
    }
    const std::scoped_lock lock(mutex_);
    --member.connections_;
}

Cloud::Cloud(Group &group)
    : group_(group)
    , listener_(std::make_unique<Listener>([this](int fd) { serve(fd); }))
{
}

std::string Cloud::address() const
{
    return listener_->address();
}

void Cloud::serve(int fd)
{
    Reader reader(fd);
    while (const std::optional<HttpCall> call = readHttp(reader)) {
        boost::system::error_code error;
        const json::value body = json::parse(call->body_, error);
        const std::string id = error ? "" : std::string(body.at("id").as_string());
        const std::string service = error ? "" : std::string(body.at("service").as_string());
        if (onCall_) {
            onCall_();
        }
        record("cloud receives a call for %s with fence %s", id.c_str(), call->headers_.at("x-fencing-token").c_str());
        sleepMs(delayMs_);
        const int status = group_.promote(service, id);
        record("cloud %s %s id=%s holder=%s fence=%s -> %d",
               call->method_.c_str(),
               call->target_.c_str(),
               id.c_str(),
               call->headers_.at("x-duty-holder").c_str(),
               call->headers_.at("x-fencing-token").c_str(),
               status);
        sendAll(fd, httpResponse(status, ""));
    }
}

json::value configuration(int version, const std::vector<Route> &routes, const Group &group)
{
    json::array list;
    for (const Route &route : routes) {
        list.push_back(json::object{{"name", "r-" + route.host_},
                                    {"host", route.host_},
                                    {"path_prefix", "/"},
                                    {"type", route.type_},
                                    {"timeout_ms", route.timeoutMs_},
                                    {"target_latency_ms", route.targetMs_},
                                    {"priority", route.priority_},
                                    {"service", group.settings().service_},
                                    {"attempts", 2},
                                    {"max_staleness_ms", route.staleMs_}});
    }
    return json::object{{"version", version},
                        {"routes", list},
                        {"services",
                         json::array{json::object{{"name", group.settings().service_},
                                                  {"health_path", "/health"},
                                                  {"max_conns", group.settings().maxConnections_},
                                                  {"protocol", "h1"},
                                                  {"tls", false},
                                                  {"sync_replicas", 0}}}},
                        {"limits", json::object{{"tx_idle_ms", 3000}}}};
}

Vm::Vm(std::string name, std::string zone, std::string storeAddress, std::string cloudAddress, std::string folder, int graceS)
    : name_(std::move(name))
    , zone_(std::move(zone))
    , store_(std::move(storeAddress))
    , cloud_(std::move(cloudAddress))
    , folder_(std::move(folder))
    , grace_(graceS)
{
    // Connections of others come from 127.0.0.1, so that none of them takes a port of a VM.
    constexpr int perByte = 250;
    const int number = getpid();
    ip_ = "127." + std::to_string(number / perByte % perByte + 1) + "." + std::to_string(number % perByte + 1) + "." + std::to_string(processes.size() + 2);
    processes.push_back(this);
}

void endProcesses()
{
    for (Vm *vm : processes) {
        vm->end();
    }
}

void Vm::end()
{
    if (runs()) {
        kill(pid_, SIGCONT);
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
}

void Vm::setSeeds(const std::vector<std::string> &seeds)
{
    seeds_ = seeds;
}

std::string Vm::front() const
{
    return ip_ + ":8784";
}

std::string Vm::control() const
{
    return ip_ + ":8782";
}

void Vm::useRelay()
{
    const std::size_t dot = ip_.rfind('.');
    constexpr int relayOffset = 100;
    const std::string relayIp = ip_.substr(0, dot + 1) + std::to_string(std::stoi(ip_.substr(dot + 1)) + relayOffset);
    relay_ = relayIp + ":8782";
    const sockaddr_in here = *parseAddress(relay_);
    const sockaddr_in there = *parseAddress(control());
    const int datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    bind(datagrams, reinterpret_cast<const sockaddr *>(&here), sizeof here);
    std::thread([this, datagrams, there] {
        char data[65536];
        for (;;) {
            sockaddr_in from{};
            socklen_t size = sizeof from;
            const ssize_t length = recvfrom(datagrams, data, sizeof data, 0, reinterpret_cast<sockaddr *>(&from), &size);
            char text[INET_ADDRSTRLEN];
            inet_ntop(AF_INET, &from.sin_addr, text, sizeof text);
            std::string zone;
            for (const Vm *vm : processes) {
                zone = vm->ip() == text ? vm->zone() : zone;
            }
            if (length > 0 && !cuts().between(zone, zone_)) {
                sendto(datagrams, data, static_cast<std::size_t>(length), 0, reinterpret_cast<const sockaddr *>(&there), sizeof there);
            }
        }
    }).detach();
    const int listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    bind(listening, reinterpret_cast<const sockaddr *>(&here), sizeof here);
    listen(listening, 64);
    std::thread([this, listening] {
        for (;;) {
            const int in = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (in < 0) {
                return;
            }
            std::thread([this, in] {
                const std::string zone = zoneOfPeer(in);
                const int out = cuts().between(zone, zone_) ? -1 : connectTo(control());
                pollfd sides[2] = {{in, POLLIN, 0}, {out, POLLIN, 0}};
                char data[16384];
                while (out >= 0 && poll(sides, 2, -1) > 0) {
                    const int from = sides[0].revents != 0 ? in : out;
                    const ssize_t length = recv(from, data, sizeof data, 0);
                    if (length <= 0 || cuts().between(zone, zone_) || !sendAll(from == in ? out : in, std::string(data, static_cast<std::size_t>(length)))) {
                        break;
                    }
                }
                close(in);
                close(out);
            }).detach();
        }
    }).detach();
}

void Vm::writeSettings()
{
    // The fields of deploy/settings.json, filled in as the platform does it.
    json::array seeds;
    for (const std::string &seed : seeds_) {
        seeds.push_back(json::value(seed));
    }
    json::object settings{
        {"name", name_},
        {"availability_zone", zone_},
        {"caller_address", front()},
        {"peer_address", control()},
        {"platform_address", store_},
        {"seeds", seeds},
        {"metrics_address", ip_ + ":7440"},
        {"log_level", "info"},
        {"sessions", json::object{{"vm_name", name_}, {"ready_address", ip_ + ":8785"}, {"promotion_address", cloud_}, {"drain_ms", grace_ * 1000}}}};
    if (!relay_.empty()) {
        settings["advertised_address"] = relay_;
    }
    std::ofstream(folder_ + "/" + name_ + ".json") << json::serialize(settings);
}

void Vm::start()
{
    writeSettings();
    const std::string settings = folder_ + "/" + name_ + ".json";
    const std::string log = folder_ + "/" + name_ + ".log";
    status_.reset();
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with this program, however that ends.
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        setenv("FIGWARD_SETTINGS", settings.c_str(), 1);
        const char *program = "target/figward";
        execl(program, program, "serve", "--settings", settings.c_str(), static_cast<char *>(nullptr));
        _exit(127);
    }
    record("process %s starts, pid %d, clients at %s", name_.c_str(), pid_, front().c_str());
}

void Vm::signal(int number)
{
    record("process %s gets signal %d", name_.c_str(), number);
    kill(pid_, number);
}

bool Vm::runs()
{
    if (pid_ < 0 || status_) {
        return false;
    }
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
        status_ = status;
        record("process %s %s", name_.c_str(), ending().c_str());
        return false;
    }
    return true;
}

bool Vm::endedBySignal() const
{
    return status_ && WIFSIGNALED(*status_);
}

std::string Vm::ending()
{
    if (!status_) {
        return "runs";
    }
    return WIFSIGNALED(*status_) ? "ended by signal " + std::to_string(WTERMSIG(*status_)) : "exited with " + std::to_string(WEXITSTATUS(*status_));
}

bool Vm::ready()
{
    const int fd = connectTo(ip_ + ":8785");
    if (fd < 0) {
        return false;
    }
    sendAll(fd, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    Reader reader(fd);
    const std::optional<std::string> line = reader.line(1000);
    close(fd);
    return line && line->find(" 200") != std::string::npos;
}

bool Vm::awaitReady(double ms)
{
    const double until = nowMs() + ms;
    while (nowMs() < until) {
        if (ready()) {
            record("process %s is ready", name_.c_str());
            return true;
        }
        sleepMs(50);
    }
    return false;
}

double Vm::residentMb()
{
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with("VmRSS:")) {
            return std::stod(line.substr(6)) / 1024;
        }
    }
    return 0;
}

Client::~Client()
{
    close();
}

void Client::close()
{
    if (fd_ >= 0) {
        ::close(fd_);
    }
    fd_ = -1;
}

bool Client::connectOnly(const std::string &address)
{
    close();
    fd_ = connectTo(address);
    reader_ = std::make_unique<Reader>(fd_);
    return fd_ >= 0;
}

bool Client::open(const std::string &address, const std::string &database, int timeoutMs)
{
    if (!connectOnly(address) || !sendAll(fd_, "START " + database + " u1\r\n")) {
        return false;
    }
    const std::optional<std::string> answer = reader_->line(timeoutMs);
    return answer && answer->starts_with("READY ");
}

bool Client::send(const std::string &text)
{
    return sendAll(fd_, text);
}

std::optional<std::string> Client::line(int timeoutMs)
{
    return reader_->line(timeoutMs);
}

bool Client::timedOut() const
{
    return reader_->timedOut();
}

Answer Client::read(int timeoutMs)
{
    Answer answer;
    const double until = nowMs() + timeoutMs;
    for (;;) {
        const std::optional<std::string> line = reader_->line(std::max(0, static_cast<int>(until - nowMs())));
        if (!line) {
            answer.closed_ = !reader_->timedOut();
            return answer;
        }
        if (line->starts_with("DATAROW ")) {
            answer.rows_.push_back(line->substr(8));
        } else if (line->starts_with("READY ")) {
            answer.complete_ = true;
            answer.state_ = line->substr(6, 1);
            return answer;
        } else {
            answer.result_ = *line;
        }
    }
}

Answer Client::query(const std::string &id, const std::string &text, int timeoutMs)
{
    if (!send("QUERY " + id + " " + text + "\r\n")) {
        Answer answer;
        answer.closed_ = true;
        return answer;
    }
    return read(timeoutMs);
}

} // namespace Review
