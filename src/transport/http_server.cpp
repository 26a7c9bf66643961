#include "http_server.h"

#include "http_messages.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using Parser = http::request_parser<http::string_body>;

struct ReadFault
{
    int status;
    std::string_view text;
};

/** The answer to a request that could not be read; status 0 for a closed connection. */
ReadFault faultOf(const boost::system::error_code &ec)
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

http::response<http::string_body> toResponse(HttpAnswer answer, bool keepAlive, bool isHead)
{
    http::response<http::string_body> response;
    response.result(static_cast<unsigned>(answer.status));
    for (const HeaderField &field : answer.headers)
        response.insert(field.name, field.value);
    response.keep_alive(keepAlive);
    if (isHead)
        answer.body.clear();
    response.body() = std::move(answer.body);
    response.prepare_payload();
    return response;
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, HttpServerLimits limits, Handler handler)
    : m_context(context)
    , m_limits(limits)
    , m_handler(std::move(handler))
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
    using namespace std::chrono_literals;
    while (!m_stopping) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asResult);
        if (ec == asio::error::operation_aborted || !m_acceptor.is_open())
            co_return;
        if (ec) {
            co_await sleepFor(10ms); // out of descriptors: wait for some to be freed
            continue;
        }
        m_sessions.emplace_back(std::move(socket));
        asio::co_spawn(m_context, serve(std::prev(m_sessions.end())), asio::detached);
    }
}

Task<void> HttpServer::serve(SessionIt session)
{
    boost::system::error_code ignored;
    session->socket.set_option(tcp::no_delay(true), ignored);
    if (m_sessions.size() > static_cast<std::size_t>(m_limits.connections))
        co_await refuse(session->socket, 503, "too many connections");
    else
        co_await serveRequests(*session);
    session->socket.close(ignored);
    m_sessions.erase(session);
}

Task<void> HttpServer::serveRequests(Session &session)
{
    beast::flat_buffer buffer(m_limits.headerBytes + 4096);
    for (;;) {
        Parser parser;
        parser.header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
        parser.body_limit(m_limits.bodyBytes);
        if (buffer.size() == 0) {
            auto idle = session.socket.async_wait(tcp::socket::wait_read, asResult);
            auto waited = co_await withTimeout(std::move(idle), m_limits.idleConnection);
            if (!waited || std::get<0>(*waited) || m_stopping)
                co_return;
        }
        auto reading = http::async_read(session.socket, buffer, parser, asResult);
        auto read = co_await withTimeout(std::move(reading), m_limits.slowClient);
        if (!read) {
            co_await refuse(session.socket, 408, "the request was sent too slowly");
            co_return;
        }
        if (std::get<0>(*read)) {
            ReadFault fault = faultOf(std::get<0>(*read));
            if (fault.status != 0)
                co_await refuse(session.socket, fault.status, fault.text);
            co_return;
        }
        bool keepAlive = parser.get().keep_alive();
        HttpRequest request = toRequest(parser);
        bool goesOn = co_await serveOne(session, std::move(request), keepAlive);
        if (!goesOn)
            co_return;
    }
}

Task<bool> HttpServer::serveOne(Session &session, HttpRequest request, bool keepAlive)
{
    using namespace asio::experimental::awaitable_operators;
    bool isHead = request.method == "HEAD";
    session.busy = true;
    auto ended = co_await (m_handler(std::move(request)) || untilClosed(session.socket));
    if (ended.index() != 0)
        co_return false;
    bool goesOn = keepAlive && !m_stopping;
    auto response = toResponse(std::move(std::get<0>(ended)), goesOn, isHead);
    auto writing = http::async_write(session.socket, response, asResult);
    auto written = co_await withTimeout(std::move(writing), m_limits.slowClient);
    session.busy = false;
    co_return goesOn &&written && !std::get<0>(*written) && !m_stopping;
}

Task<void> HttpServer::refuse(tcp::socket &socket, int status, std::string_view text)
{
    HttpAnswer answer;
    answer.status = status;
    answer.headers.push_back({"content-type", "application/json"});
    answer.headers.push_back({"x-ibiswell-execution", "not-run"});
    answer.body = fmt::format("{{\"execution\":\"not-run\",\"detail\":\"{}\"}}\n", text);
    auto response = toResponse(std::move(answer), false, false);
    auto writing = http::async_write(socket, response, asResult);
    auto written = co_await withTimeout(std::move(writing), std::chrono::seconds(1));
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    // The client may still be sending; a reset would take the answer from it.
    std::array<char, 4096> rest {};
    for (int reads = 0; written && reads < 256; ++reads) {
        auto reading = socket.async_read_some(asio::buffer(rest), asResult);
        auto read = co_await withTimeout(std::move(reading), std::chrono::milliseconds(200));
        if (!read || std::get<0>(*read))
            break;
    }
}

} // namespace ibiswell
