// The settings name certificate files that are empty or contain something else. A proxy that started with them would refuse all callers, or even accept
// plain-text connections. It must refuse to start, with an error, and must not listen on any port.
#include "support/LoopbackFleet.h"

#include <gmock/gmock.h>

namespace Figward::Testing {

namespace {

TEST(CertificatesAreUnusable, TheProxyRefusesToStart)
{
    LoopbackFleet fleet;
    const std::string garbage = "no certificate";
    for (const TlsMaterial &material : {TlsMaterial{}, TlsMaterial{garbage, garbage, garbage}}) {
        ProxyOptions options;
        options.peerTls_ = material;
        EXPECT_FALSE(fleet.makeProxy(options)->start().ok());
        options.peerTls_.reset();
        options.callerTls_ = material;
        EXPECT_FALSE(fleet.makeProxy(options)->start().ok());
    }
}

} // namespace

} // namespace Figward::Testing
