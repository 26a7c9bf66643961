#pragma once

#include "asio.h"

#include "ibiswell/core/messages.h"

#include <deque>

namespace ibiswell {

/**
 * Sends HTTP/1.1 requests to one server over kept connections, one request at a time on each.
 *
 * A whole answer or a refusal comes back, never a part of a body. The refusal states "not run"
 * only when no byte of the request can have reached the server.
 */
class HttpClient
{
public:
    explicit HttpClient(Endpoint server);

    Task<CallResult> exchange(HttpRequest request, Duration limit);

    const Endpoint &server() const { return m_server; }

private:
    Task<CallResult> exchangeOn(tcp::socket &socket, const HttpRequest &request, bool &reusable);
    std::optional<tcp::socket> takeIdle();

    Endpoint m_server;
    std::deque<tcp::socket> m_idle;
};

} // namespace ibiswell
