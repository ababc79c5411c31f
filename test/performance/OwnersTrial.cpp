/** \file
 * Compares, in a model in virtual time, policies for keeping connections to members when each connection belongs to one organisation: every VM opens its own,
 * or the other VMs send their statements to owners.
 *
 * The model has members with slots and a limit of connections, connection openings that take a slot, statements of three kinds, and organisations of unequal
 * size. It has no faults, leases or positions: it shows only how often a connection is reused, what opening connections costs, and how long statements wait.
 *
 * Usage: figward_owners_trial [SECONDS]. Prints one line for each deployment, load and policy.
 */
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <tuple>
#include <vector>

namespace {

constexpr unsigned zones = 3;
constexpr double inZoneMs = 0.2; ///< One-way latency.
constexpr double betweenZonesMs = 1.4;
constexpr double connectMs = 12;
constexpr double meanRetryDelayMs = 30; ///< Mean delay after a member refused a connection because it was full.
constexpr double timeoutMs = 1500;

/** Policy for keeping connections. */
enum class OwnershipPolicy {
    EachVm, ///< Each VM opens connections for itself, as figward does.
    GroupAndZone, ///< One owner for each group and zone.
    OrganisationAndZone, ///< One owner for each organisation, group and zone.
    Organisation, ///< One owner for each organisation and group, in any zone.
};
constexpr std::array policies{OwnershipPolicy::EachVm, OwnershipPolicy::GroupAndZone, OwnershipPolicy::OrganisationAndZone, OwnershipPolicy::Organisation};

const char *nameOf(OwnershipPolicy policy)
{
    constexpr std::array names{"each VM", "owner by group and zone", "owner by organisation, group, zone", "owner by organisation, group"};
    return names[static_cast<std::size_t>(policy)];
}

struct Deployment
{
    unsigned vms_ = 66;
    unsigned groups_ = 8;
    unsigned organisations_ = 75;
    unsigned slots_ = 3;
    unsigned connections_ = 42;
    double load_ = 1; ///< Multiple of the load whose work alone takes 29% of all slots.
    double idleFraction_ = 0.25; ///< Fraction of a member's connections that are idle on average.
};

struct Kind
{
    double fraction_;
    double workMs_;
    double primary_; ///< Fraction that only the primary may run.
    double targetMs_;
};
constexpr std::array kinds{Kind{0.135, 6, 1, 150}, Kind{0.234, 30, 0, 500}, Kind{0.631, 18, 0.2, 250}};
constexpr double baseWorkFraction = 0.29;

struct Statement
{
    std::size_t kind_ = 0;
    unsigned organisation_ = 0;
    unsigned vm_ = 0;
    unsigned member_ = 0;
    double arrived_ = 0;
};

struct Counts
{
    std::array<unsigned, kinds.size()> asked_{};
    std::array<unsigned, kinds.size()> withinTarget_{};
    std::uint64_t openedConnections_ = 0;
    std::uint64_t refusals_ = 0; ///< Connections refused by full members.
    std::uint64_t waited_ = 0; ///< Statements that found no idle connection.
    double workMs_ = 0; ///< Work time of slots.
    std::uint64_t hops_ = 0;
    std::uint64_t hopsBetweenZones_ = 0;
    std::map<unsigned, std::uint64_t> owned_; ///< Statements by owner VM.
};

struct Member
{
    std::vector<double> slotFree_;
    unsigned connections_ = 0;
};

/** Holder of a connection, its member, and the organisation it is for. */
using Pool = std::tuple<unsigned, unsigned, unsigned>;

class Model
{
public:
    Model(const Deployment &deployment, OwnershipPolicy policy, std::uint64_t seed)
        : deployment_(deployment)
        , policy_(policy)
        , random_(seed)
        , members_(std::size_t{deployment.groups_} * zones)
    {
        for (Member &member : members_) {
            member.slotFree_.assign(deployment.slots_, 0);
        }
        std::vector<double> sizes;
        for (unsigned rank = 1; rank <= deployment.organisations_; ++rank) {
            sizes.push_back(1.0 / rank); // A few organisations produce half of the load.
        }
        organisations_ = std::discrete_distribution<unsigned>(sizes.begin(), sizes.end());
    }

    Counts run(double ms)
    {
        double meanWork = 0;
        for (const Kind &kind : kinds) {
            meanWork += kind.fraction_ * kind.workMs_;
        }
        arrivalsPerMs_ = deployment_.load_ * baseWorkFraction * static_cast<double>(members_.size()) * deployment_.slots_ / meanWork;
        end_ = ms;
        arrive(0);
        while (!events_.empty()) {
            const auto [at, order, step] = events_.top();
            events_.pop();
            now_ = at;
            step();
        }
        return counts_;
    }

private:
    struct Event
    {
        double at_;
        std::uint64_t order_;
        std::function<void()> step_;
        bool operator<(const Event &other) const
        {
            return std::tie(at_, order_) > std::tie(other.at_, other.order_);
        }
    };

