/** \file
 * Defines the frame of the command line: one function a command adds it to the application, and the exit codes that all commands share.
 */
#pragma once

#include "TextProblem.h"

#include <CLI/CLI.hpp>
#include <absl/types/span.h>
#include <string>

namespace Figward {

/** What a command's exit code tells a script. */
enum class ExitCode : int {
    Ok = 0,
    Failure = 1, ///< The command could not do its work, or a promise was broken.
    BadInput = 2, ///< Options, a file or a text in it are wrong; nothing was done.
    Conflict = 3, ///< Another operator's configuration came first; nothing was changed.
    PlatformUnreachable = 4, ///< Proved that nothing was changed.
    Unknown = 5, ///< An answer was lost; what became of the change could not be found out.
};

/** Runs the command that \p argv names; returns the exit code. */
int runCommandLine(int argc, const char *const *argv);

/** Ends the command at once; to be called from a command's callback. */
[[noreturn]] void exitWith(ExitCode code);

/** Contents of the file at \p path. Prints a line and ends the command with BadInput if it cannot be read. */
std::string readFileOrExit(const std::string &path);
/** Prints one line "FILE:LINE:COLUMN: POINTER: message" for each problem to standard error; ends the command with BadInput if there is one. */
void exitIfProblems(const std::string &file, absl::Span<const TextProblem> problems);

/** Each adds one command to \p app. */
void addApplyCommand(CLI::App &app);
void addCheckCommand(CLI::App &app);
void addServeCommand(CLI::App &app);
void addStandinCommand(CLI::App &app);
void addStatusCommand(CLI::App &app);
void addDemoCommand(CLI::App &app);
void addLoadCommand(CLI::App &app);
void addTimelineCommand(CLI::App &app);
void addVersionCommand(CLI::App &app);

} // namespace Figward
