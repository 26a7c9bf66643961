#pragma once

#include "asio.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace ibiswell::test {

/** How a server ends the connection after its bytes. */
enum class Ending {
    KeepOpen,
    /** Reads the rest of the request, then closes: an ordinary end. */
    Close,
    /** Ends its side, then reads the rest of the request, for which the client may still wait. */
    CloseSending,
    /** Closes while bytes of the request are unread, for which TCP sends a reset. */
    CloseUnread,
    Reset,
};

/** What a server sends to each request; "{id}" stands for the value of the request's Attempt-Id. */
struct ScriptedResponse
{
    std::string bytes;
    Ending ending = Ending::KeepOpen;
    /** Whether the body of the request is read before the bytes are sent, or just its head. */
    bool readsWholeRequest = false;
    Duration pauseBeforeEnding {}; ///< Between the bytes and the end.
};

/** A server that answers each request on each connection with the same bytes, sound or not. */
class ScriptedServer
{
public:
    ScriptedServer(asio::io_context &context, std::uint16_t port, ScriptedResponse response)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), port))
        , m_response(std::move(response))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void setResponse(ScriptedResponse response) { m_response = std::move(response); }

private:
    Task<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await m_acceptor.async_accept(asResult);
            if (error)
                co_return;
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    Task<void> serve(tcp::socket socket)
    {
        std::string received;
        for (;;) {
            auto [error, headBytes] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), std::string_view("\r\n\r\n"), asResult);
            if (error)
                co_return;
            std::string head = received.substr(0, headBytes);
            received.erase(0, headBytes);
            ScriptedResponse response = m_response;
            if (response.readsWholeRequest)
                co_await readBody(socket, head, received);
            std::string bytes = withId(response.bytes, fieldOf(head, "Attempt-Id: "));
            co_await asio::async_write(socket, asio::buffer(bytes), asResult);
            co_await sleepFor(response.pauseBeforeEnding);
            if (response.ending != Ending::KeepOpen) {
                co_await end(socket, response.ending);
                co_return;
            }
            if (!response.readsWholeRequest)
                co_await readBody(socket, head, received);
        }
    }

    static Task<void> end(tcp::socket &socket, Ending ending)
    {
        boost::system::error_code ignored;
        switch (ending) {
        case Ending::CloseSending:
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            [[fallthrough]];
        case Ending::Close:
            co_await discardInput(socket);
            break;
        case Ending::CloseUnread:
            while (socket.available(ignored) == 0 && !ignored)
                co_await sleepFor(std::chrono::milliseconds(1));
            break;
        case Ending::Reset:
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            break;
        case Ending::KeepOpen:
            co_return;
        }
        socket.close(ignored);
    }

    static Task<void> readBody(tcp::socket &socket, const std::string &head, std::string &received)
    {
        std::string length = fieldOf(head, "Content-Length: ");
        std::size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
        if (received.size() < bodyBytes)
            co_await asio::async_read(socket, asio::dynamic_buffer(received),
                                      asio::transfer_exactly(bodyBytes - received.size()),
                                      asResult);
        received.erase(0, bodyBytes);
    }

    /** Until the client closes the connection, or sends nothing for a while. */
    static Task<void> discardInput(tcp::socket &socket)
    {
        std::array<char, 64u << 10> discarded {};
        bool isOpen = true;
        while (isOpen) {
            auto reading = receiveSome(socket, asio::buffer(discarded));
            auto received = co_await withTimeout(std::move(reading), std::chrono::seconds(1));
            isOpen = received.value_or(false);
        }
    }
    static Task<bool> receiveSome(tcp::socket &socket, asio::mutable_buffer buffer)
    {
        auto [error, count] = co_await socket.async_read_some(buffer, asResult);
        co_return !error;
    }

    static std::string fieldOf(const std::string &head, std::string_view name)
    {
        std::size_t at = head.find(name);
        if (at == std::string::npos)
            return {};
        at += name.size();
        return head.substr(at, head.find("\r\n", at) - at);
    }
    static std::string withId(std::string bytes, const std::string &id)
    {
        constexpr std::string_view placeholder = "{id}";
        for (std::size_t at = 0; (at = bytes.find(placeholder, at)) != std::string::npos;)
            bytes.replace(at, placeholder.size(), id);
        return bytes;
    }

    tcp::acceptor m_acceptor;
    ScriptedResponse m_response;
};

} // namespace ibiswell::test
