#include "CircuitBreaker.h"

#include "Backoff.h"

namespace Figward {

namespace {

constexpr unsigned failuresToOpen = 3;
constexpr Backoff openBackoff{std::chrono::milliseconds(50), 6}; // 3.2 s at most: a member that returns is in use again within seconds.

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
    circuit.opensUntil_ = now + backoffDelay(openBackoff, circuit.failures_ - failuresToOpen, random);
}

void noteSuccess(CircuitBreaker &circuit)
{
    circuit = {};
}

} // namespace Figward
