// A proxy starts while the platform is unavailable. It must answer callers 'not run' at once, with the reason, and must not exit. Once the platform is
// available again, the proxy must serve requests without a restart.
#include "support/LoopbackFleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {

namespace {

TEST(PlatformDownAtTheStart, TheProxyServesOnceThePlatformReturns)
{
    LoopbackFleet fleet;
    const auto setDown = [&](bool down) {
        fleet.platform().run([down](Standin::PlatformModel &model, Time) {
            Standin::PlatformFaults faults = model.faults();
            faults.down_ = down;
            model.setFaults(faults);
        });
    };
    setDown(true);
    ProxyOptions options;
    options.zone_ = ZoneId("z1");
    const std::unique_ptr<ProxyProcess> proxy = fleet.makeProxy(options);
    ASSERT_TRUE(proxy->start().ok());
    CallerClient client(proxy->callerAddress());
    const Request read = LoopbackFleet::session().read(LoopbackFleet::groupId(), "get tyre");
    const ClientResult early = client.execute(read);
    ASSERT_TRUE(early.ok());
    EXPECT_EQ(early->outcome_, Outcome::NotRun);
    EXPECT_EQ(early->error_, ErrorKind::NotConfigured);

    setDown(false);
    fleet.configure(*proxy);
    EXPECT_TRUE(eventually([&] {
        const ClientResult result = client.execute(read);
        return result.ok() && result->outcome_ == Outcome::Done;
    }));
}

} // namespace

} // namespace Figward::Testing
