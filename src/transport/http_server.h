#pragma once

#include "asio.h"
#include "http_session.h"

#include "ibiswell/core/error.h"
#include "ibiswell/core/member.h"

#include <cstddef>
#include <list>
#include <optional>

namespace ibiswell {

/** Limits of an HttpServer on its connections. */
struct HttpServerOptions
{
    int maximumConnections = 4096;
    /** Requests of one connection that run at the same time. */
    int maximumConcurrentRequests = 8;
    BufferBudget *bodies = nullptr; ///< For the bodies that it holds. Null: not bounded.
};

/** Serves HTTP/1.1: accepts connections and runs an HttpSession for each. */
class HttpServer
{
public:
    using Handler = HttpServerState::Handler;
    using Limits = HttpServerState::Limits;

    HttpServer(asio::io_context &context, Limits limits, Handler handler,
               const HttpServerOptions &options = {});

    /** Returns false and sets lastError() when the address is not available. */
    bool listen(const Endpoint &endpoint);
    /** Keeps serving, but closes each connection after its next response. */
    void drain() { m_state.draining = true; }
    /** Stops accepting, closes idle connections and closes the others after their response. */
    void stop();
    /** Cancels all requests in progress; a handler that still returns a response has it sent. */
    void cancelRequests();
    std::size_t connectionCount() const { return m_sessions.size(); }
    const std::optional<Error> &lastError() const { return m_lastError; }

private:
    using SessionIt = std::list<HttpSession>::iterator;

    Task<void> acceptLoop();
    Task<void> serve(SessionIt session);

    asio::io_context &m_context;
    HttpServerState m_state;
    std::size_t m_maximumConnections;
    tcp::acceptor m_acceptor;
    std::list<HttpSession> m_sessions;
    std::optional<Error> m_lastError;
};

} // namespace ibiswell
