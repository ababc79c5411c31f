// The cases of this review. Each plays a small deployment and returns 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
#include "world.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>

using namespace Review;

namespace {

bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Three VMs in three zones before one service of three members.
struct Deployment
{
    explicit Deployment(const std::string &folder, Group::Settings settings = {}, int graceS = 6)
        : group_(store_, settings)
        , cloud_(group_)
    {
        store_.put("config", "main", configuration(7, routes(), group_));
        for (int index = 0; index < 3; ++index) {
            doors_.push_back(&store_.addDoor(std::string("zone-") + static_cast<char>('a' + index)));
            vms_.push_back(std::make_unique<Vm>("front-" + std::to_string(index),
                                                std::string("zone-") + static_cast<char>('a' + index),
                                                doors_.back()->listener_->address(),
                                                cloud_.address(),
                                                folder,
                                                graceS));
        }
        std::vector<std::string> seeds;
        for (const auto &vm : vms_) {
            seeds.push_back(vm->control());
        }
        for (const auto &vm : vms_) {
            vm->setSeeds(seeds);
        }
    }

    static std::vector<Route> routes()
    {
        return {{"bind", "primary", 1000, 0, 1, 200}, {"lookup", "bounded_staleness", 3000, 1500, 2, 800}, {"review", "read_your_writes", 1000, 2500, 2, 400}};
    }

    bool start()
    {
        for (const auto &vm : vms_) {
            vm->start();
        }
        for (const auto &vm : vms_) {
            if (!vm->awaitReady(15000)) {
                std::cerr << "a VM does not get ready\n";
                return false;
            }
        }
        return true;
    }

    /// Waits until a write succeeds at each VM.
    bool awaitService()
    {
        for (std::size_t index = 0; index < vms_.size(); ++index) {
            bool served = false;
            for (int attempt = 0; attempt < 100 && !served; ++attempt) {
                Client client;
                const std::string id = "w" + std::to_string(index) + "n" + std::to_string(attempt);
                served = client.open(vms_[index]->front(), "bind") && client.query(id, "WRITE warm 1", 3000).result_.starts_with("COMPLETE");
                if (!served) {
                    sleepMs(100);
                }
            }
            if (!served) {
                std::cerr << "no write is served\n";
                return false;
            }
        }
        return true;
    }

