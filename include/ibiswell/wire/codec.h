#pragma once

#include "ibiswell/core/messages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace ibiswell {

/** Longest peer message in bytes; a longer one is refused before it is read. */
inline constexpr std::size_t maximumPeerMessageBytes = 32u << 20;

/** Longest datagram in bytes; news that does not fit waits for the next one. */
inline constexpr std::size_t maximumDatagramBytes = 1400;

std::string encode(const PeerMessage &message);
std::string encode(const Datagram &datagram);

/**
 * Decodes a message from another process. Any input is allowed: truncated, oversized or malformed
 * bytes give nothing and set @p error, and never allocate more than the input's own length calls
 * for.
 */
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes, Error &error);
std::optional<Datagram> decodeDatagram(std::string_view bytes, Error &error);

} // namespace ibiswell
