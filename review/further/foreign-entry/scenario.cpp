/** \file
 * Another writer leaves an entry with bytes that cannot be read among the members. A replica then reports that it leaves, and runs on for some seconds.
 */
#include "Site.h"

using namespace Review;

namespace {

constexpr const char *leavingId = "i-b";
constexpr double drainMillis = 7000;
/** The text is JSON; one of its strings is half of a surrogate pair, as a store may render bytes that are no text. */
constexpr const char *foreignEntry = R"({"meta":{"name":"i-x","revision":9,"created":1,"finalizers":[],"deleting":false},)"
                                     R"("spec":{"service":"huvo11a","state":"\ud83d"},"status":null})";

awaitable<void> readSteadily(Site &site, std::size_t client, unsigned &answered, const bool &stopped)
{
    const SiteVm &vm = site.vms_[client % site.vms_.size()];
    for (unsigned number = 0; !stopped;) {
        ClientSession session(co_await asio::this_coro::executor);
        bool open = co_await session.open(vm.process_->frontPort(), "history");
        while (open && !stopped) {
            const std::string id = "r" + std::to_string(client) + "-" + std::to_string(number++);
            const Answer answer = co_await session.run(id, "READ k" + std::to_string(number));
            answered += answer.succeeded() ? 1 : 0;
            open = answer.complete_;
            co_await pause(milliseconds(50));
        }
        session.close();
        co_await pause(milliseconds(100));
    }
}

awaitable<Verdict> scenario(Site &site)
{
    std::optional<double> drainingAt;
    unsigned late = 0;
    unsigned answered = 0;
    bool stopped = false;
    site.group_.onStatement_ = [&](const Member &member, const std::string &id, const std::string & /*text*/) {
        if (drainingAt && member.id_ == leavingId && site.record_.now() - *drainingAt > drainMillis) {
            ++late;
            site.record_.line("DRAIN: " + id + " reaches " + member.id_ + " " + std::to_string(static_cast<int>(site.record_.now() - *drainingAt))
                              + " ms after the store confirmed that it is draining");
        }
    };
    if (!co_await site.start()) {
        co_return Verdict::NotRun;
    }
    constexpr std::size_t clients = 6;
    for (std::size_t client = 0; client < clients; ++client) {
        asio::co_spawn(site.context_, readSteadily(site, client, answered, stopped), asio::detached);
    }
    const double begin = site.record_.now();
    co_await site.until(begin + 2000);
    if (answered == 0) {
        co_return Verdict::NotRun;
    }
    if (withTrouble()) {
        site.store_.foreignEntries_["servers"] = foreignEntry;
        site.store_.put("servers", "i-x", json::object{}); // The store's revision rises with it; the listing shows the entry as it was written.
        site.store_.remove("servers", "i-x");
        site.record_.line("another writer leaves an entry among the members");
    }
    co_await site.until(begin + 4000);
    site.group_.drain(leavingId);
    drainingAt = site.record_.now();
    co_await site.until(begin + 4000 + drainMillis + 2000);
    stopped = true;
    site.record_.line("reads answered: " + std::to_string(answered) + ", later than drain_ms at the leaving member: " + std::to_string(late));
    co_return late == 0 ? Verdict::Held : Verdict::Broken;
}

} // namespace

int main(int /*argc*/, char **argv)
{
    const GroupOptions options{"huvo11a", {{"i-a", "zone-a"}, {leavingId, "zone-b"}, {"i-c", "zone-c"}}, 0};
    Site site(argv[1], argv[2], options, {"zone-a", "zone-b", "zone-c"});
    return runScenario(site, scenario);
}
