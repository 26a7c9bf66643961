#include "http_client.h"

#include "http_messages.h"

#include "ibiswell/wire/codec.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t idleKept = 64;
constexpr Duration connectLimit = 1s;
constexpr std::size_t answerHeaderBytes = 64u << 10;
constexpr std::size_t answerBodyBytes = maximumPeerMessageBytes - (1u << 20);

Refusal unknown(ErrorKind kind, std::string detail)
{
    return {kind, std::move(detail), Execution::Unknown};
}

} // namespace

HttpClient::HttpClient(Endpoint server)
    : m_server(std::move(server))
{
}

std::optional<tcp::socket> HttpClient::takeIdle()
{
    while (!m_idle.empty()) {
        tcp::socket socket = std::move(m_idle.back());
        m_idle.pop_back();
        if (!isSpoiled(socket))
            return std::optional<tcp::socket>(std::move(socket));
    }
    return std::nullopt;
}

Task<CallResult> HttpClient::exchange(HttpRequest request, Duration limit)
{
    TimePoint start = steadyNow();
    std::optional<tcp::socket> socket = takeIdle();
    if (!socket)
        socket = co_await connectTo(m_server, std::min(limit, connectLimit));
    if (!socket)
        co_return Refusal {ErrorKind::ConnectFailed,
                           fmt::format("no connection to {}", toString(m_server)),
                           Execution::NotRun};
    bool reusable = false;
    Duration left = std::max<Duration>(1ms, limit - (steadyNow() - start));
    auto exchanging = exchangeOn(*socket, request, reusable);
    std::optional<CallResult> result = co_await withTimeout(std::move(exchanging), left);
    if (!result)
        co_return unknown(ErrorKind::DeadlineExceeded, "no whole answer in time");
    if (reusable && m_idle.size() < idleKept)
        m_idle.push_back(std::move(*socket));
    co_return std::move(*result);
}

Task<CallResult> HttpClient::exchangeOn(tcp::socket &socket, const HttpRequest &request,
                                        bool &reusable)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.path);
    message.set(http::field::host, toString(m_server));
    for (const HeaderField &field : request.headers) {
        if (http::string_to_field(field.name) != http::field::host)
            message.insert(field.name, field.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    auto [writeError, written] = co_await http::async_write(socket, message, asResult);
    if (writeError)
        co_return unknown(ErrorKind::ConnectionLost, writeError.message());

    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.header_limit(answerHeaderBytes);
    parser.body_limit(answerBodyBytes);
    parser.skip(request.method == "HEAD");
    auto [readError, read] = co_await http::async_read(socket, buffer, parser, asResult);
    if (readError && !parser.is_header_done())
        co_return unknown(ErrorKind::ConnectionLost, readError.message());
    if (readError)
        co_return unknown(ErrorKind::AnswerTruncated, readError.message());
    if (parser.need_eof() && request.method != "HEAD")
        co_return unknown(ErrorKind::AnswerTruncated, "the answer does not state its length");
    reusable = parser.get().keep_alive() && buffer.size() == 0;
    http::response<http::string_body> response = parser.release();
    HttpAnswer answer;
    answer.status = static_cast<int>(response.result_int());
    answer.headers = endToEndFields(response);
    answer.body = std::move(response.body());
    co_return answer;
}

} // namespace ibiswell
