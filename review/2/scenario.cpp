/** \file
 * A group with a synchronous replica: one replica reports that it leaves, the other one receives nothing for a while, and the primary crashes meanwhile. All
 * acknowledged commits are then in the log of the leaving member, which still runs.
 */
#include "Site.h"

using namespace Review;

namespace {

constexpr const char *primaryId = "i-a";
constexpr const char *leavingId = "i-b";
constexpr const char *otherId = "i-c";

/** Ids of the writes that were acknowledged to clients. */
using Acknowledged = std::set<std::string>;

awaitable<void> writeSteadily(Site &site, std::size_t client, Acknowledged &acknowledged, const bool &stopped)
{
    const SiteVm &vm = site.vms_[client % site.vms_.size()];
    ClientSession session(co_await asio::this_coro::executor);
    bool open = co_await session.open(vm.process_->frontPort(), "ledger");
    for (unsigned number = 0; !stopped; ++number) {
        if (!open) {
            co_await pause(milliseconds(100));
            session.close();
            session = ClientSession(co_await asio::this_coro::executor);
            open = co_await session.open(vm.process_->frontPort(), "ledger");
            continue;
        }
        const std::string id = "w" + std::to_string(client) + "-" + std::to_string(number);
        const Answer answer = co_await session.run(id, "WRITE k" + std::to_string(client) + " v" + std::to_string(number));
        site.record_.line("write " + id + " at " + vm.process_->name() + ": " + (answer.complete_ ? answer.result_ : "no answer"));
        if (answer.succeeded()) {
            acknowledged.insert(id);
        }
        open = answer.complete_;
        co_await pause(milliseconds(60));
    }
}

awaitable<Verdict> scenario(Site &site)
{
    const bool trouble = withTrouble();
    Acknowledged acknowledged;
    std::set<std::string> lost;
    bool promoted = false;
    bool stopped = false;
    site.group_.onPromoted_ = [&](const Member &member) {
        promoted = true;
        std::set<std::string> kept;
        for (const Commit &commit : member.log_) {
            kept.insert(commit.writes_.begin(), commit.writes_.end());
        }
        for (const std::string &id : acknowledged) {
            if (!kept.contains(id)) {
                lost.insert(id);
                site.record_.line("LOST: the acknowledged write " + id + " is not in the log of " + member.id_ + ", which was promoted");
            }
        }
    };
    if (!co_await site.start()) {
        co_return Verdict::NotRun;
    }
    constexpr std::size_t clients = 6;
    for (std::size_t client = 0; client < clients; ++client) {
        asio::co_spawn(site.context_, writeSteadily(site, client, acknowledged, stopped), asio::detached);
    }
    const double begin = site.record_.now();
    co_await site.until(begin + 2000);
    if (acknowledged.empty()) {
        co_return Verdict::NotRun;
    }
    if (trouble) {
        site.group_.drain(leavingId);
    }
    co_await site.until(begin + 4000);
    if (trouble) {
        site.group_.member(otherId).receivesNothing_ = true;
        site.record_.line(std::string("member ") + otherId + " receives nothing from now on");
    }
    co_await site.until(begin + 6000);
    if (trouble) {
        site.group_.crash(primaryId);
    }
    co_await site.until(begin + 10000);
    stopped = true;
    site.record_.line("acknowledged writes: " + std::to_string(acknowledged.size()) + ", lost: " + std::to_string(lost.size())
                      + (promoted ? "" : ", nothing was promoted") + ", the leaving member " + (site.group_.member(leavingId).up_ ? "still runs" : "has ended"));
    co_return lost.empty() ? Verdict::Held : Verdict::Broken;
}

} // namespace

int main(int /*argc*/, char **argv)
{
    GroupOptions options{"huvo11a", {{primaryId, "zone-a"}, {leavingId, "zone-b"}, {otherId, "zone-c"}}, 1};
    Site site(argv[1], argv[2], options, {"zone-a", "zone-b", "zone-c"});
    return runScenario(site, scenario);
}
