#pragma once

#include "asio.h"
#include "buffer_budget.h"
#include "caller_connection.h"
#include "http_messages.h"

#include "ibiswell/core/messages.h"
#include "ibiswell/core/response_check.h"
#include "ibiswell/wire/codec.h"

#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ibiswell {

/** A response of a backend server must fit into a message between nodes. */
inline constexpr std::size_t defaultMaximumBodyBytes = maximumPeerMessageBytes - (1u << 20);

/** Adapts the client to a server that does not use HTTP in the default way. */
struct HttpClientOptions
{
    /**
     * Request field that the server echoes; a response with another value is discarded, and one
     * without it leaves the outcome unknown.
     */
    std::string echoedField;
    /** Whether the request's Host field is sent to the server unchanged. */
    bool preserveHost = false;
    /** Whether the end of the connection may delimit a response that states no length. */
    bool allowUnframedResponses = false;
    /**
     * Whether a response states by its head alone that the request was not run; such a response is
     * returned without its body when the body is cut. Null: none does.
     */
    std::function<bool(const HttpResponse &head)> statesNotRun;
    /** Whether TCP keep-alive probes close half-open idle connections within a few seconds. */
    bool enableKeepAliveProbes = false;
    /** A longer body of a response is an error. */
    std::size_t maximumBodyBytes = defaultMaximumBodyBytes;
    BufferBudget *bodies = nullptr; ///< For the bodies of responses. Null: not bounded.
};

/**
 * Sends HTTP/1.1 requests to one server over persistent connections, one request at a time on
 * each. A connection on which a request was not sent whole is not used again.
 *
 * The result is a complete response or a refusal, never a partial body. Which responses are sound
 * is decided by response_check.h. The refusal states "not run" only when no byte of the request can
 * have reached the server.
 */
class HttpClient
{
public:
    explicit HttpClient(Endpoint server, HttpClientOptions options = {});

    /**
     * Sends a request and returns its result; connecting counts towards @p limit.
     * @param caller Whose request it is: nothing is sent once it has left. Null: nobody can leave.
     */
    Task<CallResult> exchange(HttpRequest request, Duration limit,
                              const CallerConnection *caller = nullptr);

    const Endpoint &server() const { return m_server; }

private:
    using ResponseParser = http::response_parser<http::string_body>;
    struct Connection
    {
        tcp::socket socket;
        /**
         * Values of the echoed field of requests that failed on this connection. Such a request may
         * be sent again, and a late repetition of its first response would then be taken for the
         * second one: the ids are equal.
         */
        std::vector<std::string> failedRequests {};
        TimePoint usableUntil {}; ///< While it is idle.
    };
    /** Whether a connection may carry another request, and how long it may stay idle until then. */
    struct Reuse
    {
        bool allowed = false;
        Duration idleLimit {};
    };

    /** What was received in response to a request, and the state of the connection after it. */
    struct Received
    {
        CallResult result;
        BodyEnd end = BodyEnd::Stated;
        Reuse reuse {};
    };

    using RequestMessage = http::request<http::span_body<const char>>;

    RequestMessage makeMessage(const HttpRequest &request) const;
    Task<Received> exchangeOn(tcp::socket &socket, const HttpRequest &request);
    /** Reads the response while the request is sent: a server may respond before it has read it. */
    Task<Received> exchangeConcurrently(tcp::socket &socket, const RequestMessage &message,
                                        const HttpRequest &request);
    /** Completes what was received when the sending has ended too, with @p sendError or without. */
    Received conclude(Received received, boost::system::error_code sendError) const;
    /** A response that is being read. */
    struct Incoming
    {
        tcp::socket &socket;
        beast::flat_buffer buffer; ///< Holds what was received and not parsed.
        bool isHead = false; ///< The request's method is HEAD, so that no body follows.
        std::optional<ResponseParser> parser {};
        std::optional<BufferBudget::Reservation> reservation {};
    };
    enum class Part { Head, Whole };
    void startResponse(Incoming &incoming) const;
    /** Reads a response as far as @p part; the error is set when it is malformed or ends early. */
    Task<boost::system::error_code> readPart(Part part, Incoming &incoming);
    /** Reads the head of a final response, behind any interim responses; its body is left empty. */
    Task<CallResult> readFinalHead(Incoming &incoming);
    Task<Received> readResponse(tcp::socket &socket, const HttpRequest &request);
    /** Refuses what this client does not read from its server, though other clients may. */
    std::optional<Refusal> refuseHead(const ResponseParser &parser, const HttpResponse &head) const;
    static Reuse reuseAfter(const Incoming &incoming);
    bool statesNotRun(const HttpResponse &head) const;
    /** False for a response without the echoed field: it may belong to any request. */
    bool namesRequest(const HttpResponse &response) const;
    bool isResponseTo(const HttpRequest &request, const HttpResponse &response) const;
    /** The value that the response echoes; empty where responses echo nothing. */
    std::string_view echoedValue(const HttpRequest &request) const;
    std::optional<Connection> takeIdle(std::string_view echoedValue);
    void keepIdle(Connection connection, Duration idleLimit);

    Endpoint m_server;
    HttpClientOptions m_options;
    std::deque<Connection> m_idle; ///< The most recently used one is the last.
};

} // namespace ibiswell
