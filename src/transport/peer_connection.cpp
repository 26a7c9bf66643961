#include "peer_connection.h"

#include "socket_deadline.h"

#include "ibiswell/wire/codec.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>

namespace ibiswell {

namespace {

constexpr std::size_t prefixBytes = 4;
/** Limits the memory that a wrong length in a prefix allocates before its bytes arrive. */
constexpr std::size_t maximumReadBytes = 256u << 10;
constexpr std::size_t minimumReadBytes = 2048; // most messages arrive in one read
/** The first bytes of a message: with them, the id of a call is known. */
constexpr std::size_t callIdBytes = 16;
/** Refusing a call this small would take as much as to receive it. */
constexpr std::size_t alwaysReceivedBytes = 16u << 10;
constexpr std::size_t maximumIdleBufferBytes = 16u << 10; // a larger empty buffer is freed

} // namespace

PeerConnection::PeerConnection(tcp::socket socket, BufferBudget *bodies)
    : m_socket(std::move(socket))
    , m_reservation(bodies)
{
}

bool PeerConnection::isStale()
{
    return !m_buffer.empty() || ibiswell::isStale(m_socket);
}

Task<bool> PeerConnection::readAtLeast(std::size_t size, std::optional<Duration> idleTimeout)
{
    while (m_buffer.size() < size) {
        std::size_t buffered = m_buffer.size();
        std::size_t wanted = std::clamp(size - buffered, minimumReadBytes, maximumReadBytes);
        m_buffer.resize(buffered + wanted);
        std::optional<SocketDeadline> deadline;
        if (idleTimeout)
            deadline.emplace(m_socket, *idleTimeout);
        auto [ec, count] = co_await m_socket.async_read_some(
            asio::buffer(m_buffer.data() + buffered, wanted), asResult);
        m_buffer.resize(buffered + (ec ? 0 : count));
        if (ec) {
            co_await throwIfCancelled();
            bool timedOut = deadline && deadline->hasPassed();
            m_lastError = Error {ErrorKind::ConnectionLost,
                                 timedOut ? "no data received in time" : ec.message()};
            co_return false;
        }
    }
    co_return true;
}

Task<bool> PeerConnection::writeAll(std::span<const char> bytes, Duration idleTimeout)
{
    while (!bytes.empty()) {
        SocketDeadline deadline(m_socket, idleTimeout);
        auto [ec, count] =
            co_await m_socket.async_write_some(asio::buffer(bytes.data(), bytes.size()), asResult);
        if (ec) {
            co_await throwIfCancelled();
            bool timedOut = deadline.hasPassed();
            m_lastError = Error {ErrorKind::ConnectionLost,
                                 timedOut ? "no data accepted in time" : ec.message()};
            co_return false;
        }
        bytes = bytes.subspan(count);
    }
    co_return true;
}

Task<bool> PeerConnection::send(const PeerMessage &message, Duration idleTimeout)
{
    std::string frame(prefixBytes, '\0');
    frame += encode(message);
    boost::endian::store_little_u32(reinterpret_cast<unsigned char *>(frame.data()),
                                    static_cast<std::uint32_t>(frame.size() - prefixBytes));
    co_return co_await writeAll(frame, idleTimeout);
}

PeerConnection::Room PeerConnection::reserve(std::size_t length)
{
    std::string_view start = std::string_view(m_buffer).substr(prefixBytes);
    std::optional<std::uint64_t> callId = decodeCallId(start);
    m_droppedCallId = callId.value_or(0);
    if (length <= alwaysReceivedBytes)
        m_reservation.growBeyond(length);
    else if (callId && !m_reservation.grow(length))
        return Room::DropCall;
    else if (!callId && !m_reservation.growUrgently(length))
        return Room::None;
    return Room::Enough;
}

Task<bool> PeerConnection::dropMessage(std::size_t length, std::optional<Duration> idleTimeout)
{
    std::size_t remaining = prefixBytes + length;
    for (;;) {
        std::size_t dropped = std::min(remaining, m_buffer.size());
        m_buffer.erase(0, dropped);
        remaining -= dropped;
        if (remaining == 0)
            co_return true;
        bool received = co_await readAtLeast(1, idleTimeout);
        if (!received)
            co_return false;
    }
}

Task<std::optional<PeerMessage>> PeerConnection::receive(std::optional<Duration> idleTimeout)
{
    m_reservation.release();
    bool received = co_await readAtLeast(prefixBytes, idleTimeout);
    if (!received)
        co_return std::nullopt;
    std::size_t length =
        boost::endian::load_little_u32(reinterpret_cast<unsigned char *>(m_buffer.data()));
    if (length > maximumPeerMessageBytes) {
        m_lastError = Error {ErrorKind::MalformedMessage, "message is too long"};
        co_return std::nullopt;
    }
    // A peer that stops within a message would hold its room for good.
    if (!idleTimeout)
        idleTimeout = peerInactivityTimeout;
    received = co_await readAtLeast(prefixBytes + std::min(length, callIdBytes), idleTimeout);
    if (!received)
        co_return std::nullopt;
    Room room = reserve(length);
    if (room == Room::None) {
        m_lastError = Error {ErrorKind::ConnectionLost, "the node holds too many messages"};
        co_return std::nullopt;
    }
    if (room == Room::DropCall) {
        bool dropped = co_await dropMessage(length, idleTimeout);
        if (dropped)
            m_lastError = Error {ErrorKind::QueueFull, "the node holds too many bodies"};
        co_return std::nullopt;
    }
    received = co_await readAtLeast(prefixBytes + length, idleTimeout);
    if (!received)
        co_return std::nullopt;
    Error error;
    std::string_view body(m_buffer.data() + prefixBytes, length);
    std::optional<PeerMessage> message = decodePeerMessage(body, error);
    if (!message)
        m_lastError = error;
    m_buffer.erase(0, prefixBytes + length);
    if (m_buffer.empty() && m_buffer.capacity() > maximumIdleBufferBytes)
        m_buffer.shrink_to_fit();
    co_return message;
}

} // namespace ibiswell
