#pragma once

#include <cstddef>
#include <random>

namespace ibiswell {

/**
 * Random number generator that is passed to decisions. The code that passes it also seeds it, so
 * that tests are reproducible.
 */
using Random = std::mt19937_64;

/** A uniformly distributed number in [0, 1). */
inline double uniform(Random &random)
{
    return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

/** A random index in [0, @p count); @p count must be positive. */
inline std::size_t pickIndex(Random &random, std::size_t count)
{
    return static_cast<std::size_t>(random() % count);
}

} // namespace ibiswell
