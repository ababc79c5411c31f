#include "Backoff.h"

#include <algorithm>

namespace Figward {

Duration backoffDelay(const Backoff &backoff, unsigned failures, std::mt19937_64 &random)
{
    const std::int64_t whole = backoff.first_.count() << std::min(failures, backoff.maxDoublings_);
    const auto jitter = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(whole / 2 + 1));
    return Duration(whole / 2 + jitter);
}

} // namespace Figward
