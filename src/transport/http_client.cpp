#include "http_client.h"

#include "http_reader.h"
#include "socket_deadline.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maximumIdleConnections = 64;
constexpr Duration connectTimeout = 1s;
constexpr std::size_t maximumResponseHeaderBytes = 64u << 10;

/** A longer body may fill the buffers of the connection, so that sending waits for the server. */
constexpr std::size_t maximumBytesSentAtOnce = 16u << 10;

/** Shorter than the time for which servers usually keep an idle connection open. */
constexpr Duration defaultIdleLimit = 8s;
/** Keeps a request from being sent while the server closes the idle connection. */
constexpr Duration idleMargin = 1s;
/** Number of responses to earlier requests that are discarded before the matching one. */
constexpr int maximumMismatchedResponses = 2;
/** Number of interim responses that are read before the final one. */
constexpr int maximumInterimResponses = 32;
/** A connection is closed after so many failed requests, since it remembers them. */
constexpr std::size_t maximumFailedRequests = 32;
constexpr int firstFailureStatus = 400;

/** How long the connection may stay idle, from "Keep-Alive: timeout=SECONDS". */
Duration idleLimitFrom(std::string_view keepAlive)
{
    constexpr std::string_view name = "timeout=";
    std::size_t at = keepAlive.find(name);
    int seconds = 0;
    if (at == std::string_view::npos)
        return defaultIdleLimit;
    const char *begin = keepAlive.data() + at + name.size();
    auto [end, ec] = std::from_chars(begin, keepAlive.data() + keepAlive.size(), seconds);
    if (ec != std::errc {})
        return defaultIdleLimit;
    return std::max<Duration>(Duration::zero(), std::chrono::seconds(seconds) - idleMargin);
}

Refusal unknownOutcome(ErrorKind kind, std::string detail)
{
    return {kind, std::move(detail), Execution::Unknown};
}

ResponseHead headOf(const http::response_parser<http::string_body> &parser)
{
    const auto &message = parser.get();
    return {static_cast<int>(message.result_int()), message.version() >= 11, toFields(message)};
}

/**
 * A send on a connection that the server had closed before it was reset fails with broken_pipe; any
 * other error means that the server did not close the connection.
 */
SendOutcome sendOutcomeOf(const boost::system::error_code &error)
{
    if (!error)
        return SendOutcome::Sent;
    if (error == asio::error::operation_aborted)
        return SendOutcome::Stopped;
    return error == asio::error::broken_pipe ? SendOutcome::PeerClosed : SendOutcome::Failed;
}

} // namespace

HttpClient::HttpClient(Endpoint server, HttpClientOptions options)
    : m_server(std::move(server))
    , m_options(std::move(options))
{
}

std::string_view HttpClient::echoedValue(const HttpRequest &request) const
{
    return m_options.echoedField.empty() ? std::string_view()
                                         : request.header(m_options.echoedField);
}

/**
 * Takes the most recently used connection on which the request has not failed before, so that the
 * others stay idle until they expire.
 */
std::optional<HttpClient::Connection> HttpClient::takeIdle(std::string_view echoedValue)
{
    TimePoint now = steadyNow();
    for (std::size_t i = m_idle.size(); i-- > 0;) {
        const std::vector<std::string> &failed = m_idle[i].failedRequests;
        if (std::find(failed.begin(), failed.end(), echoedValue) != failed.end())
            continue;
        Connection connection = std::move(m_idle[i]);
        m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(i));
        if (now < connection.usableUntil && !isStale(connection.socket))
            return std::optional<Connection>(std::move(connection));
    }
    return std::nullopt;
}

