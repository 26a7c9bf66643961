#pragma once

#include "asio.h"
#include "buffer_budget.h"
#include "caller_connection.h"
#include "http_messages.h"

#include "ibiswell/core/messages.h"
#include "ibiswell/policy/policy.h"

#include <cstddef>
#include <functional>
#include <list>
#include <optional>
#include <string_view>

namespace ibiswell {

/** What all connections of one HttpServer share. */
struct HttpServerState
{
    using Handler =
        std::function<Task<HttpResponse>(HttpRequest request, const CallerConnection &caller)>;
    /**
     * Returns the limits on what a client may send. Called for each request, since a new policy may
     * change them.
     */
    using Limits = std::function<CallerLimits()>;

    Limits limits;
    Handler handler;
    std::size_t maximumConcurrentRequests; ///< Of one connection.
    BufferBudget *bodies; ///< Null: bodies are not bounded.
    bool draining = false; ///< Each connection closes after the responses that it still owes.
    bool stopping = false; ///< As draining, and idle connections close at once.
};

/**
 * One connection of a client: reads its requests, runs the handler for each, and writes the
 * responses in the order of the requests.
 *
 * A client may send requests before the response to an earlier one (pipelining). Requests with a
 * safe method then run concurrently; any other runs alone, since the client states by the order
 * that one follows the other. A request behind a response that closes the connection is not run.
 * When the client disconnects, all of its requests are cancelled.
 */
class HttpSession
{
public:
    HttpSession(const HttpServerState &server, tcp::socket socket);

    /** Serves requests until the connection closes. */
    Task<void> serve();
    /** Sends a refusal and reads what the client still sends, so that it receives the refusal. */
    Task<void> refuse(int status, std::string_view text);
    /** Ends the wait for a further request. */
    void closeIfIdle();
    /** Cancels the requests in progress. */
    void cancelRequests();

private:
    /** A request that was read and the response to it, once there is one. */
    struct Exchange
    {
        explicit Exchange(BufferBudget *budget)
            : buffers(budget)
        {
        }
        BufferBudget::Reservation buffers;
        bool keepAlive = false;
        bool isHead = false;
        bool isSafe = false; ///< The method is safe, so it may run beside others.
        bool ended = false;
        std::optional<HttpResponse> response;
        asio::cancellation_signal cancellation;
    };
    struct ReadError
    {
        int status = 0; ///< 0: the connection ended, so nothing is sent.
        std::string_view text;
    };
    using RequestParser = http::request_parser<http::string_body>;
    class EndGuard;

    static ReadError readErrorFor(const boost::system::error_code &ec);
    /** Reads requests and starts them; ends when the client has left or nothing is owed to it. */
    Task<void> readRequests();
    /** Waits for the first bytes of a request; false when none will follow. */
    Task<bool> awaitRequest();
    /** Reads a request whose framing is safe to forward; on failure sets m_readError. */
    Task<std::optional<HttpRequest>> readRequest(Exchange &exchange);
    /** Reads the body, within the budget for bodies; the error that ended it, if any. */
    Task<std::optional<ReadError>> readBody(RequestParser &parser, Exchange &exchange);
    /** Waits until at most @p count requests are in progress; false when the client has left. */
    Task<bool> waitForPending(std::size_t count);
    void start(Exchange &exchange, HttpRequest request);
    Task<void> run(Exchange &exchange, HttpRequest request);
    /** Writes the responses in order; ends when the connection is to be closed. */
    Task<void> writeResponses();
    /**
     * Writes the first response that is pending and removes it, unless it was not written whole.
     * Returns whether the connection can carry another response.
     */
    Task<bool> writeResponse();
    /** Cancels the requests in progress and waits until their handlers have ended. */
    Task<void> endRequests();
    /** Reads and drops what the client still sends: closing earlier would lose the responses. */
    Task<void> discardInput();
    /** Whether the connection closes once the responses that are owed have been sent. */
    bool endsAfterPending() const { return m_server.draining || m_server.stopping; }
    void notify() { m_changed.cancel(); }

    const HttpServerState &m_server;
    tcp::socket m_socket;
    CallerConnection m_caller;
    beast::flat_buffer m_buffer;
    std::list<Exchange> m_pending; ///< In the order of the requests.
    std::size_t m_running = 0; ///< Handlers that have not ended.
    bool m_awaitingRequest = false; ///< No byte of a further request has arrived.
    bool m_noMoreRequests = false;
    ReadError m_readError;
    asio::steady_timer m_changed; ///< Cancelled when m_pending or one of its entries changes.
};

} // namespace ibiswell
