#include "http_reader.h"

#include "ibiswell/core/response_check.h"

#include <algorithm>
#include <stdexcept>
#include <string_view>

namespace ibiswell {

namespace {

constexpr std::size_t minimumReadBytes = 512;
constexpr std::size_t maximumReadBytes = 64u << 10;

std::string_view textOf(const beast::flat_buffer &buffer, std::size_t bytes)
{
    return {static_cast<const char *>(buffer.data().data()), bytes};
}

template<bool isRequest>
HttpRead parse(beast::flat_buffer &buffer, http::basic_parser<isRequest> &parser)
{
    HttpRead step;
    bool isHead = !parser.is_header_done();
    try {
        step.bytes = parser.put(buffer.data(), step.error);
    } catch (const std::length_error &) {
        step.error = http::error::header_limit;
    }
    // The parser joins folded lines, after which they cannot be told from others.
    if (!isRequest && isHead && hasFoldedLine(textOf(buffer, step.bytes)))
        step.error = http::error::bad_field;
    buffer.consume(step.bytes);
    return step;
}

/** The end of the stream may complete a body without a length. */
template<bool isRequest>
boost::system::error_code endOfStream(http::basic_parser<isRequest> &parser)
{
    if (!parser.got_some())
        return http::error::end_of_stream;
    boost::system::error_code ec;
    parser.put_eof(ec);
    return ec;
}

std::size_t nextReadSize(const beast::flat_buffer &buffer)
{
    std::size_t room = buffer.max_size() - buffer.size();
    std::size_t allocated = buffer.capacity() - buffer.size();
    return std::min({std::max(minimumReadBytes, allocated), maximumReadBytes, room});
}

} // namespace

template<bool isRequest>
Task<HttpRead> readSome(tcp::socket &socket, beast::flat_buffer &buffer,
                        http::basic_parser<isRequest> &parser)
{
    HttpRead whole;
    for (;;) {
        HttpRead step {http::error::need_more};
        if (buffer.size() > 0)
            step = parse(buffer, parser);
        whole = {step.error, whole.bytes + step.bytes};
        // The parser takes complete lines out of the buffer, and does not count them.
        bool isHeaderTooLong = !parser.is_header_done() && whole.bytes > buffer.max_size();
        if (isHeaderTooLong)
            co_return HttpRead {http::error::header_limit, whole.bytes};
        if (step.error != http::error::need_more)
            co_return whole;
        std::size_t size = nextReadSize(buffer);
        if (size == 0)
            co_return HttpRead {http::error::buffer_overflow, whole.bytes};
        auto [error, count] = co_await socket.async_read_some(buffer.prepare(size), asResult);
        buffer.commit(count);
        if (error == asio::error::eof)
            co_return HttpRead {endOfStream(parser), whole.bytes};
        if (error)
            co_return HttpRead {error, whole.bytes};
    }
}

template<bool isRequest>
Task<boost::system::error_code> readHeader(tcp::socket &socket, beast::flat_buffer &buffer,
                                           http::basic_parser<isRequest> &parser)
{
    parser.eager(false);
    boost::system::error_code error;
    while (!parser.is_header_done() && !error) {
        HttpRead step = co_await readSome(socket, buffer, parser);
        error = step.error;
    }
    co_return error;
}

template Task<HttpRead> readSome(tcp::socket &, beast::flat_buffer &, http::basic_parser<true> &);
template Task<HttpRead> readSome(tcp::socket &, beast::flat_buffer &, http::basic_parser<false> &);
template Task<boost::system::error_code> readHeader(tcp::socket &, beast::flat_buffer &,
                                                    http::basic_parser<true> &);
template Task<boost::system::error_code> readHeader(tcp::socket &, beast::flat_buffer &,
                                                    http::basic_parser<false> &);

} // namespace ibiswell
