// Small stand-ins of the users' platform, its members and its clients, for the scripts of this review.
// Everything runs on loopback addresses and the real clock. The programs of the project run as separate processes.
#pragma once

#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Milliseconds since the start of the run.
double nowMs();
/// Adds a line with the time to the record.
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void openRecord(const std::string &file);
void sleepMs(double ms);

/// A listening socket on 127.0.0.1 with a free port, and one thread for each connection.
class Listener
{
public:
    explicit Listener(std::function<void(int)> onConnection);
    ~Listener();
    int port() const
    {
        return port_;
    }
    std::string address() const;
    /// Closes the listening socket and all open connections: the host refuses connections.
    void shut();
    /// Listens again at the same port.
    void reopen();
    /// Resets all open connections.
    void dropAll();

private:
    void acceptLoop(int fd);
    std::function<void(int)> onConnection_;
    int port_ = 0;
    std::atomic<int> fd_{-1};
    std::mutex mutex_;
    std::set<int> open_;
};

/// Reads lines or counted bytes from a socket.
class Reader
{
public:
    explicit Reader(int fd)
        : fd_(fd)
    {
    }
    /// Next line without CR LF; nothing at the end of the connection or after the timeout.
    std::optional<std::string> line(int timeoutMs = -1);
    std::optional<std::string> bytes(std::size_t count);
    bool timedOut() const
    {
        return timedOut_;
    }

private:
    bool fill(int timeoutMs);
    int fd_;
    bool timedOut_ = false;
    std::string buffer_;
};
bool sendAll(int fd, const std::string &text);

/// Which availability zones are cut off from all others, and from the platform's store.
class Cuts
{
public:
    void set(std::set<std::string> zones);
    bool between(const std::string &zone, const std::string &other) const;
    bool concerns(const std::string &zone) const;

private:
    mutable std::mutex mutex_;
    std::set<std::string> zones_;
};
Cuts &cuts();

/// The platform's metadata store. Each VM has a door of its own, so that a fault can concern some VMs only.
class Store
{
public:
    enum class Fault { None, Silent, Busy, Reset };
    struct Door
    {
        std::unique_ptr<Listener> listener_;
        std::atomic<Fault> fault_{Fault::None};
        std::string zone_; ///< Zone of the VM that comes through it.
    };
    Store();
    ~Store();
    Door &addDoor(const std::string &zone = {});
    void put(const std::string &kind, const std::string &name, json::value spec);
    void remove(const std::string &kind, const std::string &name);
    std::optional<json::value> get(const std::string &kind, const std::string &name);
    /// What the store returns in place of "@unreadable@" in an object: by default two bytes that are not UTF-8.
    std::string unreadable_ = "\xff\xfe";

private:
    struct Object
    {
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        json::value spec_;
    };
    struct Change
    {
        std::uint64_t revision_ = 0;
        std::string kind_;
        json::object event_;
    };
    void serve(Door &door, int fd);
    std::pair<int, std::string> answer(const std::string &method, const std::string &target, const std::string &body);
    json::object render(const std::string &name, const Object &object) const;
    void changed(const std::string &kind, const std::string &name, bool deleted);

    std::mutex mutex_;
    std::condition_variable change_;
    std::uint64_t revision_ = 100;
    std::map<std::string, std::map<std::string, Object>> kinds_;
    std::vector<Change> changes_;
    std::list<std::unique_ptr<Door>> doors_;
    std::atomic<bool> ends_{false};
};

struct Commit
{
    std::uint64_t term_ = 0;
    std::uint64_t number_ = 0;
    std::string id_;
    std::string item_;
    std::string data_;
    double receivedAt_ = 0;
    double appliedAt_ = 0;
};

/// What a member ran for a client.
struct Run
{
    std::string member_;
    std::string id_;
    std::string text_;
    double startMs_ = 0;
    double endMs_ = 0;
    bool commits_ = false;
    std::uint64_t term_ = 0;
    bool replaced_ = false; ///< Another member led a later term already.
    bool lacking_ = false; ///< The member's log holds nothing of what was committed before it started again.
};

