#pragma once

#include "asio.h"
#include "http_messages.h"

#include <cstddef>

namespace ibiswell {

/** The end of a step of reading an HTTP message. */
struct HttpRead
{
    boost::system::error_code error;
    std::size_t bytes = 0; ///< Parsed in this step.
};

/**
 * Parses what is in @p buffer and, if that is not enough to make progress, reads once more from the
 * socket.
 *
 * The buffer's maximum size bounds a header, and each line that the parser needs whole: the
 * extensions of a chunk, the fields after the last chunk. A longer line is buffer_overflow; a
 * longer header, or a field that the parser cannot represent, is header_limit. Beast's own
 * operations throw for such a field, out of the event loop. A folded line in the head of a response
 * is bad_field; the parser must not be eager, so that the head is read alone.
 */
template<bool isRequest>
Task<HttpRead> readSome(tcp::socket &socket, beast::flat_buffer &buffer,
                        http::basic_parser<isRequest> &parser);

/** Reads until the header is complete; bytes that follow it stay in @p buffer. */
template<bool isRequest>
Task<boost::system::error_code> readHeader(tcp::socket &socket, beast::flat_buffer &buffer,
                                           http::basic_parser<isRequest> &parser);

} // namespace ibiswell
