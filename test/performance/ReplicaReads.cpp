/** \file
 * Measures, in virtual time, the share of reads that replicas serve and the resulting latency, by replication lag and by
 * the consistency that the read requires.
 *
 * For comparison, in the same run: the same reads always sent to the primary, and the share that a rule without waiting or ages would have
 * sent to a replica (the token is in some replica's last known position). Usage: ReplicaReads [SEED].
 */
#include "support/World.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

using namespace Figward;
using namespace Figward::Testing;

namespace {

constexpr Duration millisecond = std::chrono::milliseconds(1);
constexpr Duration second = std::chrono::seconds(1);
constexpr Duration measured = 30 * second;
constexpr Duration writeInterval = 20 * millisecond;
constexpr Duration readInterval = 5 * millisecond;
constexpr std::size_t sessions = 16;

/** Consistency that a read requires. */
struct ReadRequirement
{
    const char *name_;
    bool token_ = false;
    std::optional<Duration> maxStaleness_;
};

const std::array readRequirements{ReadRequirement{"primary always", false, std::nullopt},
                                  ReadRequirement{"token", true, std::nullopt},
                                  ReadRequirement{"staleness 0.1 s", false, 100 * millisecond},
                                  ReadRequirement{"staleness 1 s", false, second},
                                  ReadRequirement{"staleness 10 s", false, 10 * second}};
constexpr std::array lags{5 * millisecond, 50 * millisecond, 500 * millisecond, 5 * second};

/** Figures of one row. */
struct Row
{
    std::uint64_t reads_ = 0;
    std::uint64_t done_ = 0;
    std::uint64_t replica_ = 0;
    std::uint64_t ruleReplica_ = 0; ///< Reads that the rule without waiting or ages would have sent to a replica.
    std::vector<Duration> latencies_;
};

/** Sessions that write and read through random proxies; each read has the given consistency requirement. */
class Reads
{
public:
    Reads(std::uint64_t seed, Duration lag, ReadRequirement requirement)
        : world_(configFor(seed, lag))
        , random_(seed)
        , requirement_(requirement)
        , tokens_(sessions)
    {
        world_.run(3 * second);
        scheduleWrite();
        world_.run(2 * lag + second);
        scheduleRead();
        world_.run(measured);
    }

    [[nodiscard]] const Row &row() const
    {
        return row_;
    }

private:
    static WorldConfig configFor(std::uint64_t seed, Duration lag)
    {
        WorldConfig config;
        config.seed_ = seed;
        config.proxies_ = 8;
        config.group_.replicationDelay_ = lag;
        config.group_.statementJitter_ = millisecond;
        return config;
    }

    [[nodiscard]] Request request(RequestKind kind, const std::string &body) const
    {
        Request made{.kind_ = kind, .service_ = ServiceId("ledger"), .group_ = World::groupId(0), .body_ = body, .timeout_ = 12 * second};
        made.class_ = ClassId("dispatch");
        return made;
    }

    void scheduleWrite()
    {
        world_.schedule(world_.now() + writeInterval, [this] {
            const std::size_t session = random_() % sessions;
            Request write = request(RequestKind::Write, "add n 1");
            write.key_ = IdempotencyKey{{100, session}, Sequence(++sequence_)};
            world_.ask(random_() % world_.proxies(), write, [this, session](const std::optional<Answer> &answer) {
                if (answer && answer->outcome_ == Outcome::Done) {
                    merge(tokens_[session], answer->token_);
                }
            });
            scheduleWrite();
        });
    }

    void scheduleRead()
    {
        world_.schedule(world_.now() + readInterval, [this] {
            read(random_() % sessions, random_() % world_.proxies());
            scheduleRead();
        });
    }

    void read(std::size_t session, ProxyIndex proxy)
    {
        Request read = request(RequestKind::Read, "get n");
        read.token_ = requirement_.token_ ? tokens_[session] : SessionToken{};
        read.maxStaleness_ = requirement_.maxStaleness_;
        ++row_.reads_;
        row_.ruleReplica_ += ruleAllowsReplica(tokens_[session]) ? 1 : 0;
        const Time asked = world_.now();
        world_.ask(proxy, read, [this, asked](const std::optional<Answer> &answer) {
            if (answer && answer->outcome_ == Outcome::Done) {
                ++row_.done_;
                row_.replica_ += answer->fromReplica_ ? 1 : 0;
                row_.latencies_.push_back(world_.now() - asked);
            }
        });
    }

    /** Evaluated with the positions currently known to the first owner. */
    bool ruleAllowsReplica(const SessionToken &token)
    {
        const auto point = token.points_.find(World::groupId(0));
        for (ProxyIndex proxy = 0; proxy < world_.proxies(); ++proxy) {
            const GroupOwner *owner = findOwner(world_.state(proxy), World::groupId(0));
            if (owner == nullptr || owner->rank_ != 0) {
                continue;
            }
            return std::ranges::any_of(owner->view_.members_, [&](const MemberView &member) {
                const bool replica = member.status_ && owner->view_.primary_ != member.config_.id_;
                return replica && (point == token.points_.end() || contains(*member.status_, point->second));
            });
        }
        return false;
    }

    World world_;
    std::mt19937_64 random_;
    ReadRequirement requirement_;
    std::vector<SessionToken> tokens_;
    std::uint64_t sequence_ = 0;
    Row row_;
};

double percentile(std::vector<Duration> &latencies, double share)
{
    if (latencies.empty()) {
        return 0;
    }
    std::ranges::sort(latencies);
    const auto index = static_cast<std::size_t>(share * static_cast<double>(latencies.size() - 1));
    return static_cast<double>(latencies[index].count()) / 1000.0;
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("| lag | reads ask | reads | done | by replicas | rule without waiting or ages | median ms | p99 ms |\n|---|---|---|---|---|---|---|---|\n");
    for (const Duration lag : lags) {
        for (const ReadRequirement &requirement : readRequirements) {
            Row row = Reads(seed, lag, requirement).row();
            const double replicas = 100.0 * static_cast<double>(row.replica_) / static_cast<double>(std::max<std::uint64_t>(1, row.done_));
            const double rule = 100.0 * static_cast<double>(row.ruleReplica_) / static_cast<double>(row.reads_);
            const double median = percentile(row.latencies_, 0.5);
            const double p99 = percentile(row.latencies_, 0.99);
            std::printf("| %lld ms | %s | %llu | %llu | %.1f %% | %.1f %% | %.2f | %.2f |\n",
                        static_cast<long long>(toMillis(lag)),
                        requirement.name_,
                        static_cast<unsigned long long>(row.reads_),
                        static_cast<unsigned long long>(row.done_),
                        replicas,
                        rule,
                        median,
                        p99);
            std::fflush(stdout);
        }
    }
    return 0;
}
