/** \file
 * Defines the network path from one VM to a server of the platform: a TCP proxy that can be cut as a partition cuts it.
 *
 * While the path is cut nothing passes either way and no connection is opened. Bytes that were sent on an open connection meanwhile are held up and arrive after
 * the cut, also if their sender has closed the connection since, unless it has reset it.
 */
#pragma once

#include "Http.h"
#include "Record.h"

namespace Review {

class Path
{
public:
    Path(asio::io_context &context, std::uint16_t target)
        : context_(context)
        , target_(asio::ip::address_v4::loopback(), target)
        , acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return acceptor_.local_endpoint().port();
    }

    void setCut(bool cut)
    {
        cut_ = cut;
        cuts_ += cut ? 1 : 0;
    }

    [[nodiscard]] bool isCut() const
    {
        return cut_;
    }

    /** Called with the bytes that arrive from the VM, as they arrive at this end of the path. */
    std::function<void(std::string_view bytes, bool cut)> onSent_;

private:
    struct Connection
    {
        explicit Connection(tcp::socket vm)
            : vm_(std::move(vm))
            , server_(vm_.get_executor())
        {
        }
        tcp::socket vm_;
        tcp::socket server_;
    };

    awaitable<void> accept()
    {
        for (;;) {
            auto connection = std::make_shared<Connection>(co_await acceptor_.async_accept(use_awaitable));
            asio::co_spawn(context_, open(connection), asio::detached);
        }
    }

    awaitable<void> open(std::shared_ptr<Connection> connection)
    {
        try {
            if (cut_) {
                // The opening packet of such a connection is lost: whatever is sent on it arrives nowhere.
                const unsigned cuts = cuts_;
                char ignored[4096];
                while (cut_ && cuts == cuts_) {
                    co_await connection->vm_.async_read_some(asio::buffer(ignored), use_awaitable);
                }
                connection->vm_.close();
                co_return;
            }
            connection->vm_.set_option(tcp::no_delay(true));
            co_await connection->server_.async_connect(target_, use_awaitable);
            connection->server_.set_option(tcp::no_delay(true));
            asio::co_spawn(context_, forward(connection, true), asio::detached);
            co_await forward(connection, false);
        } catch (const boost::system::system_error &) {
            // The VM has closed the connection.
        }
    }

    awaitable<void> forward(std::shared_ptr<Connection> connection, bool fromVm)
    {
        tcp::socket &from = fromVm ? connection->vm_ : connection->server_;
        tcp::socket &to = fromVm ? connection->server_ : connection->vm_;
        boost::system::error_code error;
        try {
            char bytes[16384];
            for (;;) {
                const std::size_t size = co_await from.async_read_some(asio::buffer(bytes), asio::redirect_error(use_awaitable, error));
                if (fromVm && size > 0 && onSent_) {
                    onSent_(std::string_view(bytes, size), cut_);
                }
                const bool heldUp = cut_;
                while (cut_) {
                    co_await pause(milliseconds(2));
                }
                if (error || (heldUp && isReset(from))) {
                    break;
                }
                co_await asio::async_write(to, asio::buffer(bytes, size), use_awaitable);
            }
        } catch (const boost::system::system_error &) {
            error = asio::error::connection_reset;
        }
        boost::system::error_code ignored;
        if (error == asio::error::eof) {
            to.shutdown(tcp::socket::shutdown_send, ignored);
        } else {
            from.close(ignored);
            to.close(ignored);
        }
    }

    /** Whether the sender has reset the connection, so that what was held up is lost. */
    static bool isReset(tcp::socket &socket)
    {
        char next = 0;
        return ::recv(socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno != EAGAIN;
    }

    asio::io_context &context_;
    tcp::endpoint target_;
    tcp::acceptor acceptor_;
    bool cut_ = false;
    unsigned cuts_ = 0;
};

} // namespace Review
