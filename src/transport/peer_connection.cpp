#include "peer_connection.h"

#include "socket_deadline.h"

#include "ibiswell/wire/codec.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>

namespace ibiswell {

namespace {

constexpr std::size_t prefixBytes = 4;
constexpr std::size_t chunkBytes = 256u << 10; // a false length costs no more memory
constexpr std::size_t leastRead = 2048; // most messages come in one read
constexpr std::size_t bufferKept = 16u << 10; // bytes that an idle connection may hold

} // namespace

PeerConnection::PeerConnection(tcp::socket socket)
    : m_socket(std::move(socket))
{
}

bool PeerConnection::isStale()
{
    return !m_buffer.empty() || ibiswell::isStale(m_socket);
}

Task<bool> PeerConnection::fill(std::size_t size, std::optional<Duration> silence)
{
    while (m_buffer.size() < size) {
        std::size_t held = m_buffer.size();
        std::size_t wanted = std::clamp(size - held, leastRead, chunkBytes);
        m_buffer.resize(held + wanted);
        std::optional<SocketDeadline> deadline;
        if (silence)
            deadline.emplace(m_socket, *silence);
        auto [ec, count] = co_await m_socket.async_read_some(
            asio::buffer(m_buffer.data() + held, wanted), asResult);
        m_buffer.resize(held + (ec ? 0 : count));
        if (ec) {
            co_await throwIfCancelled();
            bool silent = deadline && deadline->hasPassed();
            m_lastError = Error {ErrorKind::ConnectionLost,
                                 silent ? "the connection is silent" : ec.message()};
            co_return false;
        }
    }
    co_return true;
}

Task<bool> PeerConnection::writeAll(std::span<const char> bytes, Duration silence)
{
    while (!bytes.empty()) {
        SocketDeadline deadline(m_socket, silence);
        auto [ec, count] =
            co_await m_socket.async_write_some(asio::buffer(bytes.data(), bytes.size()), asResult);
        if (ec) {
            co_await throwIfCancelled();
            bool silent = deadline.hasPassed();
            m_lastError = Error {ErrorKind::ConnectionLost,
                                 silent ? "the connection takes no bytes" : ec.message()};
            co_return false;
        }
        bytes = bytes.subspan(count);
    }
    co_return true;
}

Task<bool> PeerConnection::send(const PeerMessage &message, Duration silence)
{
    std::string frame(prefixBytes, '\0');
    frame += encode(message);
    boost::endian::store_little_u32(reinterpret_cast<unsigned char *>(frame.data()),
                                    static_cast<std::uint32_t>(frame.size() - prefixBytes));
    co_return co_await writeAll(frame, silence);
}

Task<std::optional<PeerMessage>> PeerConnection::receive(std::optional<Duration> silence)
{
    bool whole = co_await fill(prefixBytes, silence);
    if (!whole)
        co_return std::nullopt;
    std::size_t length =
        boost::endian::load_little_u32(reinterpret_cast<unsigned char *>(m_buffer.data()));
    if (length > maximumPeerMessageBytes) {
        m_lastError = Error {ErrorKind::MalformedMessage, "message too long"};
        co_return std::nullopt;
    }
    whole = co_await fill(prefixBytes + length, silence);
    if (!whole)
        co_return std::nullopt;
    Error error;
    std::string_view body(m_buffer.data() + prefixBytes, length);
    std::optional<PeerMessage> message = decodePeerMessage(body, error);
    if (!message)
        m_lastError = error;
    m_buffer.erase(0, prefixBytes + length);
    if (m_buffer.empty() && m_buffer.capacity() > bufferKept)
        m_buffer.shrink_to_fit();
    co_return message;
}

} // namespace ibiswell
