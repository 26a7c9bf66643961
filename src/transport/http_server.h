#pragma once

#include "asio.h"

#include "ibiswell/core/messages.h"

#include <cstddef>
#include <functional>
#include <list>

namespace ibiswell {

/** Bounds on what a client may ask of an HTTP server; each has its own answer. */
struct HttpServerLimits
{
    std::size_t headerBytes = 16u << 10;
    std::size_t bodyBytes = 8u << 20;
    int connections = 4096;
    Duration slowClient = std::chrono::seconds(10); ///< To send one request once it has begun.
    Duration idleConnection = std::chrono::seconds(60);
};

/**
 * Serves HTTP/1.1: one task for each connection, which reads a request, lets the handler answer
 * it and writes the answer, until the client closes. The handler is cancelled when its client
 * goes away.
 */
class HttpServer
{
public:
    using Handler = std::function<Task<HttpAnswer>(HttpRequest request)>;

    HttpServer(asio::io_context &context, HttpServerLimits limits, Handler handler);

    /** False, with lastError(), when the address cannot be had. */
    bool listen(const Endpoint &endpoint);
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

    Task<void> acceptLoop();
    Task<void> serve(SessionIt session);
    Task<void> serveRequests(Session &session);
    Task<bool> serveOne(Session &session, HttpRequest request, bool keepAlive);
    Task<void> refuse(tcp::socket &socket, int status, std::string_view text);

    asio::io_context &m_context;
    HttpServerLimits m_limits;
    Handler m_handler;
    tcp::acceptor m_acceptor;
    std::list<Session> m_sessions;
    bool m_stopping = false;
    std::optional<Error> m_lastError;
};

} // namespace ibiswell
