#include "ibiswell/core/hash.h"

#include <fmt/format.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace ibiswell {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    hex.reserve(2 * digest.size());
    for (unsigned char byte : digest)
        fmt::format_to(std::back_inserter(hex), "{:02x}", byte);
    return hex;
}

} // namespace ibiswell