/// One service: a primary and its replicas.
class Group
{
public:
    struct Settings
    {
        std::string service_ = "ledger";
        int members_ = 3;
        int slots_ = 5;
        int maxConnections_ = 34;
        double workMs_ = 30;
        double handshakeMs_ = 12;
        double lagMs_ = 8;
    };
    Group(Store &store, Settings settings);
    ~Group();
    void stop();
    std::string primary();
    std::vector<Run> runs();
    std::string memberId(int index) const;
    /// The member's process ends without a word.
    void crash(int index);
    /// It comes back with its log: as a replica if another member was promoted.
    void restart(int index);
    /// Its process starts again under the same id and holds nothing of before.
    void restartEmpty(int index, double downMs);
    std::vector<Commit> finalLog();
    std::vector<Commit> logOf(int index);
    int indexOf(const std::string &id) const;
    void setState(int index, const std::string &state);
    const Settings &settings() const
    {
        return settings_;
    }
    std::atomic<double> workMs_;
    /// Answers a call to promote; returns the HTTP status.
    int promote(const std::string &service, const std::string &id);

private:
    struct Member
    {
        std::string id_;
        std::string zone_;
        std::unique_ptr<Listener> listener_;
        bool primary_ = false;
        bool up_ = true;
        std::atomic<int> life_{0}; ///< Counts its crashes.
        std::uint64_t term_ = 3;
        std::vector<Commit> log_;
        int busy_ = 0;
        int connections_ = 0;
        std::string state_ = "ready";
        bool empty_ = false; ///< It started again and has received nothing since.
        std::int64_t born_ = 0;
        double reachesLeaderSince_ = -1;
        std::uint64_t seq_ = 0;
    };
    void serve(Member &member, int fd);
    void beat();
    std::pair<std::uint64_t, std::uint64_t> position(const Member &member, bool received) const;
    void writeEntry(Member &member);
    void follow(Member &member);
    void followLeader();
    void replicate(const Member &primary);
    bool contains(const Member &member, const std::pair<std::uint64_t, std::uint64_t> &point) const;
    bool held(const std::string &zone, const Member &member, int fd) const;
    std::string positionText(const Member &member, bool received) const;

    Store &store_;
    Settings settings_;
    std::mutex mutex_;
    std::condition_variable slotFree_;
    std::vector<std::unique_ptr<Member>> members_;
    std::vector<Run> runs_;
    std::uint64_t receipts_ = 0;
    std::atomic<bool> ends_{false};
    std::thread beats_;
    std::vector<std::thread> promotions_;
    std::uint64_t latestTerm_ = 3;
};

/// The platform's call that promotes a member.
class Cloud
{
public:
    explicit Cloud(Group &group);
    std::string address() const;
    /// Time that the platform takes for a call before it has an effect.
    std::atomic<double> delayMs_{4};
    /// Called when a call has been received.
    std::function<void()> onCall_;

private:
    void serve(int fd);
    Group &group_;
    std::unique_ptr<Listener> listener_;
};

/// A route of the configuration.
struct Route
{
    std::string host_;
    std::string type_;
    int timeoutMs_ = 1000;
    int staleMs_ = 1500;
    int priority_ = 1;
    int targetMs_ = 400;
};
json::value configuration(int version, const std::vector<Route> &routes, const Group &group);

/// One process of the project, started with the command of the deploy file.
class Vm
{
public:
    Vm(std::string name, std::string zone, std::string storeAddress, std::string cloudAddress, std::string folder, int graceS = 6);
    /// Ends the process at once.
    void end();
    void setSeeds(const std::vector<std::string> &seeds);
    /// Puts a relay before the VM's address for other VMs, which drops what a cut zone may not pass.
    void useRelay();
    const std::string &zone() const
    {
        return zone_;
    }
    const std::string &ip() const
    {
        return ip_;
    }
    void start();
    void signal(int number);
    /// Whether the process still runs; takes note of its end.
    bool runs();
    /// What waitpid() reported.
    std::string ending();
    bool endedBySignal() const;
    int pid() const
    {
        return pid_;
    }
    bool ready();
    bool awaitReady(double ms);
    double residentMb();
    std::string front() const;
    std::string control() const;
    const std::string &name() const
    {
        return name_;
    }

private:
    void writeSettings();
    std::string name_, zone_, store_, cloud_, folder_;
    std::string ip_; ///< A loopback address of its own.
    std::string relay_; ///< Address of the relay; empty without one.
    int grace_;
    std::vector<std::string> seeds_;
    int pid_ = -1;
    std::optional<int> status_;
};

/// Ends all processes that were started.
void endProcesses();

struct Answer
{
    bool complete_ = false; ///< The answer ended with READY.
    bool closed_ = false; ///< The connection ended before.
    std::string result_; ///< The COMPLETE or ERROR line.
    std::string state_;
    std::vector<std::string> rows_;
};

/// A client's session.
class Client
{
public:
    ~Client();
    bool open(const std::string &address, const std::string &database, int timeoutMs = 2000);
    /// Opens the connection only.
    bool connectOnly(const std::string &address);
    bool send(const std::string &text);
    Answer read(int timeoutMs);
    Answer query(const std::string &id, const std::string &text, int timeoutMs = 8000);
    std::optional<std::string> line(int timeoutMs);
    bool timedOut() const;
    void close();
    int fd() const
    {
        return fd_;
    }

private:
    int fd_ = -1;
    std::unique_ptr<Reader> reader_;
};

} // namespace Review
