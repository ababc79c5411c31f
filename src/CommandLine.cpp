#include "Command.h"
#include "Transport.h"

#include <exception>
#include <iostream>

namespace Figward {

namespace {

constexpr const char *exitCodeHelp = "Exit codes: 0 done, 1 failure or a broken promise, 2 bad input, 3 another configuration came first,\n"
                                     "4 the platform cannot be reached, 5 an answer was lost and the outcome is unknown.";

int parseAndRun(int argc, const char *const *argv)
{
    CLI::App app("figward: a database proxy with session consistency", "figward");
    app.require_subcommand(1);
    app.footer(exitCodeHelp);
    addCheckCommand(app);
    addServeCommand(app);
    addStandinCommand(app);
    addStatusCommand(app);
    addApplyCommand(app);
    addDemoCommand(app);
    addLoadCommand(app);
    addTimelineCommand(app);
    addVersionCommand(app);
    try {
        app.parse(argc, argv);
    } catch (const CLI::RuntimeError &exception) {
        return exception.get_exit_code();
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::BadInput);
    }
    return 0;
}

} // namespace

int runCommandLine(int argc, const char *const *argv)
{
    silenceLibraryLog();
    try {
        return parseAndRun(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "figward: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Failure);
    }
}

} // namespace Figward
