#pragma once

#include "asio.h"
#include "buffer_budget.h"

#include "ibiswell/core/messages.h"

#include <span>

namespace ibiswell {

/** A connection on which a message is awaited or incomplete counts as lost after this time. */
inline constexpr Duration peerInactivityTimeout = std::chrono::milliseconds(1500);

/** A TCP connection between two nodes for length-prefixed messages, one call at a time. */
class PeerConnection
{
public:
    /** @param bodies bounds the calls that are received; null: not bounded. */
    explicit PeerConnection(tcp::socket socket, BufferBudget *bodies = nullptr);

    /**
     * Sends a message. False when the connection failed or accepted no byte for @p idleTimeout;
     * the peer may have received any part of the message.
     */
    Task<bool> send(const PeerMessage &message, Duration idleTimeout);
    /**
     * Receives the next message; nothing, with lastError(), when the connection ended, the message
     * was malformed, or no byte arrived for @p idleTimeout. Without @p idleTimeout it waits
     * without limit. What the message before it held of the budget is given back.
     *
     * A call for which the budget has no room is read and dropped: lastError() is then QueueFull,
     * and droppedCallId() names it, so that it can be refused as not run. Another message without
     * room, and one that stops in the middle, ends the connection.
     */
    Task<std::optional<PeerMessage>> receive(std::optional<Duration> idleTimeout);

    std::uint64_t droppedCallId() const { return m_droppedCallId; }
    /** Gives back what the last message held of the budget. */
    void releaseBuffers() { m_reservation.release(); }

    /** Whether an idle connection cannot be reused: the peer closed it or sent unexpected bytes. */
    bool isStale();

    tcp::socket &socket() { return m_socket; }
    const std::optional<Error> &lastError() const { return m_lastError; }

private:
    /** Reads until at least @p size bytes are in the buffer. */
    Task<bool> readAtLeast(std::size_t size, std::optional<Duration> idleTimeout);
    /** Whether the budget has room for a message. */
    enum class Room : std::uint8_t { Enough, DropCall, None };

    /** Takes the message of @p length bytes from the budget. */
    Room reserve(std::size_t length);
    /** Reads and drops the rest of a message of @p length bytes; false when the connection ends. */
    Task<bool> dropMessage(std::size_t length, std::optional<Duration> idleTimeout);
    Task<bool> writeAll(std::span<const char> bytes, Duration idleTimeout);

    tcp::socket m_socket;
    std::string m_buffer; ///< Received bytes that are not yet decoded.
    BufferBudget::Reservation m_reservation; ///< Of the last message that was received.
    std::uint64_t m_droppedCallId = 0;
    std::optional<Error> m_lastError;
};

} // namespace ibiswell
