/** \file
 * Measures the latency that a proxy adds to a statement, and the statements per second through one proxy, compared with direct calls to the stand-in.
 *
 * Both are measured alternately in the same run, so that other load on the machine affects both equally.
 */
#include "WireUpstream.h"
#include "support/LoopbackFleet.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <condition_variable>
#include <ctime>
#include <mutex>

namespace Figward::Testing {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr unsigned connectionLimit = 35;
constexpr int pairs = 5000;
constexpr int windowSize = 128; ///< Statements in flight at once in the measurement of throughput.
constexpr int statements = 100'000;

/** A group that answers without delay, so that only the path to it is measured. */
Standin::GroupModelConfig instantGroup()
{
    Standin::GroupModelConfig config = LoopbackFleet::defaultGroup();
    config.connectionLimit_ = ConnectionCount(connectionLimit);
    config.slots_ = SlotCount(10'000);
    config.statementTime_ = Duration(0);
    return config;
}

/** One direct connection to the stand-in. */
class DirectConnection
{
public:
    explicit DirectConnection(const std::string &address)
        : stub_(v1::Upstream::NewStub(openChannel(address, clientCredentials(std::nullopt))))
        , stream_(stub_->Connect(&context_))
    {
        v1::ConnectionRequest open;
        open.mutable_open()->set_member(LoopbackFleet::defaultGroup().members_.front().value());
        stream_->Write(open);
        v1::ConnectionAnswer opened;
        stream_->Read(&opened);
    }

    DirectConnection(const DirectConnection &) = delete;
    DirectConnection &operator=(const DirectConnection &) = delete;

    ~DirectConnection()
    {
        context_.TryCancel();
        stream_->Finish();
    }

    bool read()
    {
        v1::ConnectionRequest request;
        Wire::encode(UpstreamStatement{StatementId(next_++), RequestKind::Read, Term(0), std::nullopt, Sequence(0), "get tyre"}, *request.mutable_statement());
        v1::ConnectionAnswer answer;
        return stream_->Write(request) && stream_->Read(&answer) && answer.answer().result() == v1::UPSTREAM_RESULT_DONE;
    }

private:
    std::unique_ptr<v1::Upstream::Stub> stub_;
    grpc::ClientContext context_;
    std::unique_ptr<grpc::ClientReaderWriter<v1::ConnectionRequest, v1::ConnectionAnswer>> stream_;
    std::uint64_t next_ = 1;
};

double medianMicros(std::vector<SteadyClock::duration> &samples)
{
    std::ranges::nth_element(samples, samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2));
    return std::chrono::duration<double, std::micro>(samples[samples.size() / 2]).count();
}

template<typename Call>
SteadyClock::duration timeOf(const Call &call)
{
    const auto start = SteadyClock::now();
    call();
    return SteadyClock::now() - start;
}

/** Processor time of this process: callers, proxy and stand-in together. Unlike a rate, it hardly depends on other load on the machine. */
double cpuMicros()
{
    return 1e6 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** Measures one statement at a time, alternately directly and through a proxy. */
void BM_AddedLatency(benchmark::State &state)
{
    LoopbackFleet fleet(instantGroup());
    CallerClient client(fleet.addProxy("z1").callerAddress());
    DirectConnection direct(fleet.group().address());
    const Request read = LoopbackFleet::session().read(LoopbackFleet::groupId(), "get tyre");
    std::vector<SteadyClock::duration> directTimes;
    std::vector<SteadyClock::duration> proxyTimes;
    for (auto _ : state) {
        for (int i = 0; i < pairs; ++i) {
            bool ok = true;
            directTimes.push_back(timeOf([&] { ok = direct.read(); }));
            proxyTimes.push_back(timeOf([&] {
                const ClientResult result = client.execute(read);
                ok = ok && result.ok() && result->outcome_ == Outcome::Done;
            }));
            if (!ok) {
                state.SkipWithError("a statement failed");
                return;
            }
        }
    }
    const double directMedian = medianMicros(directTimes);
    const double proxyMedian = medianMicros(proxyTimes);
    state.counters["direct_p50_us"] = directMedian;
    state.counters["proxy_p50_us"] = proxyMedian;
    state.counters["added_p50_us"] = proxyMedian - directMedian;
}
BENCHMARK(BM_AddedLatency)->Iterations(1)->Repetitions(3)->Unit(benchmark::kMillisecond);

/** Keeps a number of statements in flight until all have been answered. */
class Window
{
public:
    Window(CallerClient &client, const Request &request, int total)
        : client_(client)
        , request_(request)
        , left_(total)
    {
    }

    /** Returns the number of statements done. */
    int run()
    {
        for (int i = 0; i < windowSize; ++i) {
            sendNext();
        }
        std::unique_lock lock(mutex_);
        ended_.wait(lock, [this] { return inFlight_ == 0; });
        return done_;
    }

private:
    void sendNext()
    {
        {
            const std::scoped_lock lock(mutex_);
            if (left_ == 0) {
                return;
            }
            --left_;
            ++inFlight_;
        }
        client_.execute(request_, [this](const ClientResult &result) {
            const bool done = result.ok() && result->outcome_ == Outcome::Done;
            sendNext();
            const std::scoped_lock lock(mutex_);
            done_ += done ? 1 : 0;
            if (--inFlight_ == 0) {
                ended_.notify_all();
            }
        });
    }

    CallerClient &client_;
    const Request request_;
    std::mutex mutex_;
    std::condition_variable ended_;
    int left_;
    int inFlight_ = 0;
    int done_ = 0;
};

/** Many statements at a time through one proxy. */
void BM_Throughput(benchmark::State &state)
{
    LoopbackFleet fleet(instantGroup(), SlotCount(connectionLimit));
    CallerClient client(fleet.addProxy("z1").callerAddress());
    const Request read = LoopbackFleet::session().read(LoopbackFleet::groupId(), "get tyre");
    const double cpuBefore = cpuMicros();
    for (auto _ : state) {
        if (Window(client, read, statements).run() != statements) {
            state.SkipWithError("a statement failed");
            return;
        }
    }
    state.SetItemsProcessed(state.iterations() * statements);
    state.counters["cpu_us"] = (cpuMicros() - cpuBefore) / statements;
}
BENCHMARK(BM_Throughput)->Iterations(1)->Repetitions(3)->Unit(benchmark::kMillisecond)->UseRealTime();

/** Many statements at a time directly to the stand-in, on as many connections as the group accepts. */
void BM_ThroughputDirect(benchmark::State &state)
{
    LoopbackFleet fleet(instantGroup());
    const double cpuBefore = cpuMicros();
    for (auto _ : state) {
        std::atomic<bool> ok = true;
        std::vector<std::thread> threads;
        for (unsigned i = 0; i < connectionLimit; ++i) {
            threads.emplace_back([&] {
                DirectConnection direct(fleet.group().address());
                for (unsigned n = 0; n < statements / connectionLimit; ++n) {
                    ok = direct.read() && ok;
                }
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        if (!ok) {
            state.SkipWithError("a statement failed");
        }
    }
    state.SetItemsProcessed(state.iterations() * (statements / connectionLimit) * connectionLimit);
    state.counters["cpu_us"] = (cpuMicros() - cpuBefore) / statements;
}
BENCHMARK(BM_ThroughputDirect)->Iterations(1)->Repetitions(3)->Unit(benchmark::kMillisecond)->UseRealTime();

} // namespace

} // namespace Figward::Testing

BENCHMARK_MAIN();
