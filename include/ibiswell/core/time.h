#pragma once

#include <chrono>

namespace ibiswell {

/** Resolution of all times in decisions. */
using Duration = std::chrono::microseconds;

/**
 * Clock of the decision code. It has no now(): a decision gets the time as an argument, so that
 * tests and models run in virtual time. The transport maps std::chrono::steady_clock onto it.
 */
struct MonotonicClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): a clock has it
};

using TimePoint = MonotonicClock::time_point;

/** Length of @p d in seconds, for rates. */
inline double inSeconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

/** @p seconds as a Duration, rounded towards zero. */
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace ibiswell
