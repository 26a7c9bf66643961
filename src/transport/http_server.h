#pragma once

#include "asio.h"
#include "caller_connection.h"
#include "http_messages.h"

#include "ibiswell/core/messages.h"
#include "ibiswell/policy/policy.h"

#include <cstddef>
#include <functional>
#include <list>

namespace ibiswell {

/**
 * Serves HTTP/1.1 with one task for each connection, which reads a request, runs the handler and
 * writes the response, until the client closes the connection. The handler is cancelled when its
 * client disconnects.
 */
class HttpServer
{
public:
    using Handler =
        std::function<Task<HttpResponse>(HttpRequest request, const CallerConnection &caller)>;
    /**
     * Returns the limits on what a client may send. Called for each request, since a new policy may
     * change them.
     */
    using Limits = std::function<CallerLimits()>;
    static constexpr int defaultMaximumConnections = 4096;

    HttpServer(asio::io_context &context, Limits limits, Handler handler,
               int maximumConnections = defaultMaximumConnections);

    /** Returns false and sets lastError() when the address is not available. */
    bool listen(const Endpoint &endpoint);
    /** Keeps serving, but closes each connection after its next response. */
    void drain() { m_draining = true; }
    /** Stops accepting, closes idle connections and closes the others after their response. */
    void stop();
    std::size_t connectionCount() const { return m_sessions.size(); }
    const std::optional<Error> &lastError() const { return m_lastError; }

private:
    struct Session
    {
        explicit Session(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        bool busy = false; ///< From the first byte of a request to the end of its response.
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
    /** Reads a request whose framing is safe to forward; nullopt when the connection must close. */
    Task<std::optional<ReceivedRequest>> readRequest(Session &session, beast::flat_buffer &buffer);
    /** Returns whether the connection can carry another request. */
    Task<bool> serveRequest(Session &session, HttpRequest request, bool keepAlive);
    /** Sends a refusal and reads what the client still sends, so that it receives the refusal. */
    Task<void> refuse(tcp::socket &socket, int status, std::string_view text);

    asio::io_context &m_context;
    Limits m_limits;
    Handler m_handler;
    std::size_t m_maximumConnections;
    tcp::acceptor m_acceptor;
    std::list<Session> m_sessions;
    bool m_draining = false;
    bool m_stopping = false;
    std::optional<Error> m_lastError;
};

} // namespace ibiswell
