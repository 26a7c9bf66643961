#pragma once

#include <chrono>

namespace ibiswell {

/** Unit of all durations in decisions. */
using Duration = std::chrono::microseconds;

/**
 * Clock of the decision code. It has no now(): the current time is passed to each decision, so
 * that tests and models can run in virtual time. The transport converts
 * std::chrono::steady_clock to this clock.
 */
struct MonotonicClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock, duration>;
    // NOLINTNEXTLINE(readability-identifier-naming): the name is required of a clock
    static constexpr bool is_steady = true;
};

using TimePoint = MonotonicClock::time_point;

/** @p d as a floating-point number of seconds. */
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
