// The settings name certificate files that are empty, or hold something else. A proxy that started nevertheless would turn away all callers, or worse,
// speak plain text. It must refuse to start with an error, and listen nowhere.
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
