/** \file
 * Measures the cost of looking up the organisation of a client's statement, by the number of organisations with four keys each, and of the digest of a key,
 * computed once a session.
 */
#include "Organisations.h"

#include <benchmark/benchmark.h>
#include <string>

using namespace Figward;

namespace {

Organisations manyOrganisations(std::int64_t count)
{
    constexpr int keysOfEach = 4;
    Organisations organisations;
    for (std::int64_t number = 0; number < count; ++number) {
        const OrganisationId id("organisation-" + std::to_string(number));
        organisations.limits_[id] = {100, 100};
        for (int key = 0; key < keysOfEach; ++key) {
            organisations.keys_[digestOf("key-" + std::to_string(number) + "-" + std::to_string(key))] = id;
        }
    }
    return organisations;
}

void BM_IdentifyCaller(benchmark::State &state)
{
    const Organisations organisations = manyOrganisations(state.range(0));
    const std::optional<KeyDigest> key = digestOf("key-7-2");
    for (auto round : state) {
        benchmark::DoNotOptimize(identifyCaller(&organisations, false, key));
    }
}
BENCHMARK(BM_IdentifyCaller)->Arg(75)->Arg(10000);

void BM_DigestOfAKey(benchmark::State &state)
{
    for (auto round : state) {
        benchmark::DoNotOptimize(digestOf("7gxprymh2rrytapjsujq"));
    }
}
BENCHMARK(BM_DigestOfAKey);

} // namespace

BENCHMARK_MAIN();
