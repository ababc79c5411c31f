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

std::string withField(const std::string &field)
{
    return before.substr(0, before.size() - 1) + ", " + field + "}";
}

} // namespace

// An operator edits the settings of a running process and sends SIGHUP. The log level takes effect at once. The log lists the other changed settings as taking
// effect at the next start, so that they are not assumed to be active. A file with errors changes nothing, and the log states the first error.
TEST(SettingsAreReadAgain, whatChangesAtOnceAndWhatLater)
{
    const Settings current = *checkSettings(before).settings_;
    const SettingsReload level = reloadSettings(current, withField(R"("log_level": "debug")"));
    EXPECT_TRUE(level.logLevelChanged_);
    EXPECT_EQ(valueOf(level, "applied"), "log_level");
    EXPECT_EQ(valueOf(level, "at_next_start"), "");
    const SettingsReload address = reloadSettings(current, withField(R"("metrics_address": "127.0.0.1:9", "seeds": ["127.0.0.1:7"])"));
    EXPECT_FALSE(address.logLevelChanged_);
    EXPECT_EQ(valueOf(address, "applied"), "-");
    EXPECT_EQ(valueOf(address, "at_next_start"), "metrics_address,seeds");
}

TEST(SettingsAreReadAgain, mistakesChangeNothing)
{
    const Settings current = *checkSettings(before).settings_;
    for (const std::string &text : {std::string(), std::string("{"), withField(R"("log_level": "loud")"), withField(R"("no_such_field": 1)")}) {
        const SettingsReload reload = reloadSettings(current, text);
        EXPECT_FALSE(reload.settings_.has_value()) << text;
        EXPECT_FALSE(reload.logLevelChanged_) << text;
        EXPECT_EQ(reload.number_, LogNumber::SettingsRefused) << text;
        EXPECT_THAT(valueOf(reload, "reason"), Not(IsEmpty())) << text;
    }
}
