#include "Command.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

namespace Figward {

void exitWith(ExitCode code)
{
    throw CLI::RuntimeError(static_cast<int>(code));
}

std::string readFileOrExit(const std::string &path)
{
    std::error_code ignored;
    std::ifstream in(path, std::ios::binary);
    // Opening a directory succeeds; only reading it fails, with an exception.
    if (!in || std::filesystem::is_directory(path, ignored)) {
        std::cerr << path << ": cannot be read\n";
        exitWith(ExitCode::BadInput);
    }
    return {std::istreambuf_iterator<char>(in), {}};
}

void exitIfProblems(const std::string &file, absl::Span<const TextProblem> problems)
{
    for (const TextProblem &problem : problems) {
        const std::string_view location = problem.pointer_.empty() ? "(whole text)" : std::string_view(problem.pointer_);
        std::cerr << file << ':' << problem.line_ << ':' << problem.column_ << ": " << location << ": " << toString(problem.kind_) << ": " << problem.detail_
                  << '\n';
    }
    if (!problems.empty()) {
        exitWith(ExitCode::BadInput);
    }
}

} // namespace Figward