    void schedule(double at, std::function<void()> step)
    {
        events_.push({at, order_++, std::move(step)});
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>()(random_);
    }

    void arrive(double after)
    {
        const double at = after + std::exponential_distribution<double>(arrivalsPerMs_)(random_);
        if (at < end_) {
            schedule(at, [this, at] {
                begin();
                arrive(at);
            });
        }
    }

    void begin()
    {
        Statement statement;
        const double part = uniform();
        statement.kind_ = part < kinds[0].fraction_ ? 0 : part < kinds[0].fraction_ + kinds[1].fraction_ ? 1 : 2;
        statement.organisation_ = organisations_(random_);
        statement.vm_ = static_cast<unsigned>(random_() % deployment_.vms_);
        statement.arrived_ = now_;
        const auto group = static_cast<unsigned>(random_() % deployment_.groups_);
        const unsigned primary = group % zones;
        unsigned place = statement.vm_ % zones;
        if (uniform() < kinds[statement.kind_].primary_) {
            place = primary;
        } else if (place == primary) {
            place = (place + 1 + static_cast<unsigned>(random_() % 2)) % zones; // Reads avoid the primary to keep its capacity free.
        }
        statement.member_ = group * zones + place;
        ++counts_.asked_[statement.kind_];
        const unsigned owner = ownerOf(statement, group);
        const double hop = hopMs(statement.vm_, owner);
        schedule(now_ + hop, [this, statement, owner] { placeStatement(statement, owner); });
    }

    unsigned vmOf(std::uint64_t key, unsigned zone, bool anyZone) const
    {
        const std::uint64_t hash = std::hash<std::uint64_t>()(key * 0x9E3779B97F4A7C15ULL) >> 20U;
        if (anyZone) {
            return static_cast<unsigned>(hash % deployment_.vms_);
        }
        const unsigned inZone = std::max(1U, (deployment_.vms_ + zones - 1 - zone) / zones);
        return static_cast<unsigned>(hash % inZone) * zones + zone;
    }

    unsigned ownerOf(const Statement &statement, unsigned group) const
    {
        const unsigned zone = statement.vm_ % zones;
        const std::uint64_t pair = std::uint64_t{statement.organisation_} * deployment_.groups_ + group + 1;
        switch (policy_) {
        case OwnershipPolicy::EachVm:
            return statement.vm_;
        case OwnershipPolicy::GroupAndZone:
            return vmOf(group + 1, zone, false);
        case OwnershipPolicy::OrganisationAndZone:
            return vmOf(pair, zone, false);
        case OwnershipPolicy::Organisation:
            return vmOf(pair, zone, true);
        }
        return statement.vm_;
    }

    double hopMs(unsigned from, unsigned to)
    {
        if (from == to) {
            return 0;
        }
        ++counts_.hops_;
        const bool same = from % zones == to % zones;
        counts_.hopsBetweenZones_ += same ? 0 : 1;
        return same ? inZoneMs : betweenZonesMs;
    }

    /** Idle time before a connection is closed, such that the wanted fraction is idle on average if all holders are equally frequent. */
    double idleTimeMs() const
    {
        const double holders = policy_ == OwnershipPolicy::EachVm         ? deployment_.vms_
                               : policy_ == OwnershipPolicy::Organisation ? deployment_.organisations_
                                                                          : zones * deployment_.organisations_;
        const double perHolder = arrivalsPerMs_ / static_cast<double>(members_.size()) / holders;
        const double reuse = std::min(0.95, deployment_.idleFraction_ * deployment_.connections_ / holders);
        const double longest = policy_ == OwnershipPolicy::EachVm ? 1000 : 10000;
        return std::min(longest, -std::log(1 - reuse) / perHolder);
    }

    double slotDone(Member &member, double work)
    {
        const auto first = std::ranges::min_element(member.slotFree_);
        *first = std::max(now_, *first) + work;
        counts_.workMs_ += work;
        return *first;
    }

    void placeStatement(const Statement &statement, unsigned owner)
    {
        ++counts_.owned_[owner];
        const Pool pool{owner, statement.member_, statement.organisation_};
        std::deque<std::uint64_t> &idle = idle_[pool];
        while (!idle.empty()) {
            const std::uint64_t connection = idle.back();
            idle.pop_back();
            if (idleConnections_.erase(connection) > 0) {
                work(statement, pool, connection);
                return;
            }
        }
        ++counts_.waited_;
        open(statement, pool);
    }

