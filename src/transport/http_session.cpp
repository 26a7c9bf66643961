#include "http_session.h"

#include "http_reader.h"
#include "socket_deadline.h"

#include "ibiswell/core/response_check.h"

#include <fmt/format.h>

#include <array>
#include <utility>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

using Parser = http::request_parser<http::string_body>;

constexpr std::size_t readAheadBytes = 4096; // bytes of a body that may arrive with the header
constexpr Duration refusalWriteTimeout = 1s;
constexpr Duration discardTimeout = 200ms; // without further bytes of the client
constexpr int maximumDiscardingReads = 256;
constexpr int statusUnavailable = 503;

/** Such a body would be read as the next request (request smuggling). */
bool hasUnknownCoding(const Parser &parser)
{
    const auto &message = parser.get();
    bool statesCoding = message.find(http::field::transfer_encoding) != message.end();
    return statesCoding && hasUnknownCoding(toFields(message));
}

/** Whether the task was cancelled; an operation also ends when m_changed or the socket is. */
bool wasCancelled(const asio::cancellation_state &state)
{
    return state.cancelled() != asio::cancellation_type::none;
}

HttpRequest toRequest(Parser &parser)
{
    http::request<http::string_body> message = parser.release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.path = std::string(message.target());
    request.headers = endToEndFields(toFields(message));
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

/** The response to a request that could not be read; status 0 when the connection was closed. */
HttpSession::ReadError HttpSession::readErrorFor(const boost::system::error_code &ec)
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

/** Marks an exchange as ended, also when its handler was cancelled. */
class HttpSession::EndGuard
{
public:
    EndGuard(HttpSession &session, Exchange &exchange)
        : m_session(session)
        , m_exchange(exchange)
    {
    }
    EndGuard(const EndGuard &) = delete;
    EndGuard &operator=(const EndGuard &) = delete;
    ~EndGuard()
    {
        --m_session.m_running;
        m_exchange.ended = true;
        m_session.notify();
    }

private:
    HttpSession &m_session;
    Exchange &m_exchange;
};

HttpSession::HttpSession(const HttpServerState &server, tcp::socket socket)
    : m_server(server)
    , m_socket(std::move(socket))
    , m_caller(m_socket)
    , m_buffer(static_cast<std::size_t>(server.limits().headerBytes) + readAheadBytes)
    , m_changed(m_socket.get_executor(), std::chrono::steady_clock::time_point::max())
{
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
}

void HttpSession::closeIfIdle()
{
    boost::system::error_code ignored;
    if (m_pending.empty() && m_awaitingRequest)
        m_socket.shutdown(tcp::socket::shutdown_receive, ignored);
}

Task<void> HttpSession::serve()
{
    using namespace asio::experimental::awaitable_operators;
    try {
        co_await (readRequests() || writeResponses());
    } catch (const std::exception &) {
        // A response that cannot be written stays pending: the connection closes in its place.
    }
    co_await endRequests();
    boost::system::error_code ignored;
    // A refusal behind a response that is missing would be taken for that response.
    if (m_readError.status != 0 && m_pending.empty())
        co_await refuse(m_readError.status, m_readError.text);
    else if (m_socket.available(ignored) > 0)
        co_await discardInput();
    m_socket.close(ignored);
}

Task<void> HttpSession::readRequests()
{
    while (!m_noMoreRequests) {
        bool arrived = co_await awaitRequest();
        if (!arrived && m_pending.empty())
            co_return;
        // The server stops: responses that are owed are still sent.
        if (!arrived)
            break;
        std::list<Exchange> received;
        received.emplace_back(m_server.bodies);
        Exchange &exchange = received.back();
        std::optional<HttpRequest> request = co_await readRequest(exchange);
        if (!request && m_readError.status == 0)
            co_return;
        // A response that closes the connection may have been written meanwhile.
        if (!request || m_noMoreRequests)
            break;
        std::size_t allowedBeside = exchange.isSafe ? m_server.maximumConcurrentRequests - 1 : 0;
        bool isPresent = co_await waitForPending(allowedBeside);
        if (!isPresent)
            co_return;
        if (m_noMoreRequests)
            break;
        m_noMoreRequests = !exchange.keepAlive;
        bool runsAlone = !exchange.isSafe;
        m_pending.splice(m_pending.end(), received);
        start(exchange, std::move(*request));
        isPresent = !runsAlone || co_await waitForPending(0);
        if (!isPresent)
            co_return;
    }
    m_noMoreRequests = true;
    notify();
    co_await m_caller.waitUntilLeft();
}

Task<bool> HttpSession::awaitRequest()
{
    if (m_buffer.size() > 0)
        co_return true;
    m_awaitingRequest = true;
    boost::system::error_code ec = asio::error::operation_aborted;
    bool isCancelled = false;
    bool isIdleTooLong = false;
    // The writer cancels the wait when it has sent the last response: then the idle time begins.
    while (ec == asio::error::operation_aborted && !isCancelled && !isIdleTooLong) {
        std::optional<SocketDeadline> idle;
        if (m_pending.empty())
            idle.emplace(m_socket, m_server.limits().idleConnectionTimeout);
        auto [waitError] = co_await m_socket.async_wait(tcp::socket::wait_read, asResult);
        ec = waitError;
        isIdleTooLong = idle && idle->hasPassed();
        isCancelled = wasCancelled(co_await asio::this_coro::cancellation_state);
    }
    m_awaitingRequest = false;
    co_return !ec && !m_server.stopping;
}

Task<std::optional<HttpRequest>> HttpSession::readRequest(Exchange &exchange)
{
    CallerLimits limits = m_server.limits();
    RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(static_cast<std::uint64_t>(limits.bodyBytes));
    std::optional<ReadError> failure;
    {
        SocketDeadline slowClientDeadline(m_socket, limits.slowClientTimeout);
        boost::system::error_code headerError = co_await readHeader(m_socket, m_buffer, parser);
        if (headerError)
            failure = readErrorFor(headerError);
        else if (hasUnknownCoding(parser))
            failure = {501, "the transfer coding of the body is not supported"};
        else if (!parser.is_done())
            failure = co_await readBody(parser, exchange);
        bool isDisconnected = failure && failure->status == 0;
        if (isDisconnected && slowClientDeadline.hasPassed())
            failure = {408, "the request was sent too slowly"};
    }
    if (failure) {
        m_readError = *failure;
        co_return std::nullopt;
    }
    exchange.keepAlive = parser.get().keep_alive();
    exchange.isHead = parser.get().method() == http::verb::head;
    exchange.isSafe = exchange.isHead || parser.get().method() == http::verb::get;
    co_return toRequest(parser);
}

Task<std::optional<HttpSession::ReadError>> HttpSession::readBody(RequestParser &parser,
                                                                  Exchange &exchange)
{
    constexpr ReadError noRoom {statusUnavailable, "the node holds too many request bodies"};
    std::optional<std::uint64_t> length;
    if (auto stated = parser.content_length())
        length = *stated;
    if (length && !exchange.buffers.grow(*length))
        co_return noRoom;
    while (!parser.is_done()) {
        HttpRead step = co_await readSome(m_socket, m_buffer, parser);
        if (step.error)
            co_return readErrorFor(step.error);
        if (!length && !exchange.buffers.grow(step.bytes))
            co_return noRoom;
    }
    co_return std::nullopt;
}

Task<bool> HttpSession::waitForPending(std::size_t count)
{
    using namespace asio::experimental::awaitable_operators;
    auto waitForRoom = [this, count]() -> Task<void> {
        bool isCancelled = false;
        while (m_pending.size() > count && !isCancelled) {
            co_await m_changed.async_wait(asResult);
            isCancelled = wasCancelled(co_await asio::this_coro::cancellation_state);
        }
    };
    if (m_pending.size() <= count)
        co_return true;
    auto ended = co_await (waitForRoom() || m_caller.waitUntilLeft());
    co_return ended.index() == 0;
}

void HttpSession::start(Exchange &exchange, HttpRequest request)
{
    ++m_running;
    asio::co_spawn(m_socket.get_executor(), run(exchange, std::move(request)),
                   asio::bind_cancellation_slot(exchange.cancellation.slot(), asio::detached));
}

Task<void> HttpSession::run(Exchange &exchange, HttpRequest request)
{
    EndGuard guard(*this, exchange);
    auto handling = m_server.handler(std::move(request), m_caller);
    exchange.response = co_await std::move(handling);
}

Task<void> HttpSession::writeResponses()
{
    for (;;) {
        bool isCancelled = false;
        auto hasNothingToDo = [&] {
            return m_pending.empty() ? !m_noMoreRequests : !m_pending.front().ended;
        };
        while (hasNothingToDo() && !isCancelled) {
            co_await m_changed.async_wait(asResult);
            isCancelled = wasCancelled(co_await asio::this_coro::cancellation_state);
        }
        if (isCancelled || m_pending.empty() || !m_pending.front().response)
            co_return;
        bool keepsOpen = co_await writeResponse();
        if (!keepsOpen)
            co_return;
        notify();
        boost::system::error_code ignored;
        if (m_pending.empty() && m_awaitingRequest)
            m_socket.cancel(ignored);
    }
}

Task<bool> HttpSession::writeResponse()
{
    Exchange &exchange = m_pending.front();
    // Requests behind this one are already in progress, so only the last response may close.
    bool isLast = m_pending.size() == 1;
    bool keepsOpen = exchange.keepAlive && !(isLast && endsAfterPending());
    m_noMoreRequests = m_noMoreRequests || !keepsOpen;
    auto response = toResponse(std::move(*exchange.response), keepsOpen, exchange.isHead);
    exchange.buffers.growBeyond(response.body().size());
    SocketDeadline slowClientDeadline(m_socket, m_server.limits().slowClientTimeout);
    auto [error, bytes] = co_await http::async_write(m_socket, response, asResult);
    if (error)
        co_return false;
    m_pending.pop_front();
    co_return keepsOpen;
}

void HttpSession::cancelRequests()
{
    for (Exchange &exchange : m_pending) {
        if (!exchange.ended)
            exchange.cancellation.emit(asio::cancellation_type::all);
    }
}

Task<void> HttpSession::endRequests()
{
    cancelRequests();
    while (m_running > 0)
        co_await m_changed.async_wait(asResult);
}

Task<void> HttpSession::refuse(int status, std::string_view text)
{
    HttpResponse refusal;
    refusal.status = status;
    refusal.headers.push_back({"content-type", "application/json"});
    refusal.headers.push_back({"x-ibiswell-execution", "not-run"});
    if (status == statusUnavailable)
        refusal.headers.push_back({"retry-after", "1"});
    refusal.body = fmt::format("{{\"execution\":\"not-run\",\"detail\":\"{}\"}}\n", text);
    auto response = toResponse(std::move(refusal), false, false);
    auto writing = http::async_write(m_socket, response, asResult);
    auto written = co_await withTimeout(std::move(writing), refusalWriteTimeout);
    if (written)
        co_await discardInput();
}

Task<void> HttpSession::discardInput()
{
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    std::array<char, 4096> discarded {};
    for (int reads = 0; reads < maximumDiscardingReads; ++reads) {
        auto reading = m_socket.async_read_some(asio::buffer(discarded), asResult);
        auto read = co_await withTimeout(std::move(reading), discardTimeout);
        if (!read || std::get<0>(*read))
            break;
    }
}

} // namespace ibiswell
