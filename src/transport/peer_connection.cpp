#include "peer_connection.h"

#include "ibiswell/wire/codec.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>

namespace ibiswell {

namespace {

constexpr std::size_t prefixBytes = 4;
constexpr std::size_t chunkBytes = 256u << 10; // a false length costs no more memory

} // namespace

PeerConnection::PeerConnection(tcp::socket socket)
    : m_socket(std::move(socket))
{
}

Task<bool> PeerConnection::readAll(std::span<char> bytes, std::optional<Duration> silence)
{
    while (!bytes.empty()) {
        auto reading = m_socket.async_read_some(asio::buffer(bytes.data(), bytes.size()), asResult);
        std::optional<std::tuple<boost::system::error_code, std::size_t>> read;
        if (silence)
            read = co_await withTimeout(std::move(reading), *silence);
        else
            read = co_await std::move(reading);
        if (!read || std::get<0>(*read)) {
            m_lastError = Error {ErrorKind::ConnectionLost,
                                 read ? std::get<0>(*read).message() : "the connection is silent"};
            co_return false;
        }
        bytes = bytes.subspan(std::get<1>(*read));
    }
    co_return true;
}

Task<bool> PeerConnection::writeAll(std::span<const char> bytes, Duration silence)
{
    while (!bytes.empty()) {
        auto writing =
            m_socket.async_write_some(asio::buffer(bytes.data(), bytes.size()), asResult);
        auto written = co_await withTimeout(std::move(writing), silence);
        if (!written || std::get<0>(*written)) {
            m_lastError =
                Error {ErrorKind::ConnectionLost,
                       written ? std::get<0>(*written).message() : "the connection takes no bytes"};
            co_return false;
        }
        bytes = bytes.subspan(std::get<1>(*written));
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
    std::array<char, prefixBytes> prefix {};
    bool whole = co_await readAll(prefix, silence);
    if (!whole)
        co_return std::nullopt;
    std::size_t left =
        boost::endian::load_little_u32(reinterpret_cast<unsigned char *>(prefix.data()));
    if (left > maximumPeerMessageBytes) {
        m_lastError = Error {ErrorKind::MalformedMessage, "message too long"};
        co_return std::nullopt;
    }
    std::string body;
    while (left > 0) {
        std::size_t chunk = std::min(left, chunkBytes);
        std::size_t start = body.size();
        body.resize(start + chunk);
        std::span<char> bytes(body.data() + start, chunk);
        whole = co_await readAll(bytes, silence);
        if (!whole)
            co_return std::nullopt;
        left -= chunk;
    }
    Error error;
    std::optional<PeerMessage> message = decodePeerMessage(body, error);
    if (!message)
        m_lastError = error;
    co_return message;
}

} // namespace ibiswell
