// A proxy that ignored an invalid field of its settings file would listen at a wrong address or advertise an unreachable one. It must refuse the file and
// report all errors at once.

#include "Settings.h"

#include <absl/strings/str_cat.h>
#include <gmock/gmock.h>

using namespace Figward;
using namespace testing;

namespace {

std::vector<std::string> mistakes(const std::string &text)
{
    std::vector<std::string> lines;
    for (const TextProblem &problem : checkSettings(text).problems_) {
        lines.push_back(absl::StrCat(problem.line_, ":", problem.column_, " ", std::string(toString(problem.kind_)), " ", problem.pointer_));
    }
    return lines;
}

constexpr const char *addresses = R"("caller_address": "0.0.0.0:7400", "platform_address": "10.0.0.1:80", "availability_zone": "z")";

} // namespace

TEST(SettingsMistakesAreAllNamed, everyMistakeInOneRun)
{
    EXPECT_THAT(mistakes("{\n\"peer_address\": \"10.0.0.7\", \"log_level\": \"loud\", \"seeds\": [\"h:1\"],\n\"caller_tls\": {\"key_file\": \"\"}}"),
                ElementsAre("1:1 missing-field /availability_zone",
                            "1:1 missing-field /caller_address",
                            "1:1 missing-field /platform_address",
                            "2:17 invalid-value /peer_address",
                            "2:42 invalid-value /log_level",
                            "2:60 invalid-value /seeds/0",
                            "3:15 missing-field /caller_tls/certificate_file",
                            "3:28 out-of-range /caller_tls/key_file"));
}

TEST(SettingsMistakesAreAllNamed, anAddressThatOthersCannotReach)
{
    const auto withPeer = [](const std::string &peer) { return mistakes(absl::StrCat("{", addresses, ",\n", peer, "}")); };
    EXPECT_THAT(withPeer(R"("peer_address": "0.0.0.0:7401")"), ElementsAre("2:17 invalid-value /peer_address"));
    EXPECT_THAT(withPeer(R"("peer_address": "0.0.0.0:7401", "advertised_address": "[::]:1")"), ElementsAre("2:55 invalid-value /advertised_address"));
    EXPECT_THAT(withPeer(R"("peer_address": "0.0.0.0:7401", "advertised_address": "10.0.0.7:7401")"), IsEmpty());
}

TEST(SettingsMistakesAreAllNamed, whatIsLeftOutHasItsDefault)
{
    const CheckedSettings checked = checkSettings(absl::StrCat("{", addresses, R"(, "peer_address": "10.0.0.7:7401"})"));
    ASSERT_TRUE(checked.settings_.has_value());
    EXPECT_EQ(checked.settings_->advertisedAddress_, "10.0.0.7:7401");
    EXPECT_EQ(checked.settings_->name_, "10.0.0.7:7401");
    EXPECT_EQ(checked.settings_->logLevel_, LogLevel::Info);
    EXPECT_FALSE(checked.settings_->peerTls_.has_value());
}
