#include "support/ServeProcess.h"

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Figward::Testing {

namespace {

std::string makeDirectory()
{
    std::string path = (std::filesystem::temp_directory_path() / "figward-serve-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("cannot make a directory for a process");
    }
    return path;
}

std::string settingsOf(const ServeOptions &options)
{
    const boost::json::object sessions{{"vm_name", options.name_},
                                       {"ready_address", options.readyAddress_},
                                       {"promotion_address", options.promotionAddress_},
                                       {"drain_ms", options.drainTime_.count()}};
    return boost::json::serialize(boost::json::object{{"name", options.name_},
                                                      {"availability_zone", options.zone_},
                                                      {"caller_address", options.clientAddress_},
                                                      {"peer_address", options.peerAddress_},
                                                      {"platform_address", options.storeAddress_},
                                                      {"seeds", boost::json::array()},
                                                      {"log_level", "info"},
                                                      {"sessions", sessions}});
}

} // namespace

ServeProcess::ServeProcess(ServeOptions options)
    : options_(std::move(options))
    , directory_(makeDirectory())
{
    std::ofstream(directory_ + "/settings.json") << settingsOf(options_);
}

ServeProcess::~ServeProcess()
{
    if (process_ != 0) {
        signal(SIGKILL);
        waitpid(process_, nullptr, 0);
    }
    std::error_code ignored; // A directory that stays does no harm.
    std::filesystem::remove_all(directory_, ignored);
}

void ServeProcess::start()
{
    std::string program = FIGWARD_PROGRAM;
    std::string command = "serve";
    std::string option = "--settings";
    std::string settings = directory_ + "/settings.json";
    const std::string output = directory_ + "/log";
    const std::array<char *, 5> arguments{program.data(), command.data(), option.data(), settings.data(), nullptr};
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&process_, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        process_ = 0;
        throw std::runtime_error("cannot start " + program);
    }
}

void ServeProcess::signal(int number) const
{
    if (process_ != 0) {
        ::kill(process_, number);
    }
}

std::optional<int> ServeProcess::awaitEnd(std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds step(5);
    for (const auto end = std::chrono::steady_clock::now() + limit; std::chrono::steady_clock::now() < end; std::this_thread::sleep_for(step)) {
        int status = 0;
        if (waitpid(process_, &status, WNOHANG) == process_) {
            process_ = 0;
            return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        }
    }
    return std::nullopt;
}

const ServeOptions &ServeProcess::options() const
{
    return options_;
}

std::string ServeProcess::log() const
{
    std::ifstream in(directory_ + "/log", std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace Figward::Testing
