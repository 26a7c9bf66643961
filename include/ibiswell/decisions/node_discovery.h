#pragma once

#include "ibiswell/core/time.h"

#include <algorithm>
#include <cstddef>

namespace ibiswell {

/**
 * How long a node waits until it looks again for nodes that it does not know.
 *
 * Looks join the parts of a fleet that have lost each other, and one look by any node of a part is
 * enough. So a node that knows many others looks less often; a node that is alone, or in a small
 * part, looks as often as the shortest interval allows. The longest one bounds the time until a
 * node notices that the store has lost its own object.
 */
inline Duration nodeDiscoveryInterval(std::size_t activeMembers)
{
    using namespace std::chrono_literals;
    constexpr Duration intervalOfFleet = 1400ms;
    constexpr Duration shortest = 12s;
    constexpr Duration longest = 30s;
    return std::clamp<Duration>(intervalOfFleet * static_cast<int>(activeMembers), shortest,
                                longest);
}

} // namespace ibiswell