Task<CallResult> HttpClient::exchange(HttpRequest request, Duration limit,
                                      const CallerConnection *caller)
{
    TimePoint start = steadyNow();
    std::string echoed(echoedValue(request));
    std::optional<Connection> connection = takeIdle(echoed);
    if (!connection) {
        auto connecting = connectTo(m_server, std::min(limit, connectTimeout));
        std::optional<tcp::socket> socket = co_await std::move(connecting);
        if (!socket)
            co_return Refusal {ErrorKind::ConnectFailed,
                               fmt::format("cannot connect to {}", toString(m_server)),
                               Execution::NotRun};
        connection = Connection {std::move(*socket)};
        if (m_options.enableKeepAliveProbes)
            enableKeepAliveProbes(connection->socket);
    }
    if (caller && caller->hasLeft()) {
        keepIdle(std::move(*connection), defaultIdleLimit);
        co_return callerHasLeft();
    }
    Duration remaining = std::max<Duration>(1ms, limit - (steadyNow() - start));
    Received received;
    {
        SocketDeadline deadline(connection->socket, remaining);
        received = co_await exchangeOn(connection->socket, request);
        if (deadline.hasPassed() && std::holds_alternative<Refusal>(received.result))
            co_return unknownOutcome(ErrorKind::DeadlineExceeded,
                                     "no complete response before the deadline");
    }
    const HttpResponse *response = std::get_if<HttpResponse>(&received.result);
    if (response && response->status >= firstFailureStatus && !echoed.empty())
        connection->failedRequests.push_back(std::move(echoed));
    if (received.reuse.allowed)
        keepIdle(std::move(*connection), received.reuse.idleLimit);
    co_return std::move(received.result);
}

void HttpClient::keepIdle(Connection connection, Duration idleLimit)
{
    bool remembersMore = connection.failedRequests.size() < maximumFailedRequests;
    if (m_idle.size() >= maximumIdleConnections || !remembersMore)
        return;
    connection.usableUntil = steadyNow() + idleLimit;
    m_idle.push_back(std::move(connection));
}

HttpClient::RequestMessage HttpClient::makeMessage(const HttpRequest &request) const
{
    RequestMessage message;
    message.method_string(request.method);
    message.target(request.path);
    if (!m_options.preserveHost)
        message.set(http::field::host, toString(m_server));
    for (const HeaderField &field : request.headers) {
        if (m_options.preserveHost || http::string_to_field(field.name) != http::field::host)
            message.insert(field.name, field.value);
    }
    message.body() = {request.body.data(), request.body.size()};
    message.prepare_payload();
    return message;
}

Task<HttpClient::Received> HttpClient::exchangeOn(tcp::socket &socket, const HttpRequest &request)
{
    RequestMessage message = makeMessage(request);
    if (request.body.size() > maximumBytesSentAtOnce) {
        auto exchanging = exchangeConcurrently(socket, message, request);
        co_return co_await std::move(exchanging);
    }
    auto [sendError, sent] = co_await http::async_write(socket, message, asResult);
    if (sendError)
        co_await throwIfCancelled();
    // A server that closed the connection may have responded before.
    Received received = co_await readResponse(socket, request);
    co_return conclude(std::move(received), sendError);
}

Task<HttpClient::Received> HttpClient::exchangeConcurrently(tcp::socket &socket,
                                                            const RequestMessage &message,
                                                            const HttpRequest &request)
{
    using namespace asio::experimental::awaitable_operators;
    bool hasSent = false;
    boost::system::error_code sendError;
    auto send = [&]() -> Task<void> {
        auto [error, count] = co_await http::async_write(socket, message, asResult);
        hasSent = true;
        sendError = error;
    };
    auto receive = [&]() -> Task<std::optional<Received>> {
        Received received = co_await readResponse(socket, request);
        // The rest of the request is not wanted; this ends the sending.
        boost::system::error_code ignored;
        if (!hasSent)
            socket.cancel(ignored);
        co_return std::optional<Received>(std::move(received));
    };
    std::optional<Received> received = co_await (send() && receive());
    co_await throwIfCancelled();
    co_return conclude(std::move(*received), sendError);
}

HttpClient::Received HttpClient::conclude(Received received,
                                          boost::system::error_code sendError) const
{
    if (sendError)
        received.reuse = {};
    ResponseDefect defect = checkEnd(received.end, sendOutcomeOf(sendError));
    HttpResponse *response = std::get_if<HttpResponse>(&received.result);
    if (!defect || !response)
        return received;
    if (statesNotRun(*response))
        response->body.clear();
    else
        received.result = unknownOutcome(ErrorKind::ResponseTruncated, std::move(*defect));
    return received;
}

bool HttpClient::statesNotRun(const HttpResponse &head) const
{
    return m_options.statesNotRun && m_options.statesNotRun(head);
}

void HttpClient::startResponse(Incoming &incoming) const
{
    incoming.reservation.emplace(m_options.bodies);
    ResponseParser &parser = incoming.parser.emplace();
    parser.header_limit(maximumResponseHeaderBytes);
    parser.body_limit(m_options.maximumBodyBytes);
    parser.skip(incoming.isHead);
}

