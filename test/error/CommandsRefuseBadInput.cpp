// A mistyped option or a file that does not exist must make a command print an error and exit with the code for bad input. Otherwise a script would take the
// run for a success. No command may crash.

#include "Command.h"
#include "support/TestFiles.h"

#include <filesystem>
#include <gmock/gmock.h>

using namespace Figward;
using namespace testing;

namespace {

struct CommandRun
{
    int code_;
    std::string output_;
    std::string errors_;
};

CommandRun run(std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "figward");
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    const int code = runCommandLine(static_cast<int>(arguments.size()), arguments.data());
    return {code, testing::internal::GetCapturedStdout(), testing::internal::GetCapturedStderr()};
}

/** Creates a file with content \p text in the temporary directory and returns its path. */
std::string fileWith(const std::string &name, const std::string &text)
{
    std::string path = (std::filesystem::path(testing::TempDir()) / name).string();
    std::ofstream(path) << text;
    return path;
}

constexpr int badInput = static_cast<int>(ExitCode::BadInput);

} // namespace

TEST(CommandsRefuseBadInput, unknownCommandsAndOptions)
{
    EXPECT_EQ(run({}).code_, badInput);
    EXPECT_EQ(run({"fly"}).code_, badInput);
    EXPECT_EQ(run({"check"}).code_, badInput);
    EXPECT_EQ(run({"check", "a", "--nonsense"}).code_, badInput);
    EXPECT_EQ(run({"timeline"}).code_, badInput);
    EXPECT_EQ(run({"demo", "--seconds", "0"}).code_, badInput);
    EXPECT_EQ(run({"load", "--proxy", "nowhere", "--service", "s", "--group", "g"}).code_, badInput);
}

TEST(CommandsRefuseBadInput, helpIsNoMistake)
{
    for (const char *command : {"apply", "check", "demo", "load", "status", "timeline", "version"}) {
        const CommandRun help = run({command, "--help"});
        EXPECT_EQ(help.code_, 0) << command;
        EXPECT_THAT(help.output_, HasSubstr(command));
    }
}

TEST(CommandsRefuseBadInput, filesThatCannotBeRead)
{
    EXPECT_EQ(run({"check", "/nonexistent/file"}).code_, badInput);
    EXPECT_THAT(run({"check", "/"}).errors_, HasSubstr("/: "));
    EXPECT_EQ(run({"timeline", "/nonexistent/file"}).code_, badInput);
}

TEST(CommandsRefuseBadInput, everyMistakeOfATextOnALineOfItsOwn)
{
    const std::string file = fileWith("three-mistakes.json", "{\n  \"policy\": {\"missed_probes\": 0},\n  \"services\": 1,\n  \"colour\": 2\n}\n");
    const CommandRun checked = run({"check", file.c_str()});
    EXPECT_EQ(checked.code_, badInput);
    EXPECT_THAT(checked.errors_, HasSubstr(file + ":2:31: /policy/missed_probes: out-of-range: "));
    EXPECT_THAT(checked.errors_, HasSubstr(file + ":3:15: /services: wrong-type: "));
    EXPECT_THAT(checked.errors_, HasSubstr(file + ":4:3: /colour: unknown-field: "));
    EXPECT_EQ(std::ranges::count(checked.errors_, '\n'), 3);
}

TEST(CommandsRefuseBadInput, nothingIsAppliedOfATextWithAMistake)
{
    const std::string file = fileWith("one-mistake.json", "{\"services\": []}");
    EXPECT_EQ(run({"apply", file.c_str(), "--platform", "127.0.0.1:1"}).code_, badInput);
    const std::string example = FIGWARD_SOURCE_DIR "/examples/consorcio.json";
    EXPECT_EQ(run({"apply", example.c_str(), "--platform", "nowhere"}).code_, badInput);
    EXPECT_EQ(run({"apply", example.c_str(), "--platform", "127.0.0.1:1", "--expect-version", "x"}).code_, badInput);
}

TEST(CommandsRefuseBadInput, aPlatformThatIsAwayHasAnExitCodeOfItsOwn)
{
    EXPECT_EQ(run({"status", "--platform", "nowhere"}).code_, badInput);
    EXPECT_EQ(run({"status", "--platform", "127.0.0.1:1"}).code_, static_cast<int>(ExitCode::PlatformUnreachable));
}

TEST(CommandsRefuseBadInput, correctExamplesPass)
{
    const std::string example = FIGWARD_SOURCE_DIR "/examples/consorcio.json";
    EXPECT_EQ(run({"check", example.c_str()}).code_, 0);
}

TEST(CommandsRefuseBadInput, timelineNamesLinesThatItCannotRead)
{
    const std::string log = fileWith("broken.log", "2026-01-02T03:04:05.678Z INFO 101 process-started a\nrubbish\n");
    const CommandRun timeline = run({"timeline", log.c_str()});
    EXPECT_EQ(timeline.code_, badInput);
    EXPECT_THAT(timeline.output_, HasSubstr("process-started"));
    EXPECT_THAT(timeline.errors_, HasSubstr(log + ":2: "));
}
