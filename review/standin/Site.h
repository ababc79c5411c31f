/** \file
 * Defines a small deployment for one run: the store, one group of members, and some VMs, each with its own path to the store and to the promotion call.
 */
#pragma once

#include "ClientSession.h"
#include "Group.h"
#include "Path.h"
#include "Record.h"
#include "Store.h"
#include "VmProcess.h"

#include <cstdlib>
#include <iostream>
#include <set>

namespace Review {

/** How a run ended; the value is the exit status of the script. */
enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/** One VM, with its paths to the platform. */
struct SiteVm
{
    std::unique_ptr<Path> storePath_;
    std::unique_ptr<Path> promotionPath_;
    std::unique_ptr<VmProcess> process_;
    bool wasPartitioned_ = false;

    void setPlatformCut(bool cut) const
    {
        storePath_->setCut(cut);
        promotionPath_->setCut(cut);
    }
};

class Site
{
public:
    /** \p folder is for settings and logs of the processes; the record is written to \p recordFile. */
    Site(const std::string &folder, const std::string &recordFile, GroupOptions options, const std::vector<std::string> &vmZones)
        : record_(recordFile)
        , options_(std::move(options))
        , store_(context_)
        , group_(context_, record_, store_, options_)
    {
        writeConfiguration();
        for (const std::string &zone : vmZones) {
            SiteVm vm;
            vm.storePath_ = std::make_unique<Path>(context_, store_.port());
            vm.promotionPath_ = std::make_unique<Path>(context_, group_.promotionPort());
            const std::string name = "front-" + std::to_string(vms_.size() + 1);
            vm.process_ = std::make_unique<VmProcess>(
                context_, record_, folder, VmOptions{name, zone, vm.storePath_->port(), vm.promotionPath_->port()});
            vms_.push_back(std::move(vm));
        }
    }

    /** Starts the VMs and waits until all are ready; false if they are not within ten seconds. */
    awaitable<bool> start()
    {
        std::vector<std::string> seeds;
        for (const SiteVm &vm : vms_) {
            seeds.push_back(vm.process_->controlAddress());
        }
        for (const SiteVm &vm : vms_) {
            vm.process_->start(seeds);
        }
        constexpr int attempts = 100;
        for (int attempt = 0; attempt < attempts; ++attempt) {
            bool ready = true;
            for (const SiteVm &vm : vms_) {
                ready = ready && co_await vm.process_->isReady();
            }
            if (ready) {
                record_.line("all VMs are ready");
                co_await pause(milliseconds(3000)); // Until the VMs know each other and the group has a leader.
                co_return true;
            }
            co_await pause(milliseconds(100));
        }
        co_return false;
    }

    /** Waits until \p time after the start of the record. */
    awaitable<void> until(double millis)
    {
        while (record_.now() < millis) {
            co_await pause(milliseconds(1));
        }
    }

    SiteVm *vm(const std::string &name)
    {
        for (SiteVm &vm : vms_) {
            if (vm.process_->name() == name) {
                return &vm;
            }
        }
        return nullptr;
    }

    /** Name of the VM that leads the group according to the store; empty if unknown. */
    std::string leader()
    {
        const json::value claim = store_.get("figward-leaders", options_.service_);
        return claim.is_object() && claim.as_object().contains("leader") ? std::string(claim.at("leader").as_string()) : std::string();
    }

    asio::io_context context_;
    Record record_;
    GroupOptions options_;
    Store store_;
    Group group_;
    std::vector<SiteVm> vms_;

private:
    json::object route(const char *name, const char *host, const char *type, int timeout, int target, int priority, int staleness) const
    {
        return json::object{{"name", name},
                            {"host", host},
                            {"path_prefix", "/"},
                            {"type", type},
                            {"timeout_ms", timeout},
                            {"target_latency_ms", target},
                            {"priority", priority},
                            {"service", options_.service_},
                            {"attempts", 2},
                            {"max_staleness_ms", staleness}};
    }

    void writeConfiguration()
    {
        const json::array routes{route("r-1", "ledger", "primary", 1000, 200, 1, 0),
                                 route("r-2", "history", "bounded_staleness", 3000, 800, 2, 1500),
                                 route("r-3", "dispatch", "read_your_writes", 1000, 400, 2, 2500)};
        const json::array services{json::object{{"name", options_.service_}, {"max_conns", 34}, {"sync_replicas", options_.syncReplicas_}}};
        store_.put("config", "main", json::object{{"version", 7}, {"routes", routes}, {"services", services}, {"limits", json::object{{"tx_idle_ms", 3000}}}});
    }
};

/** Whether the run is with the disruption. */
inline bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/** Runs \p scenario on the site's context and returns its verdict. */
template<typename Scenario>
int runScenario(Site &site, Scenario scenario)
{
    Verdict verdict = Verdict::NotRun;
    asio::co_spawn(site.context_, scenario(site), [&](const std::exception_ptr &error, Verdict result) {
        if (error) {
            try {
                std::rethrow_exception(error);
            } catch (const std::exception &failure) {
                site.record_.line(std::string("the run failed: ") + failure.what());
            }
        } else {
            verdict = result;
        }
        site.context_.stop();
    });
    site.context_.run();
    const char *text = verdict == Verdict::Held ? "the rule held" : verdict == Verdict::Broken ? "the rule was broken" : "the case could not run";
    site.record_.line(std::string("verdict: ") + text);
    std::cout << text << '\n';
    return static_cast<int>(verdict);
}

} // namespace Review
