#include "LoadPlan.h"

namespace Figward {

ProxyDirectory::ProxyDirectory(const std::vector<std::string> &addresses)
{
    for (const std::string &address : addresses) {
        clients_.push_back(std::make_unique<CallerClient>(address));
        open_.push_back(std::make_unique<std::atomic<bool>>(true));
    }
}

CallerClient &ProxyDirectory::client(std::size_t proxy)
{
    return *clients_[proxy];
}

std::size_t ProxyDirectory::pick(std::mt19937_64 &random) const
{
    const std::size_t first = random() % clients_.size();
    for (std::size_t i = 0; i < clients_.size(); ++i) {
        const std::size_t proxy = (first + i) % clients_.size();
        if (isOpen(proxy)) {
            return proxy;
        }
    }
    return first;
}

void ProxyDirectory::close(std::size_t proxy)
{
    open_[proxy]->store(false);
}

bool ProxyDirectory::isOpen(std::size_t proxy) const
{
    return open_[proxy]->load();
}

std::size_t ProxyDirectory::size() const
{
    return clients_.size();
}

} // namespace Figward
