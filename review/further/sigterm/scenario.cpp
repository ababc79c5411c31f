/** \file
 * A VM gets SIGTERM while clients use their sessions without long pauses. The process ends with statements under way that were sent seconds after the signal.
 */
#include "Site.h"

using namespace Review;

namespace {

constexpr double graceMillis = 6000;
/** The time budget of a read of the route. */
constexpr double budgetMillis = 3000;

struct Judgement
{
    std::optional<double> termAt_; ///< When the VM got SIGTERM.
    unsigned answered_ = 0;
    unsigned broken_ = 0;
    std::set<std::string> reached_; ///< Ids of the statements that reached a member.
};

/** Reads without pauses worth mentioning, like a worker that takes one job after the other; goes on at another VM when its session is closed. */
awaitable<void> readWithoutPause(Site &site, std::size_t client, Judgement &judgement, const bool &stopped)
{
    std::size_t vm = 0;
    for (unsigned number = 0; !stopped;) {
        ClientSession session(co_await asio::this_coro::executor);
        const VmProcess &process = *site.vms_[vm].process_;
        bool open = co_await session.open(process.frontPort(), "history");
        while (open && !stopped) {
            const std::string id = "r" + std::to_string(client) + "-" + std::to_string(number++);
            const double sentAt = site.record_.now();
            const Answer answer = co_await session.run(id, "READ k" + std::to_string(number));
            const double endedAt = site.record_.now();
            site.record_.line("read " + id + " at " + process.name() + " after " + std::to_string(static_cast<int>(endedAt - sentAt))
                              + " ms: " + (answer.complete_ ? answer.result_ : "the connection ends without an answer"));
            judgement.answered_ += answer.succeeded() ? 1 : 0;
            open = answer.complete_;
            const bool aroundTerm = judgement.termAt_ && vm == 0 && sentAt > *judgement.termAt_ && endedAt < *judgement.termAt_ + graceMillis + 1000;
            if (!answer.complete_ && aroundTerm && judgement.reached_.contains(id) && endedAt - sentAt < budgetMillis) {
                // A read that was sent no later than 3 s after the signal may still be at work at the end; this one was sent later.
                if (sentAt - *judgement.termAt_ > 3000) {
                    ++judgement.broken_;
                    site.record_.line("LOST: " + id + " was sent " + std::to_string(static_cast<int>(sentAt - *judgement.termAt_))
                                      + " ms after SIGTERM, passed on to a member, and never answered");
                }
            }
            co_await pause(milliseconds(40));
        }
        session.close();
        vm = 1;
        co_await pause(milliseconds(50));
    }
}

awaitable<Verdict> scenario(Site &site)
{
    const bool trouble = withTrouble();
    Judgement judgement;
    site.group_.onStatement_ = [&](const Member &member, const std::string &id, const std::string & /*text*/) {
        site.record_.line("member " + member.id_ + " runs " + id);
        judgement.reached_.insert(id);
    };
    if (!co_await site.start()) {
        co_return Verdict::NotRun;
    }
    const double begin = site.record_.now();
    bool stopped = false;
    constexpr std::size_t clients = 6;
    for (std::size_t client = 0; client < clients; ++client) {
        asio::co_spawn(site.context_, readWithoutPause(site, client, judgement, stopped), asio::detached);
    }
    co_await site.until(begin + 2000);
    if (judgement.answered_ == 0) {
        co_return Verdict::NotRun;
    }
    VmProcess &vm = *site.vms_[0].process_;
    if (trouble) {
        judgement.termAt_ = site.record_.now();
        vm.signal(SIGTERM);
        site.record_.line("vm " + vm.name() + " gets SIGTERM");
    }
    bool ended = false;
    while (site.record_.now() < begin + 2000 + graceMillis) {
        if (trouble && !ended && vm.hasEnded()) {
            ended = true;
            site.record_.line("vm " + vm.name() + " has ended by itself");
        }
        co_await pause(milliseconds(5));
    }
    if (trouble && !ended) {
        vm.signal(SIGKILL);
        site.record_.line("vm " + vm.name() + " gets SIGKILL");
    }
    co_await site.until(begin + 2000 + graceMillis + 1500);
    stopped = true;
    site.record_.line("reads answered: " + std::to_string(judgement.answered_) + ", lost: " + std::to_string(judgement.broken_));
    co_return judgement.broken_ == 0 ? Verdict::Held : Verdict::Broken;
}

} // namespace

int main(int /*argc*/, char **argv)
{
    GroupOptions options{"huvo11a", {{"i-a", "zone-a"}, {"i-b", "zone-b"}, {"i-c", "zone-c"}}, 0};
    options.workTime_ = milliseconds(120);
    Site site(argv[1], argv[2], options, {"zone-a", "zone-b", "zone-c"});
    return runScenario(site, scenario);
}
