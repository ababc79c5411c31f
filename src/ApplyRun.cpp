#include "ApplyRun.h"

#include <random>
#include <thread>

namespace Figward {

namespace {

AttemptId randomAttempt()
{
    std::random_device device;
    return AttemptId((std::uint64_t(device()) << 32U) | device());
}

} // namespace

ApplyResult runApply(PlatformCaller &platform, std::string_view text, std::optional<ConfigVersion> expected)
{
    ConfigurationApply apply = startApply(text, expected, randomAttempt());
    ApplyStep step = stepApply(apply, std::nullopt);
    while (!step.result_) {
        std::this_thread::sleep_for(step.delay_);
        PlatformAnswer answer = platform.call(step.call_->body_, step.call_->timeout_);
        answer.id_ = step.call_->id_;
        step = stepApply(apply, answer);
    }
    return *step.result_;
}

} // namespace Figward
