#pragma once

#include "asio.h"

#include "ibiswell/core/messages.h"

#include <deque>
#include <string>

namespace ibiswell {

/** How a server's HTTP differs from the plainest use. */
struct HttpClientOptions
{
    /** Field of a request that the server echoes; an answer with another value is dropped. */
    std::string echoedField;
    /** Whether the request's Host field goes to the server as it is. */
    bool preserveHost = false;
    /** Whether an answer may end with its connection in place of a stated length. */
    bool allowUnframedResponses = false;
    /** Whether idle connections are probed, so that one that went silent ends soon. */
    bool enableKeepAliveProbes = false;
};

/**
 * Sends HTTP/1.1 requests to one server over kept connections, one request at a time on each.
 *
 * A whole answer or a refusal comes back, never a part of a body. The refusal states "not run"
 * only when no byte of the request can have reached the server.
 */
class HttpClient
{
public:
    explicit HttpClient(Endpoint server, HttpClientOptions options = {});

    Task<CallResult> exchange(HttpRequest request, Duration limit);

    const Endpoint &server() const { return m_server; }

private:
    struct Idle
    {
        tcp::socket socket;
        TimePoint usableUntil;
    };
    /** Whether a connection may carry another request, and for how long it may lie idle. */
    struct Reuse
    {
        bool allowed = false;
        Duration idleLimit {};
    };

    Task<CallResult> exchangeOn(tcp::socket &socket, const HttpRequest &request, Reuse &reuse);
    Task<CallResult> readAnswer(tcp::socket &socket, const HttpRequest &request, Reuse &reuse);
    bool isAnswerTo(const HttpRequest &request, const HttpAnswer &answer) const;
    std::optional<tcp::socket> takeIdle();

    Endpoint m_server;
    HttpClientOptions m_options;
    std::deque<Idle> m_idle;
};

} // namespace ibiswell
