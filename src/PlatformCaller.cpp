#include "PlatformCaller.h"

namespace Figward {

PlatformCaller::PlatformCaller(const std::string &address)
    : link_(openChannel(address, clientCredentials(std::nullopt)), mailbox_)
{
}

PlatformAnswer PlatformCaller::call(PlatformBody body, Duration timeout)
{
    mailbox_.promise_ = {};
    std::future<PlatformAnswer> answer = mailbox_.promise_.get_future();
    link_.call({CallId(nextCall_++), timeout, std::move(body)});
    return answer.get();
}

void PlatformCaller::Mailbox::post(EventBody event)
{
    promise_.set_value(std::get<PlatformAnswered>(std::move(event)).answer_);
}

} // namespace Figward
