#pragma once

#include "asio.h"
#include "http_messages.h"

#include "ibiswell/core/messages.h"
#include "ibiswell/policy/policy.h"

#include <cstddef>
#include <functional>
#include <list>

namespace ibiswell {

/**
 * Serves HTTP/1.1: one task for each connection, which reads a request, lets the handler answer
 * it and writes the answer, until the client closes. The handler is cancelled when its client
 * goes away.
 */
class HttpServer
{
public:
    using Handler = std::function<Task<HttpAnswer>(HttpRequest request)>;
    /** Bounds on what a client may send; asked for each request, since a policy may set them. */
    using Limits = std::function<CallerLimits()>;
    static constexpr int defaultConnections = 4096;

    HttpServer(asio::io_context &context, Limits limits, Handler handler,
               int connections = defaultConnections);

    /** False, with lastError(), when the address cannot be had. */
    bool listen(const Endpoint &endpoint);
    /** Goes on serving, but ends each connection after its next answer. */
    void drain() { m_draining = true; }
    /** Takes no new connection, closes the idle ones and ends the others after their answer. */
    void stop();
    std::size_t connections() const { return m_sessions.size(); }
    const std::optional<Error> &lastError() const { return m_lastError; }

private:
    struct Session
    {
        explicit Session(tcp::socket s)
            : socket(std::move(s))
        {
        }
        tcp::socket socket;
        bool busy = false;
    };
    using SessionIt = std::list<Session>::iterator;
    struct ReceivedRequest
    {
        HttpRequest request;
        bool keepAlive = false;
    };

    Task<void> acceptLoop();
    Task<void> serve(SessionIt session);
    Task<void> serveRequests(Session &session);
    /** A request whose framing is safe to pass on; nothing when the connection has ended. */
    Task<std::optional<ReceivedRequest>> readRequest(Session &session, beast::flat_buffer &buffer);
    Task<bool> serveRequest(Session &session, HttpRequest request, bool keepAlive);
    Task<void> refuse(tcp::socket &socket, int status, std::string_view text);

    asio::io_context &m_context;
    Limits m_limits;
    Handler m_handler;
    std::size_t m_maxConnections;
    tcp::acceptor m_acceptor;
    std::list<Session> m_sessions;
    bool m_draining = false;
    bool m_stopping = false;
    std::optional<Error> m_lastError;
};

} // namespace ibiswell
