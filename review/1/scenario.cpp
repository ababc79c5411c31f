/** \file
 * The leader of a group is partitioned from the platform while it replaces a crashed primary. Its promotion call is held up on an open connection and arrives
 * when the partition ends. Another VM leads by then, and has put the old primary, which came back with its log, into use again. The late call makes another
 * member primary, while the VMs go on to write at the old one.
 */
#include "Site.h"

using namespace Review;

namespace {

constexpr const char *firstPrimary = "i-a";
constexpr const char *secondPrimary = "i-b";
/** A partition of single machines lasts up to 12 s. */
constexpr double partitionMillis = 9000;
/** A primary that crashes is down for up to 7 s. */
constexpr double crashMillis = 4000;

/** Judges the promotion calls and the writes as the platform, the members and the clients see them. */
struct Judgement
{
    std::uint64_t highest_ = 0;
    std::string highestHolder_;
    unsigned lowerCalls_ = 0; ///< Promotion calls with a lower generation than the platform had seen.
    unsigned acknowledged_ = 0;
    std::optional<double> promotedAt_; ///< When the last promotion took effect.
    std::set<std::string> committedAtReplaced_; ///< Writes that were committed at a member after another one was promoted.
    unsigned staleWrites_ = 0; ///< Those of them that were sent after the promotion and acknowledged.
};

/** Sends \p text every 100 ms, in a new session after an end of the last one. */
awaitable<void> runSteadily(Site &site, const SiteVm &vm, std::string client, std::string database, std::string text, Judgement &judgement, const bool &stopped)
{
    const bool writes = text.starts_with("WRITE");
    for (unsigned number = 0; !stopped;) {
        ClientSession session(co_await asio::this_coro::executor);
        bool open = co_await session.open(vm.process_->frontPort(), database);
        while (open && !stopped) {
            const std::string id = client + "-" + std::to_string(number++);
            const double sentAt = site.record_.now();
            const Answer answer = co_await session.run(id, text + std::to_string(number));
            site.record_.line((writes ? "write " : "read ") + id + " at " + vm.process_->name() + ": " + (answer.complete_ ? answer.result_ : "no answer"));
            judgement.acknowledged_ += writes && answer.succeeded() ? 1 : 0;
            // The link of the VM that was partitioned was disrupted a moment ago, so its writes do not count.
            const bool counts = judgement.promotedAt_ && sentAt > *judgement.promotedAt_ && !vm.wasPartitioned_;
            if (counts && answer.succeeded() && judgement.committedAtReplaced_.contains(id)) {
                ++judgement.staleWrites_;
                site.record_.line("ONE: write " + id + " was committed at the old primary and acknowledged, "
                                  + std::to_string(static_cast<int>(sentAt - *judgement.promotedAt_)) + " ms after the promotion when it was sent");
            }
            open = answer.complete_;
            co_await pause(milliseconds(100));
        }
        session.close();
        co_await pause(milliseconds(100));
    }
}

awaitable<Verdict> scenario(Site &site)
{
    const bool trouble = withTrouble();
    Judgement judgement;
    site.group_.onPromotionCall_ = [&](const std::string &holder, std::uint64_t generation, const std::string &id) {
        if (generation < judgement.highest_) {
            ++judgement.lowerCalls_;
            site.record_.line("ONE: a call of " + holder + " for the promotion of " + id + " with generation " + std::to_string(generation) + " after one of "
                              + judgement.highestHolder_ + " with " + std::to_string(judgement.highest_));
        } else {
            judgement.highest_ = generation;
            judgement.highestHolder_ = holder;
        }
    };
    site.group_.onPromoted_ = [&](const Member & /*member*/) { judgement.promotedAt_ = site.record_.now(); };
    site.group_.onCommit_ = [&](const Member &member, const std::vector<std::string> &writes, bool replaced) {
        if (replaced) {
            judgement.committedAtReplaced_.insert(writes.begin(), writes.end());
            site.record_.line("member " + member.id_ + ", which has been replaced, commits " + writes.front());
        }
    };
    if (!co_await site.start()) {
        co_return Verdict::NotRun;
    }
    const double begin = site.record_.now();
    bool stopped = false;
    constexpr std::size_t usedVms = 3; // The fourth VM is removed.
    for (std::size_t number = 0; number < usedVms; ++number) {
        const SiteVm &vm = site.vms_[number];
        const std::string client = std::to_string(number);
        asio::co_spawn(site.context_, runSteadily(site, vm, "w" + client, "ledger", "WRITE k" + client + " v", judgement, stopped), asio::detached);
        asio::co_spawn(site.context_, runSteadily(site, vm, "r" + client, "history", "READ k", judgement, stopped), asio::detached);
    }
    // Planned work, in every run: a machine is removed for good, and the primary is to be shut down.
    site.vms_[3].process_->signal(SIGTERM);
    site.record_.line("vm front-4 gets SIGTERM and is removed");
    co_await site.until(begin + 1000);
    site.group_.drain(firstPrimary);
    co_await site.until(begin + 7000);
    Member *primary = site.group_.primary();
    SiteVm *leader = site.vm(site.leader());
    if (primary == nullptr || primary->id_ == firstPrimary || leader == nullptr || judgement.acknowledged_ == 0) {
        site.record_.line("the planned replacement did not take place");
        co_return Verdict::NotRun;
    }
    site.record_.line("leader: " + leader->process_->name() + ", primary: " + primary->id_);
    const std::string crashed = primary->id_;
    if (trouble) {
        site.group_.crash(crashed);
    }
    co_await site.until(begin + 8000);
    if (trouble) {
        leader->promotionPath_->onSent_ = [&](std::string_view bytes, bool cut) {
            if (cut && bytes.find("POST /promote") != std::string_view::npos) {
                site.record_.line("held up on the way from " + leader->process_->name() + ": POST /promote");
            }
        };
        leader->wasPartitioned_ = true;
        leader->setPlatformCut(true);
        site.record_.line("vm " + leader->process_->name() + " is partitioned from the platform");
    }
    co_await site.until(begin + 7000 + crashMillis);
    if (trouble) {
        site.group_.restart(crashed);
    }
    co_await site.until(begin + 8000 + partitionMillis);
    if (trouble) {
        site.record_.line("the partition of " + leader->process_->name() + " ends; the group is led by " + site.leader());
        leader->setPlatformCut(false);
    }
    co_await site.until(begin + 8000 + partitionMillis + 4000);
    stopped = true;
    site.record_.line("acknowledged writes: " + std::to_string(judgement.acknowledged_) + ", promotion calls with a lower generation than seen: "
                      + std::to_string(judgement.lowerCalls_) + ", acknowledged writes at an old primary: " + std::to_string(judgement.staleWrites_));
    co_return judgement.lowerCalls_ == 0 && judgement.staleWrites_ == 0 ? Verdict::Held : Verdict::Broken;
}

} // namespace

int main(int /*argc*/, char **argv)
{
    const GroupOptions options{"huvo11a", {{firstPrimary, "zone-a"}, {secondPrimary, "zone-b"}, {"i-c", "zone-c"}}, 0};
    Site site(argv[1], argv[2], options, {"zone-a", "zone-b", "zone-c", "zone-a"});
    return runScenario(site, scenario);
}
