#pragma once

#include "asio.h"

#include "ibiswell/core/messages.h"

#include <span>

namespace ibiswell {

/** A TCP connection between two nodes for length-prefixed messages, one call at a time. */
class PeerConnection
{
public:
    explicit PeerConnection(tcp::socket socket);

    /**
     * Sends a message. False when the connection failed or accepted no byte for @p idleTimeout;
     * the peer may have received any part of the message.
     */
    Task<bool> send(const PeerMessage &message, Duration idleTimeout);
    /**
     * Receives the next message; nothing, with lastError(), when the connection ended, the message
     * was malformed, or no byte arrived for @p idleTimeout. Without @p idleTimeout it waits
     * without limit.
     */
    Task<std::optional<PeerMessage>> receive(std::optional<Duration> idleTimeout);

    /** Whether an idle connection cannot be reused: the peer closed it or sent unexpected bytes. */
    bool isStale();

    tcp::socket &socket() { return m_socket; }
    const std::optional<Error> &lastError() const { return m_lastError; }

private:
    /** Reads until at least @p size bytes are in the buffer. */
    Task<bool> readAtLeast(std::size_t size, std::optional<Duration> idleTimeout);
    Task<bool> writeAll(std::span<const char> bytes, Duration idleTimeout);

    tcp::socket m_socket;
    std::string m_buffer; ///< Received bytes that are not yet decoded.
    std::optional<Error> m_lastError;
};

} // namespace ibiswell
