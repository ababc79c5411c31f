/** \file
 * Defines the command line: the functions that add one command each to the application, and the exit codes that all commands share.
 */
#pragma once

#include "TextProblem.h"

#include <CLI/CLI.hpp>
#include <absl/types/span.h>
#include <string>

namespace Figward {

/** Exit codes of the commands, for scripts. */
enum class ExitCode : int {
    Ok = 0,
    Failure = 1, ///< The command failed, or a consistency guarantee was violated.
    BadInput = 2, ///< Invalid options, or a file is unreadable or has invalid content; nothing was done.
    Conflict = 3, ///< Another operator's configuration was accepted first; nothing was changed.
    PlatformUnreachable = 4, ///< The platform is unreachable; it is certain that nothing was changed.
    Unknown = 5, ///< An answer was lost; whether the change took effect could not be determined.
};

/** Runs the command given in \p argv; returns the exit code. */
int runCommandLine(int argc, const char *const *argv);

/** Ends the command at once by an exception. Must be called from a command's callback. */
[[noreturn]] void exitWith(ExitCode code);

/** Returns the content of the file at \p path. If it cannot be read, prints an error and ends the command with BadInput. */
std::string readFileOrExit(const std::string &path);
/** Prints a line "FILE:LINE:COLUMN: POINTER: KIND: message" to standard error for each problem; ends the command with BadInput if there is any. */
void exitIfProblems(const std::string &file, absl::Span<const TextProblem> problems);

/** Each of these functions adds one command to \p app. */
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
