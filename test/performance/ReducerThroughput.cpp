/** \file
 * Measures the reducer alone: events a second and bytes allocated for a statement, and how both grow with groups and sessions.
 *
 * One proxy owns all groups; members and callers are simulated without delay. Run: `build/test/figward_reducer_benchmark`.
 */
#include "Reducer.h"

#include <absl/strings/str_cat.h>
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <deque>
#include <new>

namespace {

std::size_t allocatedBytes = 0;

} // namespace

// Not inlined: if the compiler inlined only one of the pair, it would report a mismatch of malloc() and delete.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    allocatedBytes += size;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace {

using namespace Figward;

constexpr Duration tick = std::chrono::microseconds(100);
const ServiceId service("ledger");

GroupId groupName(std::size_t index)
{
    return GroupId(absl::StrCat("group-", index));
}

Configuration manyGroups(std::size_t count)
{
    Configuration configuration;
    configuration.version_ = ConfigVersion(1);
    configuration.services_[service] = {service, {}, {{ClassId("normal"), 0}}, {}};
    for (std::size_t i = 0; i < count; ++i) {
        GroupConfig group{groupName(i), service, {}, ConnectionCount(35), SlotCount(5)};
        for (const char *member : {"a", "b", "c"}) {
            group.members_.push_back({MemberId(absl::StrCat(i, member)), ZoneId(member), absl::StrCat(i, member, ":1"), false});
        }
        configuration.services_[service].groups_.push_back(group.id_);
        configuration.groups_[group.id_] = group;
    }
    return configuration;
}

/** A proxy whose members and callers answer at once. */
class Driver
{
public:
    explicit Driver(std::size_t groups)
        : state_(makeProxyState({{VmId(1), ZoneId("a"), "vm:1", false}, {}}, 1))
        , now_(std::chrono::seconds(1))
    {
        feed(Started{});
        Effects out;
        activateConfiguration(state_, manyGroups(groups), now_, out);
        perform(out);
        processPending();
        advance(std::chrono::milliseconds(300));
    }

    /** Processes one request from its arrival to its answer. */
    void request(Request request)
    {
        answered_ = false;
        feed(CallerAsked{RequestId(nextRequest_++), std::move(request)});
        processPending();
        while (!answered_) {
            advance(tick);
        }
    }

    void advance(Duration span)
    {
        now_ += span;
        while (wakeUp_ && *wakeUp_ <= now_) {
            wakeUp_.reset();
            feed(WakeUp{});
            processPending();
        }
    }

    [[nodiscard]] std::uint64_t events() const
    {
        return events_;
    }

private:
    void feed(EventBody body)
    {
        pending_.push_back(std::move(body));
    }

    void processPending()
    {
        while (!pending_.empty()) {
            const Event event{now_, std::move(pending_.front())};
            pending_.pop_front();
            ++events_;
            perform(reduce(state_, event));
        }
    }

    void perform(const Effects &effects)
    {
        for (const Effect &effect : effects) {
            if (const auto *open = std::get_if<OpenConnection>(&effect)) {
                connections_[open->connection_] = open->member_;
                feed(ConnectionOpened{open->connection_});
            } else if (const auto *statement = std::get_if<SendStatement>(&effect)) {
                answerStatement(*statement);
            } else if (const auto *control = std::get_if<SendControl>(&effect)) {
                feed(ControlAnswered{{control->call_.id_, ControlResult::Ok, statusOf(control->member_)}});
            } else if (const auto *call = std::get_if<CallPlatform>(&effect)) {
                feed(PlatformAnswered{{.id_ = call->call_.id_, .status_ = PlatformStatus::Unavailable}});
            } else if (const auto *wakeUp = std::get_if<ArmWakeUp>(&effect)) {
                wakeUp_ = wakeUp->at_;
            } else if (std::holds_alternative<AnswerCaller>(effect)) {
                answered_ = true;
            }
        }
    }

    void answerStatement(const SendStatement &sent)
    {
        const MemberId &member = connections_.at(sent.connection_);
        UpstreamAnswer answer{.id_ = sent.statement_.id_, .body_ = "value"};
        if (sent.statement_.kind_ == RequestKind::Write) {
            ++position_;
        }
        answer.status_ = statusOf(member);
        answer.point_ = answer.status_.log_;
        feed(UpstreamAnswered{sent.connection_, std::move(answer)});
    }

    /** All members hold all entries; one counter stands for the positions of all groups. */
    [[nodiscard]] MemberStatus statusOf(const MemberId &member) const
    {
        const LogPoint start{Term(1), Position(1)};
        return {{Term(1), Position(position_)}, Term(1), member.value().back() == 'a', {start}};
    }

    ProxyState state_;
    Time now_;
    std::deque<EventBody> pending_;
    std::map<ConnectionId, MemberId> connections_;
    std::optional<Time> wakeUp_;
    std::uint64_t nextRequest_ = 1;
    std::uint64_t position_ = 1;
    std::uint64_t events_ = 0;
    bool answered_ = false;
};

Request statement(RequestKind kind, std::size_t group, std::uint64_t session, std::uint64_t sequence)
{
    Request request;
    request.kind_ = kind;
    request.service_ = service;
    request.group_ = groupName(group);
    request.body_ = "get tyre-7";
    request.timeout_ = std::chrono::seconds(1);
    if (kind == RequestKind::Write) {
        request.key_ = IdempotencyKey{{1, session}, Sequence(sequence)};
    } else {
        request.maxStaleness_ = std::chrono::seconds(5);
    }
    return request;
}

void measure(benchmark::State &bench, RequestKind kind)
{
    const auto groups = static_cast<std::size_t>(bench.range(0));
    const auto sessions = static_cast<std::uint64_t>(bench.range(1));
    Driver driver(groups);
    std::uint64_t count = 0;
    const std::uint64_t eventsBefore = driver.events();
    const std::size_t bytesBefore = allocatedBytes;
    for ([[maybe_unused]] const auto iteration : bench) {
        driver.request(statement(kind, count % groups, count % sessions, count));
        ++count;
    }
    const auto statements = static_cast<double>(count);
    bench.counters["statements/s"] = benchmark::Counter(statements, benchmark::Counter::kIsRate);
    bench.counters["events/s"] = benchmark::Counter(static_cast<double>(driver.events() - eventsBefore), benchmark::Counter::kIsRate);
    bench.counters["bytes/statement"] = static_cast<double>(allocatedBytes - bytesBefore) / statements;
}

void BM_read(benchmark::State &bench)
{
    measure(bench, RequestKind::Read);
}

void BM_write(benchmark::State &bench)
{
    measure(bench, RequestKind::Write);
}

BENCHMARK(BM_read)->Args({9, 1000})->Args({9, 10000})->Args({90, 1000})->Args({230, 1000})->Args({690, 1000})->Args({690, 10000});
BENCHMARK(BM_write)->Args({9, 1000})->Args({9, 10000})->Args({90, 1000})->Args({230, 1000})->Args({690, 1000})->Args({690, 10000});

} // namespace

BENCHMARK_MAIN();
