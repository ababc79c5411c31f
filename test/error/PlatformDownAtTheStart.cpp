// A proxy starts while the platform is away. Callers are told 'not run', at once and with the reason, and the proxy neither ends nor stays in
// this state: when the platform returns it is served without being started again.
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
