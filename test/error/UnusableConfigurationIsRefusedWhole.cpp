// A configuration is accepted on the platform that this proxy cannot use, say because it was checked by a newer release.
// Taking the parts that it understands would put a configuration in force that no operator wrote. The proxy keeps the version it had and says why;
// a later version that it can use comes into force as usual. A part that does not match its hash is as good as not received.

#include "support/Fleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {
namespace {

using std::chrono::seconds;

/** Replaces the manifest on the platform by one whose only part is \p text. */
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
        EXPECT_EQ(vm.state_.sync_.refused_, ConfigVersion(2));
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
        EXPECT_EQ(vm.state_.sync_.refused_, ConfigVersion());
    }
}

} // namespace
} // namespace Figward::Testing
