#include "Signals.h"

#include <future>

namespace Figward {

Signals::Signals(std::initializer_list<int> numbers)
    : set_(context_)
{
    for (const int number : numbers) {
        set_.add(number);
    }
}

Signals::~Signals()
{
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void Signals::start(Handler handler)
{
    handler_ = std::move(handler);
    waitForNext();
    thread_ = std::thread([this] { context_.run(); });
}

void Signals::wait()
{
    std::promise<void> received;
    bool first = true;
    start([&](int /*number*/) {
        if (first) {
            first = false;
            received.set_value();
        }
    });
    received.get_future().wait();
    context_.stop();
    thread_.join();
}

void Signals::waitForNext()
{
    set_.async_wait([this](const boost::system::error_code &error, int number) {
        if (!error) {
            handler_(number);
            waitForNext();
        }
    });
}

} // namespace Figward
