#pragma once

#include "ibiswell/core/messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/**
 * Which responses are sound: the rules that all readers of responses share, whoever responds. They
 * are plain functions of what was read, so that they do not depend on how it was read.
 *
 * Source of the rules: RFC 9110 and RFC 9112.
 */
namespace ibiswell {

/** What is wrong with a response, in words; nothing when it is sound. */
using ResponseDefect = std::optional<std::string>;

/** The head of a response as it was received, with the fields that concern its connection. */
struct ResponseHead
{
    int status = 0;
    bool isHttp11 = true; ///< HTTP/1.0 otherwise.
    std::vector<HeaderField> fields;
};

/**
 * Whether fields state a transfer coding other than "chunked" alone. Without the others, the bytes
 * are not those of the body, and after an unknown one its end is not known either.
 */
bool hasUnknownCoding(const std::vector<HeaderField> &fields);

/** Whether the final response follows the one with this status. */
bool isInterim(int status);

/**
 * Whether a line of @p head continues the field before it, for which it begins with a blank. The
 * same line may be meant as a field whose name begins with one, so it is not passed on as either.
 */
bool hasFoldedLine(std::string_view head);

/**
 * Checks a head, interim or final, before anything behind it is read. The parser that has read it
 * has checked the characters of its fields.
 */
ResponseDefect checkHead(const ResponseHead &head);

/** Checks a complete final response that another node passes on. */
ResponseDefect checkPassedOn(const HttpResponse &response);

/** What delimits the body of a response. */
enum class BodyEnd {
    Stated, ///< A length or the last chunk; also where there is no body.
    ConnectionClose,
};

/** How the sending of the request ended, on the connection on which its response was read. */
enum class SendOutcome {
    Sent,
    Stopped, ///< By the sender itself: the response arrived first.
    PeerClosed, ///< The server had closed its side when a byte arrived that it no longer reads.
    Failed,
};

/**
 * Whether the body is whole. The operating system reports a reset once, to the send or to the read;
 * after a send that failed, the read sees an ordinary end of the connection.
 */
ResponseDefect checkEnd(BodyEnd end, SendOutcome sending);

} // namespace ibiswell
