#include "CircuitBreaker.h"

#include "Backoff.h"

namespace Figward {

namespace {

constexpr unsigned failuresToOpen = 3;
constexpr Backoff openBackoff{std::chrono::milliseconds(50), 6}; // The maximum is 3.2 s, so that a recovered member is used again within seconds.

} // namespace

bool allowsWork(const CircuitBreaker &circuit, Time now)
{
    return now >= circuit.openUntil_;
}

void recordFailure(CircuitBreaker &circuit, Time now, std::mt19937_64 &random)
{
    ++circuit.failures_;
    if (circuit.failures_ < failuresToOpen) {
        return;
    }
    circuit.openUntil_ = now + backoffDelay(openBackoff, circuit.failures_ - failuresToOpen, random);
}

void recordSuccess(CircuitBreaker &circuit)
{
    circuit = {};
}

} // namespace Figward
