/** \file
 * Defines a process of figward, started with the command of the deploy file on loopback addresses.
 */
#pragma once

#include "Http.h"
#include "Record.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

struct VmOptions
{
    std::string name_;
    std::string zone_;
    std::uint16_t storePort_ = 0;
    std::uint16_t promotionPort_ = 0;
    unsigned graceSeconds_ = 6;
};

class VmProcess
{
public:
    VmProcess(asio::io_context &context, Record &record, const std::string &folder, VmOptions options)
        : record_(record)
        , folder_(folder)
        , options_(std::move(options))
        , frontPort_(freePort(context))
        , readyPort_(freePort(context))
        , controlPort_(freePort(context))
    {
    }

    VmProcess(const VmProcess &) = delete;
    VmProcess &operator=(const VmProcess &) = delete;

    ~VmProcess()
    {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
        }
    }

    /** Starts the process; \p seeds are the control addresses of some VMs. */
    void start(const std::vector<std::string> &seeds)
    {
        const std::string settings = folder_ + "/" + options_.name_ + ".json";
        writeSettings(settings, seeds);
        const std::string log = folder_ + "/" + options_.name_ + ".out";
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(1);
            }
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::close_range(STDERR_FILENO + 1, ~0U, 0); // Otherwise it would keep the sockets of the stand-ins open.
            ::execl("target/figward", "target/figward", "serve", "--settings", settings.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        if (pid_ < 0) {
            throw std::runtime_error("no process could be started");
        }
        record_.line("vm " + options_.name_ + " started, zone " + options_.zone_);
    }

    void signal(int number) const
    {
        ::kill(pid_, number);
    }

    /** Whether the process has ended; it is then collected. */
    bool hasEnded()
    {
        if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ < 0;
    }

    [[nodiscard]] const std::string &name() const
    {
        return options_.name_;
    }

    [[nodiscard]] std::uint16_t frontPort() const
    {
        return frontPort_;
    }

    [[nodiscard]] std::string controlAddress() const
    {
        return "127.0.0.1:" + std::to_string(controlPort_);
    }

    /** Asks the process whether it is ready, as the platform does. */
    awaitable<bool> isReady() const
    {
        try {
            tcp::socket socket(co_await asio::this_coro::executor);
            co_await socket.async_connect({asio::ip::address_v4::loopback(), readyPort_}, use_awaitable);
            const std::string request = "GET /-/ready HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(request), use_awaitable);
            std::string answer;
            co_await asio::async_read_until(socket, asio::dynamic_buffer(answer), "\r\n", use_awaitable);
            co_return answer.starts_with("HTTP/1.1 200");
        } catch (const boost::system::system_error &) {
            co_return false;
        }
    }

private:
    /** Fills in deploy/settings.json. */
    void writeSettings(const std::string &file, const std::vector<std::string> &seeds) const
    {
        const auto local = [](std::uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        std::ofstream out(file);
        out << "{\n\"name\": \"" << options_.name_ << "\",\n\"availability_zone\": \"" << options_.zone_ << "\",\n\"caller_address\": " << local(frontPort_)
            << ",\n\"peer_address\": " << local(controlPort_) << ",\n\"platform_address\": " << local(options_.storePort_) << ",\n\"seeds\": [";
        for (std::size_t seed = 0; seed < seeds.size(); ++seed) {
            out << (seed == 0 ? "\"" : ", \"") << seeds[seed] << "\"";
        }
        out << "],\n\"log_level\": \"info\",\n\"sessions\": {\"vm_name\": \"" << options_.name_ << "\", \"ready_address\": " << local(readyPort_)
            << ", \"promotion_address\": " << local(options_.promotionPort_) << ", \"drain_ms\": " << options_.graceSeconds_ << "000}\n}\n";
    }

    Record &record_;
    std::string folder_;
    VmOptions options_;
    std::uint16_t frontPort_;
    std::uint16_t readyPort_;
    std::uint16_t controlPort_;
    pid_t pid_ = 0;
    int status_ = 0;
};

} // namespace Review
