#include "http_server.h"

#include "acceptor.h"
#include "http_messages.h"
#include "socket_deadline.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using Parser = http::request_parser<http::string_body>;

struct ReadError
{
    int status;
    std::string_view text;
};

/** The response to a request that could not be read; status 0 when the connection was closed. */
ReadError readErrorFor(const boost::system::error_code &ec)
{
    if (ec == http::error::body_limit)
        return {413, "the request body is too large"};
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return {431, "the request header is too large"};
    if (ec.category() == http::make_error_code(http::error::bad_method).category()
        && ec != http::error::end_of_stream && ec != http::error::partial_message)
        return {400, "the request is not well-formed HTTP"};
    return {0, {}};
}

/**
 * Whether the end of the body cannot be determined: after a transfer coding other than "chunked",
 * the parser would read the body as the next request (request smuggling).
 */
bool hasUnknownCoding(const Parser &parser)
{
    auto coding = parser.get().find(http::field::transfer_encoding);
    if (coding == parser.get().end())
        return false;
    return parser.get().count(http::field::transfer_encoding) > 1
        || !beast::iequals(coding->value(), "chunked");
}

HttpRequest toRequest(Parser &parser)
{
    http::request<http::string_body> message = parser.release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.path = std::string(message.target());
    request.headers = endToEndFields(message);
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body> toResponse(HttpResponse source, bool keepAlive, bool isHead)
{
    http::response<http::string_body> response;
    response.result(static_cast<unsigned>(source.status));
    for (const HeaderField &field : source.headers)
        response.insert(field.name, field.value);
    response.keep_alive(keepAlive);
    if (isHead)
        source.body.clear();
    response.body() = std::move(source.body);
    response.prepare_payload();
    return response;
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, Limits limits, Handler handler,
                       int maximumConnections)
    : m_context(context)
    , m_limits(std::move(limits))
    , m_handler(std::move(handler))
    , m_maximumConnections(static_cast<std::size_t>(maximumConnections))
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
    m_stopping = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (Session &session : m_sessions) {
        if (!session.busy)
            session.socket.shutdown(tcp::socket::shutdown_receive, ignored);
    }
}

Task<void> HttpServer::acceptLoop()
{
    while (!m_stopping && m_acceptor.is_open()) {
        std::vector<tcp::socket> accepted = co_await acceptPending(m_acceptor);
        for (tcp::socket &socket : accepted) {
            m_sessions.emplace_back(std::move(socket));
            asio::co_spawn(m_context, serve(std::prev(m_sessions.end())), asio::detached);
        }
    }
}

Task<void> HttpServer::serve(SessionIt session)
{
    boost::system::error_code ignored;
    session->socket.set_option(tcp::no_delay(true), ignored);
    if (m_sessions.size() > m_maximumConnections)
        co_await refuse(session->socket, 503, "too many connections");
    else
        co_await serveRequests(*session);
    session->socket.close(ignored);
    m_sessions.erase(session);
}

Task<void> HttpServer::serveRequests(Session &session)
{
    constexpr std::size_t readAheadBytes = 4096; // bytes of a body that may arrive with the header
    beast::flat_buffer buffer(static_cast<std::size_t>(m_limits().headerBytes) + readAheadBytes);
    for (;;) {
        std::optional<ReceivedRequest> read = co_await readRequest(session, buffer);
        if (!read)
            co_return;
        bool keepsOpen = co_await serveRequest(session, std::move(read->request), read->keepAlive);
        if (!keepsOpen)
            co_return;
    }
}

Task<std::optional<HttpServer::ReceivedRequest>> HttpServer::readRequest(Session &session,
                                                                         beast::flat_buffer &buffer)
{
    CallerLimits limits = m_limits();
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(static_cast<std::uint64_t>(limits.bodyBytes));
    if (buffer.size() == 0) {
        SocketDeadline idle(session.socket, limits.idleConnectionTimeout);
        auto [ec] = co_await session.socket.async_wait(tcp::socket::wait_read, asResult);
        if (ec || m_stopping)
            co_return std::nullopt;
    }
    session.busy = true;
    std::optional<SocketDeadline> slowClientDeadline;
    slowClientDeadline.emplace(session.socket, limits.slowClientTimeout);
    auto [error, bytes] =
        co_await http::async_read_header(session.socket, buffer, parser, asResult);
    bool unknownCoding = !error && hasUnknownCoding(parser);
    if (!error && !unknownCoding && !parser.is_done()) {
        auto [bodyError, bodyBytes] =
            co_await http::async_read(session.socket, buffer, parser, asResult);
        error = bodyError;
    }
    bool tooSlow = slowClientDeadline->hasPassed();
    slowClientDeadline.reset();
    if (unknownCoding) {
        co_await refuse(session.socket, 501, "the transfer coding of the body is not supported");
        co_return std::nullopt;
    }
    if (error && tooSlow) {
        co_await refuse(session.socket, 408, "the request was sent too slowly");
        co_return std::nullopt;
    }
    if (error) {
        ReadError readError = readErrorFor(error);
        if (readError.status != 0)
            co_await refuse(session.socket, readError.status, readError.text);
        co_return std::nullopt;
    }
    bool keepAlive = parser.get().keep_alive();
    co_return ReceivedRequest {toRequest(parser), keepAlive};
}

Task<bool> HttpServer::serveRequest(Session &session, HttpRequest request, bool keepAlive)
{
    using namespace asio::experimental::awaitable_operators;
    bool isHead = request.method == "HEAD";
    CallerConnection caller(session.socket);
    auto ended = co_await (m_handler(std::move(request), caller) || caller.waitUntilLeft());
    if (ended.index() != 0)
        co_return false;
    bool keepsOpen = keepAlive && !m_stopping && !m_draining;
    auto response = toResponse(std::move(std::get<0>(ended)), keepsOpen, isHead);
    SocketDeadline slowClientDeadline(session.socket, m_limits().slowClientTimeout);
    auto [error, bytes] = co_await http::async_write(session.socket, response, asResult);
    session.busy = false;
    co_return keepsOpen && !error && !m_stopping;
}

Task<void> HttpServer::refuse(tcp::socket &socket, int status, std::string_view text)
{
    HttpResponse refusal;
    refusal.status = status;
    refusal.headers.push_back({"content-type", "application/json"});
    refusal.headers.push_back({"x-ibiswell-execution", "not-run"});
    refusal.body = fmt::format("{{\"execution\":\"not-run\",\"detail\":\"{}\"}}\n", text);
    auto response = toResponse(std::move(refusal), false, false);
    auto writing = http::async_write(socket, response, asResult);
    auto written = co_await withTimeout(std::move(writing), std::chrono::seconds(1));
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    // Closing now, while the client still sends, would reset the connection and lose the response.
    std::array<char, 4096> discarded {};
    for (int reads = 0; written && reads < 256; ++reads) {
        auto reading = socket.async_read_some(asio::buffer(discarded), asResult);
        auto read = co_await withTimeout(std::move(reading), std::chrono::milliseconds(200));
        if (!read || std::get<0>(*read))
            break;
    }
}

} // namespace ibiswell
