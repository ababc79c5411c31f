/** \file
 * Defines a client's session by the platform's line protocol.
 */
#pragma once

#include "Http.h"

namespace Review {

/** What became of a statement. */
struct Answer
{
    bool complete_ = false; ///< The answer arrived whole.
    std::string result_; ///< The COMPLETE or ERROR line.
    std::string state_;

    [[nodiscard]] bool succeeded() const
    {
        return complete_ && result_.starts_with("COMPLETE ");
    }
};

class ClientSession
{
public:
    explicit ClientSession(asio::any_io_executor executor)
        : socket_(executor)
    {
    }

    /** Opens a session; false if it was refused or the VM did not answer. */
    awaitable<bool> open(std::uint16_t port, std::string database)
    {
        try {
            co_await socket_.async_connect({asio::ip::address_v4::loopback(), port}, use_awaitable);
            socket_.set_option(tcp::no_delay(true));
            const std::string start = "START " + database + "\r\n";
            co_await asio::async_write(socket_, asio::buffer(start), use_awaitable);
            const std::string line = co_await readLine();
            co_return line.starts_with("READY ");
        } catch (const boost::system::system_error &) {
            co_return false;
        }
    }

    awaitable<Answer> run(std::string id, std::string text)
    {
        Answer answer;
        try {
            const std::string query = "QUERY " + id + " " + text + "\r\n";
            co_await asio::async_write(socket_, asio::buffer(query), use_awaitable);
            for (;;) {
                const std::string line = co_await readLine();
                if (line.starts_with("READY ")) {
                    answer.complete_ = true;
                    answer.state_ = line.substr(6, 1);
                    co_return answer;
                }
                if (!line.starts_with("DATAROW ")) {
                    answer.result_ = line;
                }
            }
        } catch (const boost::system::system_error &) {
            co_return answer;
        }
    }

    void close()
    {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

private:
    awaitable<std::string> readLine()
    {
        const std::size_t size = co_await asio::async_read_until(socket_, asio::dynamic_buffer(buffer_), "\r\n", use_awaitable);
        std::string line = buffer_.substr(0, size - 2);
        buffer_.erase(0, size);
        co_return line;
    }

    tcp::socket socket_;
    std::string buffer_;
};

} // namespace Review
