#pragma once

#include "ibiswell/core/messages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace ibiswell {

/** Maximum size of a peer message in bytes. Longer messages are rejected before they are read. */
inline constexpr std::size_t maximumPeerMessageBytes = 32u << 20;

/** Maximum size of a datagram in bytes. Updates that do not fit wait for the next datagram. */
inline constexpr std::size_t maximumDatagramBytes = 1400;

std::string encode(const PeerMessage &message);
std::string encode(const Datagram &datagram);

/**
 * Decodes a message from another process. Any input is allowed: for truncated, oversized or
 * malformed input the function returns nothing and sets @p error. It never allocates more memory
 * than the actual length of the input justifies, whatever lengths the input claims.
 */
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes, Error &error);
/** The id of the call whose encoded message begins with @p bytes; nothing for other messages. */
std::optional<std::uint64_t> decodeCallId(std::string_view bytes);
std::optional<Datagram> decodeDatagram(std::string_view bytes, Error &error);

} // namespace ibiswell