/** A faulty server may send bytes without end to many requests at once, hence the budget. */
Task<boost::system::error_code> HttpClient::readPart(Part part, Incoming &incoming)
{
    ResponseParser &parser = *incoming.parser;
    auto isComplete = [&] {
        return part == Part::Head ? parser.is_header_done() : parser.is_done();
    };
    while (!isComplete()) {
        HttpRead step = co_await readSome(incoming.socket, incoming.buffer, parser);
        if (step.error) {
            co_await throwIfCancelled();
            co_return step.error;
        }
        if (!incoming.reservation->grow(step.bytes))
            co_return http::error::body_limit;
    }
    co_return boost::system::error_code {};
}

Task<CallResult> HttpClient::readFinalHead(Incoming &incoming)
{
    for (int interim = 0; interim <= maximumInterimResponses; ++interim) {
        startResponse(incoming);
        boost::system::error_code error = co_await readPart(Part::Head, incoming);
        if (error) {
            ErrorKind kind = incoming.parser->is_header_done() ? ErrorKind::ResponseTruncated
                                                               : ErrorKind::ConnectionLost;
            co_return unknownOutcome(kind, error.message());
        }
        ResponseHead head = headOf(*incoming.parser);
        if (ResponseDefect defect = checkHead(head))
            co_return unknownOutcome(ErrorKind::ResponseTruncated, std::move(*defect));
        if (!isInterim(head.status))
            co_return HttpResponse {head.status, endToEndFields(std::move(head.fields)), {}};
    }
    co_return unknownOutcome(ErrorKind::ResponseTruncated, "received only interim responses");
}

Task<HttpClient::Received> HttpClient::readResponse(tcp::socket &socket, const HttpRequest &request)
{
    Incoming incoming {socket, beast::flat_buffer(maximumResponseHeaderBytes),
                       request.method == "HEAD"};
    for (int mismatched = 0; mismatched <= maximumMismatchedResponses; ++mismatched) {
        CallResult head = co_await readFinalHead(incoming);
        if (std::holds_alternative<Refusal>(head))
            co_return Received {std::move(head)};
        HttpResponse &response = std::get<HttpResponse>(head);
        if (std::optional<Refusal> refusal = refuseHead(*incoming.parser, response))
            co_return Received {std::move(*refusal)};
        bool isMatching = isResponseTo(request, response);
        boost::system::error_code error = co_await readPart(Part::Whole, incoming);
        if (error && isMatching && statesNotRun(response))
            co_return Received {std::move(response)};
        if (error)
            co_return Received {unknownOutcome(ErrorKind::ResponseTruncated, error.message())};
        if (!isMatching)
            continue;
        BodyEnd end = incoming.parser->need_eof() ? BodyEnd::ConnectionClose : BodyEnd::Stated;
        response.body = std::move(incoming.parser->get().body());
        Reuse reuse = mismatched == 0 ? reuseAfter(incoming) : Reuse {};
        co_return Received {std::move(response), end, reuse};
    }
    co_return Received {
        unknownOutcome(ErrorKind::ResponseTruncated, "received only responses to other requests")};
}

HttpClient::Reuse HttpClient::reuseAfter(const Incoming &incoming)
{
    const ResponseParser &parser = *incoming.parser;
    bool isAtEnd = incoming.buffer.size() == 0; // bytes behind the response belong to no request
    return {parser.keep_alive() && isAtEnd, idleLimitFrom(parser.get()[http::field::keep_alive])};
}

std::optional<Refusal> HttpClient::refuseHead(const ResponseParser &parser,
                                              const HttpResponse &head) const
{
    auto refuse = [](std::string detail) {
        return unknownOutcome(ErrorKind::ResponseTruncated, std::move(detail));
    };
    if (parser.need_eof() && !m_options.allowUnframedResponses)
        return refuse("the response does not state its length");
    if (!namesRequest(head))
        return refuse("the response does not name its request");
    return std::nullopt;
}

bool HttpClient::isResponseTo(const HttpRequest &request, const HttpResponse &response) const
{
    const std::string &field = m_options.echoedField;
    return field.empty() || response.header(field) == request.header(field);
}

bool HttpClient::namesRequest(const HttpResponse &response) const
{
    return m_options.echoedField.empty() || response.hasHeader(m_options.echoedField);
}

} // namespace ibiswell
