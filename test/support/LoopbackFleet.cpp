#include "LoopbackFleet.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <thread>

namespace Figward::Testing {

namespace {

constexpr std::chrono::seconds conditionTimeout(60);
constexpr std::chrono::milliseconds pollInterval(5);

Standin::PlatformModelConfig quickPlatform()
{
    Standin::PlatformModelConfig config;
    config.listLag_ = std::chrono::milliseconds(50);
    return config;
}

std::string certificateFile(const std::string &name)
{
    std::ifstream in(std::string(FIGWARD_SOURCE_DIR) + "/test/support/certificates/" + name);
    EXPECT_TRUE(in.is_open()) << name;
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

void RecordingLog::write(LogNumber number, const std::vector<LogField> & /*fields*/)
{
    const std::scoped_lock lock(mutex_);
    numbers_.push_back(number);
}

bool RecordingLog::has(LogNumber number) const
{
    const std::scoped_lock lock(mutex_);
    return std::ranges::find(numbers_, number) != numbers_.end();
}

bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + conditionTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

LoopbackFleet::LoopbackFleet(Standin::GroupModelConfig group, SlotCount slots)
    : slots_(slots)
    , platform_(quickPlatform(), 1)
    , group_(std::move(group), 1)
{
    EXPECT_TRUE(platform_.start("127.0.0.1:0").ok());
    EXPECT_TRUE(group_.start("127.0.0.1:0").ok());
}

Standin::GroupModelConfig LoopbackFleet::defaultGroup()
{
    Standin::GroupModelConfig config;
    config.members_ = {MemberId("ledger-1-a"), MemberId("ledger-1-b"), MemberId("ledger-1-c")};
    return config;
}

ServiceId LoopbackFleet::service()
{
    return ServiceId("ledger");
}

GroupId LoopbackFleet::groupId()
{
    return GroupId("ledger-1");
}

CallerSession LoopbackFleet::session()
{
    static std::atomic<std::uint64_t> next = 1;
    return {service(), {1'700'000'000, next++}};
}

Configuration LoopbackFleet::configuration() const
{
    Configuration configuration;
    configuration.version_ = ConfigVersion(1);
    GroupConfig group{groupId(), service(), {}, ConnectionCount(35), slots_};
    const std::array<const char *, 3> zones{"z1", "z2", "z3"};
    const std::vector<MemberId> members = defaultGroup().members_;
    for (std::size_t i = 0; i < members.size(); ++i) {
        group.members_.push_back({members[i], ZoneId(zones.at(i)), group_.address()});
    }
    configuration.groups_[group.id_] = group;
    configuration.services_[service()] = {service(), {}, {{ClassId("dispatch"), 0}}, {groupId()}};
    return configuration;
}

void LoopbackFleet::useTls()
{
    tls_ = TlsMaterial{certificateFile("proxy.pem"), certificateFile("proxy.key"), certificateFile("authority.pem")};
}

std::optional<TlsMaterial> LoopbackFleet::callerTrust() const
{
    return tls_ ? std::optional(TlsMaterial{{}, {}, tls_->rootCertificates_}) : std::nullopt;
}

std::unique_ptr<ProxyProcess> LoopbackFleet::makeProxy(ProxyOptions options)
{
    options.platformAddress_ = platform_.address();
    options.log_ = log_;
    return std::make_unique<ProxyProcess>(std::move(options));
}

std::unique_ptr<ProxyProcess> LoopbackFleet::startProxy(const std::string &zone)
{
    ProxyOptions options;
    options.zone_ = ZoneId(zone);
    options.peerTls_ = tls_;
    options.callerTls_ = tls_;
    if (tls_) {
        options.callerTls_->rootCertificates_.clear(); // Callers need no certificate.
    }
    std::unique_ptr<ProxyProcess> proxy = makeProxy(std::move(options));
    EXPECT_TRUE(proxy->start().ok());
    configure(*proxy);
    CallerClient client(proxy->callerAddress(), callerTrust());
    EXPECT_TRUE(eventually([&] {
        const ClientResult result = client.execute(session().read(groupId(), "get ready"));
        return result.ok() && result->outcome_ == Outcome::Done;
    }));
    return proxy;
}

void LoopbackFleet::configure(ProxyProcess &proxy)
{
    proxy.run([this](ProxyState &state, Time now, Effects &out) { activateConfiguration(state, configuration(), now, out); });
}

ProxyProcess &LoopbackFleet::addProxy(const std::string &zone)
{
    proxies_.push_back(startProxy(zone));
    awaitMembership();
    return *proxies_.back();
}

void LoopbackFleet::awaitMembership()
{
    const auto knowsAll = [this](const std::unique_ptr<ProxyProcess> &proxy) {
        std::size_t known = 0;
        proxy->run([&](ProxyState &state, Time, Effects &) {
            known = static_cast<std::size_t>(std::ranges::count_if(proxies_, [&](const auto &other) { return findVm(state, other->vm().id_) != nullptr; }));
        });
        return known == proxies_.size();
    };
    EXPECT_TRUE(eventually([&] { return std::ranges::all_of(proxies_, knowsAll); }));
}

void LoopbackFleet::replace(std::size_t index, const std::string &zone)
{
    proxies_[index]->drain();
    proxies_[index]->awaitExit();
    proxies_[index] = startProxy(zone);
    awaitMembership();
}

Standin::GroupStandinServer &LoopbackFleet::group()
{
    return group_;
}

Standin::PlatformStandinServer &LoopbackFleet::platform()
{
    return platform_;
}

ProxyProcess &LoopbackFleet::proxy(std::size_t index)
{
    return *proxies_[index];
}

std::size_t LoopbackFleet::size() const
{
    return proxies_.size();
}

RecordingLog &LoopbackFleet::log()
{
    return *log_;
}

} // namespace Figward::Testing
