// The platform has accepted a configuration that this proxy cannot use, for example because a newer release checked it. Applying only the parts that the proxy
// understands would activate a configuration that no operator wrote. The proxy must keep its current version and report the reason; a later version that it
// can use is activated as usual. A part that does not match its hash must be treated as not received.

#include "support/Fleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {
namespace {

using std::chrono::seconds;

/** Replaces the manifest on the platform by one whose only part has the hash of \p text; the content stored for that part is \p stored. */
void forceManifest(Fleet &fleet, ConfigVersion version, const std::string &text, const std::string &stored)
{
    const Manifest manifest{.version_ = version, .attempt_ = AttemptId(9), .parts_ = {{"service/service-0", contentHash(text)}}};
    const auto put = [&](const std::string &path, const std::string &value) {
        const auto found = fleet.platform().objects().find(path);
        const ObjectVersion expected = found == fleet.platform().objects().end() ? ObjectVersion() : found->second.version_;
        fleet.platform().call(Standin::PlatformTag(0), {CallId(1), seconds(1), PutObject{path, expected, value}}, fleet.now());
    };
    put(partPath(contentHash(text)), stored);
    put(manifestPath(), encodeManifest(manifest));
}

TEST(UnusableConfigurationIsRefusedWhole, TheFormerVersionStays)
{
    Fleet fleet({.vms_ = 3, .seed_ = 31});
    fleet.apply(configurationText(2, 1));
    fleet.run(seconds(5));
    forceManifest(fleet, ConfigVersion(2), R"({"name": "service-0", "from_the_future": 1})", R"({"name": "service-0", "from_the_future": 1})");
    fleet.run(seconds(5));
    for (const FleetVm &vm : fleet.vms()) {
        EXPECT_EQ(vm.state_.configuration_.version_, ConfigVersion(1));
        EXPECT_EQ(vm.state_.configuration_.services_.size(), 2U);
        EXPECT_EQ(vm.state_.sync_.refusedVersion_, ConfigVersion(2));
        EXPECT_THAT(vm.state_.sync_.refusal_, testing::HasSubstr("from_the_future"));
    }
    fleet.apply(configurationText(2, 3));
    fleet.run(seconds(5));
    for (const FleetVm &vm : fleet.vms()) {
        EXPECT_EQ(vm.state_.configuration_.version_, ConfigVersion(3));
    }
}

TEST(UnusableConfigurationIsRefusedWhole, ADamagedPartDoesNotCount)
{
    Fleet fleet({.vms_ = 3, .seed_ = 32});
    fleet.apply(configurationText(2, 1));
    fleet.run(seconds(5));
    forceManifest(fleet, ConfigVersion(2), "what the hash is of", "what is stored");
    fleet.run(seconds(5));
    for (const FleetVm &vm : fleet.vms()) {
        EXPECT_EQ(vm.state_.configuration_.version_, ConfigVersion(1));
        EXPECT_EQ(vm.state_.sync_.refusedVersion_, ConfigVersion());
    }
}

} // namespace
} // namespace Figward::Testing