    void open(const Statement &statement, const Pool &pool)
    {
        if (now_ - statement.arrived_ > timeoutMs) {
            return;
        }
        Member &member = members_[statement.member_];
        if (member.connections_ >= deployment_.connections_) {
            ++counts_.refusals_;
            schedule(now_ + std::exponential_distribution<double>(1 / meanRetryDelayMs)(random_), [this, statement, pool] { open(statement, pool); });
            return;
        }
        ++member.connections_;
        ++counts_.openedConnections_;
        schedule(slotDone(member, connectMs), [this, statement, pool] { work(statement, pool, nextConnection_++); });
    }

    void work(const Statement &statement, const Pool &pool, std::uint64_t connection)
    {
        const Kind &kind = kinds[statement.kind_];
        const double done = slotDone(members_[statement.member_], std::exponential_distribution<double>(1 / kind.workMs_)(random_));
        schedule(done, [this, statement, pool, connection] {
            const double back = hopMs(std::get<0>(pool), statement.vm_);
            counts_.withinTarget_[statement.kind_] += now_ + back - statement.arrived_ <= kinds[statement.kind_].targetMs_ ? 1 : 0;
            idle_[pool].push_back(connection);
            idleConnections_[connection] = true;
            schedule(now_ + idleTimeMs(), [this, statement, connection, since = now_] { closeIfIdleSince(statement.member_, connection, since); });
            idleSince_[connection] = now_;
        });
    }

    void closeIfIdleSince(unsigned member, std::uint64_t connection, double since)
    {
        const auto at = idleSince_.find(connection);
        const bool isStillIdle = at != idleSince_.end() && at->second == since;
        if (isStillIdle && idleConnections_.erase(connection) > 0) {
            idleSince_.erase(at);
            --members_[member].connections_;
        }
    }

    Deployment deployment_;
    OwnershipPolicy policy_;
    std::mt19937_64 random_;
    std::vector<Member> members_;
    std::discrete_distribution<unsigned> organisations_;
    double arrivalsPerMs_ = 0;
    double end_ = 0;
    double now_ = 0;
    std::uint64_t order_ = 0;
    std::uint64_t nextConnection_ = 1;
    std::priority_queue<Event> events_;
    std::map<Pool, std::deque<std::uint64_t>> idle_;
    std::map<std::uint64_t, bool> idleConnections_;
    std::map<std::uint64_t, double> idleSince_;
    Counts counts_;
};

void print(const Deployment &deployment, OwnershipPolicy policy, double seconds)
{
    const Counts counts = Model(deployment, policy, 1).run(seconds * 1000);
    unsigned asked = 0;
    for (const unsigned kind : counts.asked_) {
        asked += kind;
    }
    std::uint64_t busiest = 0;
    for (const auto &[vm, statements] : counts.owned_) {
        busiest = std::max(busiest, statements);
    }
    const auto share = [&](std::size_t kind) { return counts.asked_[kind] == 0 ? 1.0 : static_cast<double>(counts.withinTarget_[kind]) / counts.asked_[kind]; };
    std::printf("| %u | %u | %u | %.1f | %.2f | %s | %.3f | %.3f | %.3f | %.2f | %.2f | %.2f | %.2f | %.2f | %.1f |\n",
                deployment.vms_,
                deployment.groups_,
                deployment.organisations_,
                deployment.load_,
                deployment.idleFraction_,
                nameOf(policy),
                share(0),
                share(1),
                share(2),
                static_cast<double>(counts.openedConnections_) / asked,
                static_cast<double>(counts.refusals_) / asked,
                static_cast<double>(counts.openedConnections_) * connectMs / counts.workMs_,
                static_cast<double>(counts.hops_) / asked,
                static_cast<double>(counts.hopsBetweenZones_) / asked,
                static_cast<double>(busiest) * deployment.vms_ / asked);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    const double seconds = argc > 1 ? std::atof(argv[1]) : 10;
    std::puts("| VMs | groups | organisations | load | rests | way | records in aim | histories | checks | openings a statement | refused as full, a statement "
              "| part of work that is openings | hops "
              "a statement | between zones | busiest owner, of the mean |");
    std::puts("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (const auto &[vms, groups] : {std::pair(8U, 3U), {24U, 3U}, {66U, 8U}, {100U, 12U}, {295U, 20U}, {295U, 36U}}) {
        for (const unsigned organisations : {1U, 75U}) {
            for (const double load : {0.5, 1.0, 1.7}) {
                for (const OwnershipPolicy policy : policies) {
                    for (const double idleFraction : {0.02, 0.25, 0.6}) {
                        Deployment deployment{vms, groups, organisations};
                        deployment.load_ = load;
                        deployment.idleFraction_ = idleFraction;
                        print(deployment, policy, seconds);
                    }
                }
            }
        }
    }
    return 0;
}