    Store store_;
    Group group_;
    Cloud cloud_;
    std::vector<Store::Door *> doors_;
    std::vector<std::unique_ptr<Vm>> vms_;
};

/// Clients that write in turn at all VMs until they are told to stop.
class Writers
{
public:
    struct Write
    {
        std::string id_;
        double sentMs_ = 0;
        double answeredMs_ = 0;
        std::string result_;
    };
    Writers(Deployment &site, int perVm, double pauseMs)
    {
        for (std::size_t vm = 0; vm < site.vms_.size(); ++vm) {
            for (int number = 0; number < perVm; ++number) {
                threads_.emplace_back([this, &site, vm, number, pauseMs] { run(*site.vms_[vm], vm, number, pauseMs); });
            }
        }
    }
    std::vector<Write> finish()
    {
        stop_ = true;
        for (std::thread &thread : threads_) {
            thread.join();
        }
        return writes_;
    }

private:
    void run(Vm &vm, std::size_t index, int number, double pauseMs)
    {
        for (int sequence = 0; !stop_;) {
            Client client;
            if (!client.open(vm.front(), "bind")) {
                sleepMs(50);
                continue;
            }
            for (bool open = true; open && !stop_; ++sequence) {
                const std::string id = "v" + std::to_string(index) + "c" + std::to_string(number) + "n" + std::to_string(sequence);
                Write write{id, nowMs(), 0, ""};
                const Answer answer = client.query(id, "WRITE item" + std::to_string(number) + " " + id, 5000);
                write.answeredMs_ = nowMs();
                write.result_ = answer.complete_ ? answer.result_ : "no answer";
                open = answer.complete_;
                record("client %s -> %s", id.c_str(), write.result_.c_str());
                {
                    const std::scoped_lock lock(mutex_);
                    writes_.push_back(write);
                }
                sleepMs(pauseMs);
            }
        }
    }
    std::atomic<bool> stop_{false};
    std::mutex mutex_;
    std::vector<Write> writes_;
    std::vector<std::thread> threads_;
};

/// Counts acknowledged writes that were committed at a primary after a promotion had taken effect, and those that the log lacks in the end.
int judgeWrites(Deployment &site, const std::vector<Writers::Write> &writes)
{
    std::map<std::string, Run> commits;
    for (const Run &run : site.group_.runs()) {
        if (run.commits_) {
            commits[run.id_] = run;
        }
    }
    std::map<std::string, int> kept;
    for (const Commit &commit : site.group_.finalLog()) {
        ++kept[commit.id_];
    }
    int acknowledged = 0;
    int stale = 0;
    int gone = 0;
    for (const Writers::Write &write : writes) {
        if (!write.result_.starts_with("COMPLETE")) {
            continue;
        }
        ++acknowledged;
        const Run &run = commits[write.id_];
        const bool isGone = !kept.contains(write.id_);
        gone += isGone ? 1 : 0;
        if (run.replaced_) {
            ++stale;
            record("ONE: %s was acknowledged at %.1f, committed at %s in term %llu at %.1f after a later term had begun; %s",
                   write.id_.c_str(),
                   write.answeredMs_,
                   run.member_.c_str(),
                   static_cast<unsigned long long>(run.term_),
                   run.endMs_,
                   isGone ? "it is lost" : "it is kept");
        }
    }
    record("acknowledged %d, at a replaced primary %d, acknowledged and not in the final log %d", acknowledged, stale, gone);
    std::cout << "acknowledged " << acknowledged << ", at a replaced primary " << stale << ", not in the final log " << gone << "\n";
    if (acknowledged < 50) {
        return 2;
    }
    return stale > 0 ? 1 : 0;
}

// The primary crashes and is back after a moment, while the platform is slow to carry out promotions.
int slowPromotion(const std::string &folder, double delayMs, double downMs)
{
    Group::Settings settings;
    settings.workMs_ = 11;
    Deployment &site = *new Deployment(folder, settings); // Its threads run until the process ends.
    if (!site.start() || !site.awaitService()) {
        return 2;
    }
    Writers writers(site, 3, 15);
    sleepMs(3000);
    if (trouble()) {
        site.cloud_.delayMs_ = delayMs;
        site.group_.crash(0);
        sleepMs(downMs);
        site.group_.restart(0);
    }
    sleepMs(12000);
    return judgeWrites(site, writers.finish());
}

// The primary's process starts again under its id and holds nothing of before.
int rebirth(const std::string &folder, double downMs)
{
    Group::Settings settings;
    settings.workMs_ = 11;
    Deployment &site = *new Deployment(folder, settings); // Its threads run until the process ends.
    if (!site.start() || !site.awaitService()) {
        return 2;
    }
    Client writer;
    if (!writer.open(site.vms_[0]->front(), "bind") || !writer.query("known", "WRITE item value-1").result_.starts_with("COMPLETE")) {
        return 2;
    }
    record("client: the write of value-1 is acknowledged");
    sleepMs(500);
    struct Read
    {
        std::string id_;
        double sentMs_ = 0;
        Answer answer_;
    };
    std::mutex mutex;
    std::vector<Read> reads;
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (std::size_t vm = 0; vm < site.vms_.size(); ++vm) {
        clients.emplace_back([&, vm] {
            for (int sequence = 0; !stop; ++sequence) {
                Client client;
                if (!client.open(site.vms_[vm]->front(), "bind")) {
                    sleepMs(50);
                    continue;
                }
                for (bool open = true; open && !stop; ++sequence) {
                    const std::string id = "r" + std::to_string(vm) + "n" + std::to_string(sequence);
                    Read read{id, nowMs(), client.query(id, "READ item", 5000)};
                    open = read.answer_.complete_;
                    record(
                        "client %s -> %s %s", id.c_str(), read.answer_.result_.c_str(), read.answer_.rows_.empty() ? "" : read.answer_.rows_.front().c_str());
                    {
                        const std::scoped_lock lock(mutex);
                        reads.push_back(std::move(read));
                    }
                    sleepMs(20);
                }
            }
        });
    }
    sleepMs(2000);
    if (trouble()) {
        site.group_.restartEmpty(0, downMs);
    }
    sleepMs(8000);
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    std::map<std::string, Run> runs;
    for (const Run &run : site.group_.runs()) {
        runs[run.id_] = run;
    }
    int served = 0;
    int stale = 0;
    for (const Read &read : reads) {
        if (!read.answer_.result_.starts_with("COMPLETE")) {
            continue;
        }
        ++served;
        if (read.answer_.rows_ != std::vector<std::string>{"value-1"}) {
            ++stale;
            record("STALE: %s was sent at %.1f, ran at %s, whose log lacks the commit, and its client got %s",
                   read.id_.c_str(),
                   read.sentMs_,
                   runs[read.id_].member_.c_str(),
                   read.answer_.rows_.empty() ? "no row" : read.answer_.rows_.front().c_str());
        }
    }
    record("reads served %d, of these stale %d", served, stale);
    std::cout << "reads served " << served << ", stale " << stale << "\n";
    return served < 50 ? 2 : stale > 0 ? 1 : 0;
}

// An entry of another writer, with bytes that can't be read, stands among those of the members; then all processes are killed and start again.
int foreignEntry(const std::string &folder)
{
    Deployment &site = *new Deployment(folder); // Its threads run until the process ends.
    if (!site.start() || !site.awaitService()) {
        return 2;
    }
    const auto ask = [&](const char *phase) {
        constexpr int rounds = 8;
        int served = 0;
        int asked = 0;
        for (int round = 0; round < rounds; ++round) {
            for (const auto &vm : site.vms_) {
                Client client;
                ++asked;
                const std::string id = std::string(phase) + "-" + vm->name() + "-" + std::to_string(round);
                const std::string text = round % 2 == 0 ? "WRITE item x" : "READ item";
                const Answer answer = client.open(vm->front(), "bind", 2000) ? client.query(id, text, 2000) : Answer();
                served += answer.result_.starts_with("COMPLETE") ? 1 : 0;
                record("client %s -> %s", id.c_str(), answer.complete_ ? answer.result_.c_str() : "no session or no answer");
            }
        }
        record("%s: asked %d, served %d", phase, asked, served);
        return std::pair(asked, served);
    };
    if (const char *bytes = std::getenv("UNREADABLE")) {
        site.store_.unreadable_ = bytes;
    }
    const auto [askedBefore, servedBefore] = ask("before");
    if (trouble()) {
        site.store_.put(
            "servers",
            "j-other",
            json::object{
                {"service", "led@unreadable@ger"}, {"address", "127.0.0.1:9"}, {"zone", "zone-a"}, {"state", "ready"}, {"db_role", "replica"}, {"seq", 1}});
        record("another writer's entry j-other stands among the members, with bytes that are no text");
    }
    sleepMs(5000);
    const auto [askedMeanwhile, servedMeanwhile] = ask("meanwhile");
    for (const auto &vm : site.vms_) {
        vm->signal(SIGKILL);
    }
    sleepMs(600);
    for (const auto &vm : site.vms_) {
        vm->runs();
        vm->start();
    }
    constexpr double recoveryMs = 15000;
    sleepMs(recoveryMs + 1000);
    for (const auto &vm : site.vms_) {
        record("process %s is %s", vm->name().c_str(), vm->ready() ? "ready" : "not ready");
    }
    const auto [asked, served] = ask("after");
    std::cout << "served before " << servedBefore << "/" << askedBefore << ", meanwhile " << servedMeanwhile << "/" << askedMeanwhile << ", after recovery_s "
              << served << "/" << asked << "\n";
    if (servedBefore * 4 < askedBefore) {
        return 2;
    }
    return served * 4 < asked ? 1 : 0;
}

/// The VM that the store names as leader of the group; -1 if there is none.
int leaderOf(Deployment &site)
{
    const std::optional<json::value> claim = site.store_.get("figward-leaders", site.group_.settings().service_);
    const std::string name = claim ? std::string(claim->at("leader").as_string()) : "";
    for (std::size_t index = 0; index < site.vms_.size(); ++index) {
        if (site.vms_[index]->name() == name) {
            return static_cast<int>(index);
        }
    }
    return -1;
}

/// Stops VMs in turn, as planned work, until the VM \p wanted leads.
bool moveLeadership(Deployment &site, int wanted)
{
    for (int attempt = 0; attempt < 4; ++attempt) {
        sleepMs(1000);
        const int leader = leaderOf(site);
        if (leader == wanted) {
            return true;
        }
        if (leader < 0) {
            continue;
        }
        Vm &vm = *site.vms_[static_cast<std::size_t>(leader)];
        vm.signal(SIGTERM);
        while (vm.runs()) {
            sleepMs(50);
        }
        vm.start();
        vm.awaitReady(10000);
    }
    return leaderOf(site) == wanted;
}

/// An operation of a client, as the client saw it.
struct Operation
{
    std::string id_;
    bool write_ = false;
    double sentMs_ = 0;
    double answeredMs_ = 0;
    bool done_ = false;
};

/// One client for each VM, which writes an item of its VM and reads the one that the clients of the first VM write.
class ReadersAndWriters
{
public:
    explicit ReadersAndWriters(Deployment &site)
    {
        for (std::size_t vm = 0; vm < site.vms_.size(); ++vm) {
            threads_.emplace_back([this, &site, vm] { run(*site.vms_[vm], vm); });
        }
    }
    std::vector<Operation> finish()
    {
        stop_ = true;
        for (std::thread &thread : threads_) {
            thread.join();
        }
        return operations_;
    }

private:
    void run(Vm &vm, std::size_t index)
    {
        for (int sequence = 0; !stop_; ++sequence) {
            Client client;
            if (!client.open(vm.front(), "bind")) {
                sleepMs(50);
                continue;
            }
            for (bool open = true; open && !stop_; ++sequence) {
                Operation operation{"v" + std::to_string(index) + "n" + std::to_string(sequence), sequence % 2 == 0, nowMs()};
                const std::string text = operation.write_ ? "WRITE item" + std::to_string(index) + " " + operation.id_ : "READ item0";
                const Answer answer = client.query(operation.id_, text, 5000);
                operation.answeredMs_ = nowMs();
                operation.done_ = answer.result_.starts_with("COMPLETE");
                open = answer.complete_;
                record("client %s %s -> %s %s",
                       operation.id_.c_str(),
                       text.c_str(),
                       answer.complete_ ? answer.result_.c_str() : "no answer",
                       answer.rows_.empty() ? "" : answer.rows_.front().c_str());
                {
                    const std::scoped_lock lock(mutex_);
                    operations_.push_back(std::move(operation));
                }
                sleepMs(10);
            }
        }
    }
    std::atomic<bool> stop_{false};
    std::mutex mutex_;
    std::vector<Operation> operations_;
    std::vector<std::thread> threads_;
};

// Two zones are cut off one after the other, so that the new primary's term can't be recorded, and that primary crashes.
int unrecordedTerm(const std::string &folder)
{
    constexpr int successorZone = 1;
    constexpr std::uint64_t successorTerm = 4;
    Group::Settings settings;
    settings.workMs_ = 11;
    Deployment &site = *new Deployment(folder, settings); // Its threads run until the process ends.
    for (const auto &vm : site.vms_) {
        vm->useRelay();
    }
    if (!site.start() || !site.awaitService() || !moveLeadership(site, successorZone)) {
        return 2;
    }
    std::atomic<bool> called{false};
    site.cloud_.onCall_ = [&] { called = true; };
    ReadersAndWriters clients(site);
    sleepMs(2000);
    std::vector<Commit> successorLog;
    if (trouble()) {
        const double start = nowMs();
        cuts().set({"zone-a"}); // The primary's.
        while (!called && nowMs() < start + 6000) {
            sleepMs(1);
        }
        sleepMs(150);
        cuts().set({"zone-b"}); // One zone at a time: the first is back.
        sleepMs(2200);
        const int successor = site.group_.indexOf(site.group_.primary());
        successorLog = site.group_.logOf(successor);
        site.group_.crash(successor);
        sleepMs(2000);
        cuts().set({});
        sleepMs(3500);
    } else {
        sleepMs(10000);
    }
    const std::vector<Operation> operations = clients.finish();
    std::set<std::string> kept;
    for (const Commit &commit : site.group_.finalLog()) {
        kept.insert(commit.id_);
    }
    std::set<std::string> known;
    for (const Commit &commit : successorLog) {
        known.insert(commit.id_);
    }
    std::map<std::string, Run> runs;
    for (const Run &run : site.group_.runs()) {
        runs[run.id_] = run;
    }
    int served = 0;
    int stale = 0;
    for (const Operation &read : operations) {
        if (read.write_ || !read.done_) {
            continue;
        }
        ++served;
        const Run &run = runs[read.id_];
        if (successorLog.empty() || run.member_ != site.group_.memberId(successorZone) || run.term_ != successorTerm) {
            continue;
        }
        const auto isMissing = [&](const Operation &write) {
            return write.write_ && write.done_ && write.answeredMs_ < read.sentMs_ && kept.contains(write.id_) && !known.contains(write.id_);
        };
        const auto missing = std::find_if(operations.begin(), operations.end(), isMissing);
        if (missing != operations.end()) {
            ++stale;
            record("STALE: %s was sent at %.1f and ran at %s in term 4, whose log lacks %s, acknowledged at %.1f and in the final log",
                   read.id_.c_str(),
                   read.sentMs_,
                   run.member_.c_str(),
                   missing->id_.c_str(),
                   missing->answeredMs_);
        }
    }
    record("reads served %d, of these stale %d", served, stale);
    std::cout << "reads served " << served << ", stale " << stale << "\n";
    return served < 50 ? 2 : stale > 0 ? 1 : 0;
}

} // namespace

int main(int count, char **arguments)
{
    if (count < 4) {
        std::cerr << "CASE RECORD FOLDER\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    openRecord(arguments[2]);
    const std::string name = arguments[1];
    const std::string folder = arguments[3];
    int result = 2;
    if (name == "promotion") {
        const auto option = [](const char *variable, double otherwise) { return std::getenv(variable) ? std::atof(std::getenv(variable)) : otherwise; };
        result = slowPromotion(folder, option("DELAY_MS", 1500), option("DOWN_MS", 600));
    }
    if (name == "rebirth") {
        result = rebirth(folder, std::getenv("DOWN_MS") ? std::atof(std::getenv("DOWN_MS")) : 100);
    }
    if (name == "entry") {
        result = foreignEntry(folder);
    }
    if (name == "term") {
        result = unrecordedTerm(folder);
    }
    endProcesses();
    record("result %d", result);
    std::cout.flush();
    std::_Exit(result);
}
