#include "FleetMeasure.h"
#include "Rendezvous.h"
#include "support/Fleet.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace Figward::Testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned owners = 3;
const GroupId ledger("group-0");

std::vector<VmInfo> makeVms(unsigned count, unsigned zones, std::mt19937_64 &random)
{
    std::vector<VmInfo> vms;
    for (unsigned i = 0; i < count; ++i) {
        vms.push_back({.id_ = VmId(random()), .zone_ = zoneName(i % zones)});
    }
    std::ranges::sort(vms, {}, &VmInfo::id_);
    return vms;
}

std::vector<VmInfo> moduloOwners(const GroupId &group, const std::vector<VmInfo> &vms)
{
    std::vector<VmInfo> chosen;
    const std::uint64_t first = rendezvousWeight(group, VmId(1));
    for (unsigned i = 0; i < owners; ++i) {
        chosen.push_back(vms[(first + i) % vms.size()]);
    }
    return chosen;
}

/** Counts the owners, over all groups, that do not own the same group in the other list. */
template<typename Choose>
unsigned moved(unsigned groups, const std::vector<VmInfo> &before, const std::vector<VmInfo> &after, Choose choose)
{
    unsigned count = 0;
    for (unsigned i = 0; i < groups; ++i) {
        const GroupId group("group-" + std::to_string(i));
        const std::vector<VmInfo> old = choose(group, before);
        for (const VmInfo &vm : choose(group, after)) {
            count += std::ranges::find(old, vm.id_, &VmInfo::id_) == old.end() ? 1 : 0;
        }
    }
    return count;
}

Standin::GroupModelConfig ledgerConfig()
{
    return {.members_ = {MemberId("group-0-0"), MemberId("group-0-1"), MemberId("group-0-2")},
            .statementTime_ = milliseconds(2),
            .replicationDelay_ = milliseconds(1)};
}

Request readOf()
{
    Request read{.kind_ = RequestKind::Read, .service_ = ServiceId("service-0"), .group_ = ledger, .body_ = "get x", .timeout_ = seconds(2)};
    read.class_ = ClassId("class-1");
    return read;
}

/** Returns the text of a configuration of one service with \p k owners per group. */
std::string textWithOwners(unsigned k)
{
    return R"({"policy": {"owners_per_group": )" + std::to_string(k) + "}, " + configurationText(1, 1).substr(1);
}

/** Callers that each send the next request as soon as the last one is answered; caller i uses VM i modulo \p vms. */
class ClosedLoop
{
public:
    ClosedLoop(Fleet &fleet, unsigned callers, unsigned vms)
        : fleet_(fleet)
        , seen_(vms, 0)
    {
        for (unsigned caller = 0; caller < callers; ++caller) {
            ask(caller % vms);
        }
    }

    void run(Duration span)
    {
        for (Duration passed{}; passed < span; passed += step) {
            fleet_.run(step);
            for (std::size_t vm = 0; vm < seen_.size(); ++vm) {
                const auto &answers = fleet_.vms()[vm].answers_;
                while (seen_[vm] < answers.size()) {
                    done_ += answers[seen_[vm]++].second.outcome_ == Outcome::Done ? 1 : 0;
                    ask(vm);
                }
            }
        }
    }

    [[nodiscard]] std::uint64_t done() const
    {
        return done_;
    }

private:
    static constexpr Duration step = std::chrono::microseconds(200);

    void ask(std::size_t vm)
    {
        fleet_.give(vm, CallerAsked{RequestId(next_++), readOf()});
    }

    Fleet &fleet_;
    std::vector<std::size_t> seen_;
    std::uint64_t next_ = 1;
    std::uint64_t done_ = 0;
};

} // namespace

void measureMoves()
{
    std::puts("| VMs | groups | change | owner places moved, rendezvous | modulo | least possible |");
    std::mt19937_64 random(9);
    const auto rendezvous = [](const GroupId &group, const std::vector<VmInfo> &vms) { return rendezvousOwners(group, vms, owners); };
    for (const auto &[count, zones, groups] : {std::tuple(8U, 3U, 3U), std::tuple(8U, 3U, 690U), std::tuple(530U, 9U, 690U)}) {
        const std::vector<VmInfo> vms = makeVms(count, zones, random);
        double lost[2] = {0, 0};
        double gained[2] = {0, 0};
        for (unsigned gone = 0; gone < 8; ++gone) {
            std::vector<VmInfo> fewer = vms;
            fewer.erase(fewer.begin() + gone * count / 8);
            lost[0] += moved(groups, vms, fewer, rendezvous) / 8.0;
            lost[1] += moved(groups, vms, fewer, moduloOwners) / 8.0;
            gained[0] += moved(groups, fewer, vms, rendezvous) / 8.0;
            gained[1] += moved(groups, fewer, vms, moduloOwners) / 8.0;
        }
        const double least = static_cast<double>(groups) * owners / count;
        std::printf("| %u | %u | one VM goes | %.1f | %.1f | %.1f |\n", count, groups, lost[0], lost[1], least);
        std::printf("| %u | %u | one VM comes | %.1f | %.1f | %.1f |\n", count, groups, gained[0], gained[1], least);
    }
}

void measureThroughput()
{
    std::puts("| owners a group | callers at | statements/s |");
    for (const unsigned k : {1U, 3U, 8U}) {
        for (const unsigned vms : {1U, 8U}) {
            Fleet fleet({.vms_ = 8, .seed_ = 15});
            fleet.addGroup(ledger, ledgerConfig());
            fleet.apply(textWithOwners(k));
            fleet.run(seconds(10));
            ClosedLoop loop(fleet, 35, vms);
            loop.run(seconds(2));
            const std::uint64_t warm = loop.done();
            loop.run(seconds(5));
            std::printf("| %u | %u VMs | %.0f |\n", k, vms, static_cast<double>(loop.done() - warm) / 5.0);
            std::fflush(stdout);
        }
    }
}

void measureRestart()
{
    Fleet fleet({.vms_ = 8, .seed_ = 16});
    fleet.addGroup(ledger, ledgerConfig());
    fleet.apply(configurationText(1, 1));
    fleet.run(seconds(10));
    std::size_t most = 0;
    std::uint64_t refused = 0;
    fleet.setObserver([&](Fleet &observed, std::size_t) { most = std::max(most, observed.group(ledger).links()); });
    std::uint64_t asked = 0;
    for (std::size_t drained = 0; drained < 8; ++drained) {
        fleet.give(drained, DrainAsked{});
        for (unsigned round = 0; round < 400; ++round) {
            for (std::size_t vm = drained + 1; vm < fleet.vms().size(); ++vm) {
                fleet.give(vm, CallerAsked{RequestId(++asked), readOf()});
            }
            fleet.run(milliseconds(10));
        }
        fleet.replace(drained);
        fleet.run(seconds(4));
    }
    std::uint64_t done = 0;
    for (const FleetVm &vm : fleet.vms()) {
        for (const auto &[id, answer] : vm.answers_) {
            done += answer.outcome_ == Outcome::Done ? 1 : 0;
            refused += answer.outcome_ == Outcome::Done ? 0 : 1;
        }
    }
    std::puts("| limit | most connections held at once | statements asked | done | not done | without an answer |");
    std::printf("| 35 | %zu | %lu | %lu | %lu | %lu |\n", most, asked, done, refused, asked - done - refused);
}

} // namespace Figward::Testing
