#include "http_server.h"

#include "acceptor.h"

#include <utility>
#include <vector>

namespace ibiswell {

HttpServer::HttpServer(asio::io_context &context, Limits limits, Handler handler,
                       const HttpServerOptions &options)
    : m_context(context)
    , m_state {std::move(limits), std::move(handler),
               static_cast<std::size_t>(options.maximumConcurrentRequests), options.bodies}
    , m_maximumConnections(static_cast<std::size_t>(options.maximumConnections))
    , m_acceptor(context)
{
}

bool HttpServer::listen(const Endpoint &endpoint)
{
    m_lastError = openAcceptor(m_acceptor, endpoint);
    if (m_lastError)
        return false;
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
    return true;
}

void HttpServer::stop()
{
    m_state.stopping = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (HttpSession &session : m_sessions)
        session.closeIfIdle();
}

void HttpServer::cancelRequests()
{
    for (HttpSession &session : m_sessions)
        session.cancelRequests();
}

Task<void> HttpServer::acceptLoop()
{
    while (!m_state.stopping && m_acceptor.is_open()) {
        std::vector<tcp::socket> accepted = co_await acceptPending(m_acceptor);
        for (tcp::socket &socket : accepted) {
            m_sessions.emplace_back(m_state, std::move(socket));
            asio::co_spawn(m_context, serve(std::prev(m_sessions.end())), asio::detached);
        }
    }
}

Task<void> HttpServer::serve(SessionIt session)
{
    if (m_sessions.size() > m_maximumConnections)
        co_await session->refuse(503, "too many connections");
    else
        co_await session->serve();
    m_sessions.erase(session);
}

} // namespace ibiswell
