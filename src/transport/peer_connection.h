#pragma once

#include "asio.h"

#include "ibiswell/core/messages.h"

#include <span>

namespace ibiswell {

/** A TCP connection between two nodes that carries length-framed messages, one call at a time. */
class PeerConnection
{
public:
    explicit PeerConnection(tcp::socket socket);

    /**
     * False when the connection failed or took no byte for @p idleTimeout; the peer may have got
     * any part of the message.
     */
    Task<bool> send(const PeerMessage &message, Duration idleTimeout);
    /**
     * The next message; nothing, with lastError(), when the connection ended, was malformed, or
     * no byte came for @p idleTimeout. Without @p idleTimeout it waits for as long as it takes.
     */
    Task<std::optional<PeerMessage>> receive(std::optional<Duration> idleTimeout);

    /** Whether it may not be used again: closed by the peer, or with bytes that nobody asked for.
     */
    bool isSpoiled();

    tcp::socket &socket() { return m_socket; }
    const std::optional<Error> &lastError() const { return m_lastError; }

private:
    /** Reads until @p size bytes are in the buffer. */
    Task<bool> readAtLeast(std::size_t size, std::optional<Duration> idleTimeout);
    Task<bool> writeAll(std::span<const char> bytes, Duration idleTimeout);

    tcp::socket m_socket;
    std::string m_buffer; ///< Bytes that were read and belong to the next messages.
    std::optional<Error> m_lastError;
};

} // namespace ibiswell
