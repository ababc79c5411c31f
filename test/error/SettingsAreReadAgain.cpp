#include "SettingsReload.h"

#include <gmock/gmock.h>

using namespace Figward;
using namespace testing;

namespace {

const std::string before = R"({"availability_zone": "a", "caller_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2", "platform_address": "127.0.0.1:3"})";

std::string valueOf(const SettingsReload &reload, const std::string &key)
{
    const auto found = std::ranges::find(reload.fields_, key, &LogField::key_);
    return found == reload.fields_.end() ? "(none)" : found->value_;
}

std::string with(const std::string &field)
{
    return before.substr(0, before.size() - 1) + ", " + field + "}";
}

} // namespace

// An operator changes the settings of a running process and tells it by SIGHUP. What can change at once does; for the rest the log says that it holds from
// the next start, so that nobody takes it for done. A file with mistakes changes nothing, and the log names the first one.
TEST(SettingsAreReadAgain, whatChangesAtOnceAndWhatLater)
{
    const Settings inForce = *checkSettings(before).settings_;
    const SettingsReload level = reloadSettings(inForce, with(R"("log_level": "debug")"));
    EXPECT_TRUE(level.logLevelChanged_);
    EXPECT_EQ(valueOf(level, "applied"), "log_level");
    EXPECT_EQ(valueOf(level, "at_next_start"), "");
    const SettingsReload address = reloadSettings(inForce, with(R"("metrics_address": "127.0.0.1:9", "seeds": ["127.0.0.1:7"])"));
    EXPECT_FALSE(address.logLevelChanged_);
    EXPECT_EQ(valueOf(address, "applied"), "-");
    EXPECT_EQ(valueOf(address, "at_next_start"), "metrics_address,seeds");
}

TEST(SettingsAreReadAgain, mistakesChangeNothing)
{
    const Settings inForce = *checkSettings(before).settings_;
    for (const std::string &text : {std::string(), std::string("{"), with(R"("log_level": "loud")"), with(R"("no_such_field": 1)")}) {
        const SettingsReload reload = reloadSettings(inForce, text);
        EXPECT_FALSE(reload.settings_.has_value()) << text;
        EXPECT_FALSE(reload.logLevelChanged_) << text;
        EXPECT_EQ(reload.number_, LogNumber::SettingsRefused) << text;
        EXPECT_THAT(valueOf(reload, "reason"), Not(IsEmpty())) << text;
    }
}
