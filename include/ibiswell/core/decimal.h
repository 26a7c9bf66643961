#pragma once

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace ibiswell {

/** Reads a decimal number from 0 on; nothing when @p text is anything else or holds more. */
inline std::optional<double> readDecimal(std::string_view text)
{
    double value = 0;
    const char *end = text.data() + text.size();
    auto [parsed, ec] = std::from_chars(text.data(), end, value);
    bool isNumber = ec == std::errc {} && parsed == end && std::isfinite(value) && value >= 0;
    return isNumber ? std::optional(value) : std::nullopt;
}

} // namespace ibiswell
