#pragma once

#include <compare>
#include <cstdint>

namespace ibiswell {

/**
 * A point in the history of the platform's store.
 *
 * A store that comes back from an older copy gives out revisions a second time, in the next era.
 * Only both numbers together order what was read from it.
 */
struct StorePosition
{
    std::uint64_t era = 0; ///< Rises each time that the store comes back from an older copy.
    std::uint64_t revision = 0; ///< Rises with each change within an era.

    auto operator<=>(const StorePosition &) const = default; // NOLINT(modernize-use-nullptr)
    /** Whether anything was read from the store at this position. */
    bool isKnown() const { return *this != StorePosition {}; }
};

} // namespace ibiswell
