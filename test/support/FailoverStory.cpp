#include "FailoverStory.h"

#include <stdexcept>

namespace Figward::Testing {

namespace {

constexpr Duration settleTime = std::chrono::seconds(3);
constexpr Duration requestTimeout = std::chrono::seconds(5);

} // namespace

FailoverStory::FailoverStory(WorldConfig config)
    : world_(std::move(config))
{
    world_.run(settleTime);
}

std::optional<Answer> FailoverStory::write(ProxyIndex proxy, const std::string &body)
{
    Request request{.kind_ = RequestKind::Write, .service_ = ServiceId("ledger"), .group_ = World::groupId(0), .body_ = body, .timeout_ = requestTimeout};
    request.key_ = {{100, 1}, Sequence(++sequence_)};
    request.class_ = ClassId("fitment");
    return world_.askAndWait(proxy, request);
}

std::optional<Duration> FailoverStory::timeToWrite(ProxyIndex proxy, Duration limit)
{
    const Time start = world_.now();
    while (world_.now() - start < limit) {
        const std::optional<Answer> answer = write(proxy, "add writes 1");
        if (answer && answer->outcome_ == Outcome::Done) {
            return world_.now() - start;
        }
        world_.run(std::chrono::milliseconds(1));
    }
    return std::nullopt;
}

ProxyIndex FailoverStory::ownerOfRank(unsigned rank)
{
    for (ProxyIndex proxy = 0; proxy < world_.proxies(); ++proxy) {
        if (world_.isAlive(proxy) && failover(proxy).rank_ == rank) {
            return proxy;
        }
    }
    throw std::out_of_range("no owner of this rank");
}

FailoverState &FailoverStory::failover(ProxyIndex proxy)
{
    return world_.state(proxy).owners_.at(World::groupId(0)).failover_;
}

const GroupView &FailoverStory::view(ProxyIndex proxy)
{
    return world_.state(proxy).owners_.at(World::groupId(0)).view_;
}

void FailoverStory::isolate(std::size_t zone, bool cut)
{
    for (std::size_t other = 0; other < 3; ++other) {
        if (other != zone) {
            world_.setZonesCut(zone, other, cut);
        }
    }
}

std::size_t FailoverStory::promotions()
{
    return world_.group(0).status(world_.primaryOf(0)).termStarts_.size() - 1;
}

void FailoverStory::losePrimary()
{
    world_.group(0).kill(world_.primaryOf(0), false, world_.now());
}

std::vector<std::string> FailoverStory::valuesOf(const std::string &key)
{
    std::vector<std::string> values;
    for (Standin::MemberIndex member = 0; member < world_.group(0).size(); ++member) {
        const auto &table = world_.group(0).log(member).values();
        const auto found = table.find(key);
        values.push_back(found == table.end() ? "" : found->second);
    }
    return values;
}

} // namespace Figward::Testing
