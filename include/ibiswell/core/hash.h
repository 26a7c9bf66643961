#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ibiswell {

/** 64-bit hash (XXH3) that has the same value on every node. */
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/** SHA-256 of @p text as 64 lower-case hexadecimal digits. Tenant keys are stored in this form. */
std::string sha256Hex(std::string_view text);

} // namespace ibiswell
