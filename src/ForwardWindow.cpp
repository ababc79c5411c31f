#include "ForwardWindow.h"

#include <algorithm>

namespace Figward {

bool recordArrival(ForwardWindow &window, RequestId id)
{
    const std::uint64_t number = id.value();
    if (number + ForwardWindow::size <= window.highest_) {
        return false;
    }
    if (number > window.highest_) {
        const std::uint64_t skipped = std::min<std::uint64_t>(number - window.highest_, ForwardWindow::size);
        for (std::uint64_t forgotten = 0; forgotten < skipped; ++forgotten) {
            window.arrived_.reset((number - forgotten) % ForwardWindow::size);
        }
        window.highest_ = number;
    }
    const bool first = !window.arrived_.test(number % ForwardWindow::size);
    window.arrived_.set(number % ForwardWindow::size);
    return first;
}

} // namespace Figward
