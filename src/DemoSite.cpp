#include "DemoSite.h"

#include "CallerClient.h"
#include "ConfigurationText.h"
#include "LogWriter.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <functional>
#include <thread>

namespace Figward {

namespace {

using Standin::GroupModel;
using Standin::MemberIndex;

constexpr std::chrono::seconds startTimeout(30);
constexpr std::chrono::milliseconds pollInterval(20);
constexpr Duration listLag = std::chrono::milliseconds(500);
constexpr std::array<const char *, DemoSite::zoneCount> zones{"norte-a", "norte-b", "norte-c"};
constexpr const char *anyLoopbackPort = "127.0.0.1:0";

Standin::PlatformModelConfig platformConfig()
{
    Standin::PlatformModelConfig config;
    config.listLag_ = listLag;
    return config;
}

MemberId memberName(std::size_t group, std::size_t member)
{
    return MemberId(absl::StrCat(DemoSite::group(group).value(), std::string(1, static_cast<char>('a' + member))));
}

Standin::GroupModelConfig groupConfig(std::size_t group)
{
    Standin::GroupModelConfig config;
    for (std::size_t member = 0; member < DemoSite::zoneCount; ++member) {
        config.members_.push_back(memberName(group, member));
    }
    return config;
}

/** The running primary with the latest log position; size() if there is none. */
MemberIndex primaryOf(const GroupModel &model)
{
    MemberIndex found = model.size();
    for (MemberIndex member = 0; member < model.size(); ++member) {
        const bool isPrimary = model.isUp(member) && model.status(member).primary_;
        if (isPrimary && (found == model.size() || model.status(found).log_ < model.status(member).log_)) {
            found = member;
        }
    }
    return found;
}

bool waitUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + startTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace

DemoSite::DemoSite(std::string logPrefix)
    : logPrefix_(std::move(logPrefix))
    , platform_(platformConfig(), 1)
{
}

ServiceId DemoSite::service()
{
    return ServiceId("tyre-ledger");
}

GroupId DemoSite::group(std::size_t index)
{
    return GroupId(absl::StrCat("tyres-", index + 1));
}

std::vector<ClassId> DemoSite::classes()
{
    return {ClassId("dispatch"), ClassId("fitment"), ClassId("planning")};
}

absl::Status DemoSite::start()
{
    if (absl::Status status = platform_.start(anyLoopbackPort); !status.ok()) {
        return status;
    }
    for (std::size_t index = 0; index < groupCount; ++index) {
        groups_.push_back(std::make_unique<Standin::GroupStandinServer>(groupConfig(index), index + 1));
        const std::vector<std::string> addresses(zoneCount, anyLoopbackPort);
        if (absl::Status status = groups_.back()->start(addresses); !status.ok()) {
            return status;
        }
    }
    constexpr unsigned initialQueueLimit = 200;
    if (apply(configurationText(initialQueueLimit)).outcome_ != ApplyOutcome::Accepted) {
        return absl::InternalError("the first configuration was not accepted");
    }
    for (std::size_t index = 0; index < zoneCount; ++index) {
        if (absl::Status status = startProxy(index); !status.ok()) {
            return status;
        }
    }
    const bool ready = waitUntil([this] { return std::ranges::all_of(proxies_, [this](const auto &proxy) { return answersForAllGroups(*proxy); }); });
    return ready ? absl::OkStatus() : absl::DeadlineExceededError("the proxies do not answer for all groups");
}

absl::Status DemoSite::startProxy(std::size_t index)
{
    const std::string name = absl::StrCat("proxy-", zones.at(index));
    const std::string file = logPrefix_.empty() ? "" : absl::StrCat(logPrefix_, name, ".log");
    ProxyOptions options;
    options.zone_ = ZoneId(zones.at(index));
    options.platformAddress_ = platform_.address();
    options.seed_ = index + 1;
    options.log_ = std::make_shared<LogWriter>(name, file, file.empty() ? LogLevel::Error : LogLevel::Info);
    if (!proxies_.empty()) {
        options.seeds_ = {proxies_.front()->vm().address_};
    }
    proxies_.push_back(std::make_unique<ProxyProcess>(std::move(options)));
    absl::Status status = proxies_.back()->start();
    callerAddresses_.push_back(proxies_.back()->callerAddress());
    return status;
}

bool DemoSite::answersForAllGroups(const ProxyProcess &proxy)
{
    CallerClient client(proxy.callerAddress());
    for (std::size_t index = 0; index < groupCount; ++index) {
        const CallerSession session(service(), {1, index + 1});
        const ClientResult result = client.execute(session.read(group(index), "get ready"));
        if (!result.ok() || result->outcome_ != Outcome::Done) {
            return false;
        }
    }
    return true;
}

std::string DemoSite::configurationText(unsigned queueLimit) const
{
    std::string text = absl::StrCat("{\"policy\": {\"queue_limit\": ", queueLimit, "}, \"services\": [{\"name\": \"", service().value(), "\", \"classes\": [");
    unsigned priority = 0;
    for (const ClassId &id : classes()) {
        absl::StrAppend(&text, "{\"name\": \"", id.value(), "\", \"priority\": ", priority++, "},");
    }
    text += "], \"groups\": [";
    for (std::size_t index = 0; index < groupCount; ++index) {
        absl::StrAppend(&text, "{\"name\": \"", group(index).value(), "\", \"connection_limit\": 35, \"slots\": 5, \"members\": [");
        for (std::size_t member = 0; member < zoneCount; ++member) {
            const std::string &address = groups_[index]->addresses().at(member);
            absl::StrAppend(
                &text, "{\"name\": \"", memberName(index, member).value(), "\", \"zone\": \"", zones.at(member), "\", \"address\": \"", address, "\"},");
        }
        text += "]},";
    }
    return text + "]}]}";
}

ApplyResult DemoSite::apply(const std::string &text)
{
    PlatformCaller caller(platform_.address());
    return runApply(caller, text, std::nullopt);
}

bool DemoSite::isActive(ConfigVersion version)
{
    return std::ranges::all_of(proxies_, [version](const auto &proxy) {
        ConfigVersion active = version;
        if (proxy) {
            proxy->run([&](ProxyState &state, Time, Effects &) { active = state.configuration_.version_; });
        }
        return active >= version;
    });
}

std::vector<std::string> DemoSite::callerAddresses() const
{
    return callerAddresses_;
}

void DemoSite::drain(std::size_t index)
{
    proxies_[index]->drain();
    proxies_[index]->awaitExit();
    proxies_[index].reset();
}

MemberIndex DemoSite::killPrimary(std::size_t index)
{
    MemberIndex killed = 0;
    groups_[index]->run([&](GroupModel &model, Time now) {
        killed = primaryOf(model);
        if (killed < model.size()) {
            constexpr bool closesLinks = false;
            model.kill(killed, closesLinks, now);
        }
    });
    return killed;
}

void DemoSite::restart(std::size_t index, MemberIndex member)
{
    groups_[index]->run([member](GroupModel &model, Time now) {
        if (member < model.size()) {
            model.restart(member, now);
        }
    });
}

void DemoSite::setPlatformDown(bool down)
{
    platform_.run([down](Standin::PlatformModel &model, Time) {
        Standin::PlatformFaults faults = model.faults();
        faults.down_ = down;
        model.setFaults(faults);
    });
}

std::vector<Standin::LogEntry> DemoSite::primaryLog(std::size_t index)
{
    std::vector<Standin::LogEntry> entries;
    groups_[index]->run([&](GroupModel &model, Time) {
        const MemberIndex primary = primaryOf(model);
        if (primary < model.size()) {
            entries = model.log(primary).entries();
        }
    });
    return entries;
}

} // namespace Figward
