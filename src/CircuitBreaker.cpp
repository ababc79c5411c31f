#include "CircuitBreaker.h"

#include <algorithm>

namespace Figward {

namespace {

constexpr unsigned failuresToOpen = 3;
constexpr Duration firstBackoff = std::chrono::milliseconds(50);
constexpr unsigned maxDoublings = 6; // 3.2 s at most: a member that returns is in use again within seconds.

} // namespace

bool allowsWork(const CircuitBreaker &circuit, Time now)
{
    return now >= circuit.opensUntil_;
}

void noteFailure(CircuitBreaker &circuit, Time now, std::mt19937_64 &random)
{
    ++circuit.failures_;
    if (circuit.failures_ < failuresToOpen) {
        return;
    }
    const unsigned doublings = std::min(circuit.failures_ - failuresToOpen, maxDoublings);
    const std::int64_t backoff = firstBackoff.count() << doublings;
    // Half of the backoff is random, so that proxies which failed together do not return together.
    const auto jitter = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(backoff / 2 + 1));
    circuit.opensUntil_ = now + Duration(backoff / 2 + jitter);
}

void noteSuccess(CircuitBreaker &circuit)
{
    circuit = {};
}

} // namespace Figward
