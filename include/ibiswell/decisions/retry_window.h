#pragma once

#include "ibiswell/core/time.h"

#include <array>
#include <cstdint>

namespace ibiswell {

/** The retries that all nodes together may send to a service, in each window of time. */
struct FleetRetryBudget
{
    double ratio = 0.2; ///< Retries for each first attempt in the window.
    double slack = 0; ///< Retries beyond the ratio.
    Duration window = std::chrono::seconds(10);
};

/**
 * One node's part of the fleet's retry budget for one service.
 *
 * The budget of a window follows the first attempts in that window or in the one half a window
 * earlier, whichever has more. A node knows neither sum, so it allows a fixed mean of its own two
 * counts: the sum of these means over all nodes is the mean of the two sums, which is at most the
 * greater one. The budget thus holds without messages, wherever the load moves, and after a
 * failure has cut the demand the retries that the demand before it has earned can still be used.
 */
class RetryWindow
{
public:
    explicit RetryWindow(const FleetRetryBudget &budget);

    /**
     * @param inheritedShare the part of such calls that belongs to retries of calls upstream: they
     *                       count as retries.
     */
    void onFirstAttempt(TimePoint now, double inheritedShare);
    bool mayRetry(TimePoint now) const;
    void onRetry(TimePoint now);
    /** The part of the node's budget that is left, from 0 to 1. */
    double headroom(TimePoint now) const;

private:
    struct Slice
    {
        std::int64_t number = -1; ///< Counts slices of time since the clock's epoch.
        double firstAttempts = 0;
        double retries = 0;
    };
    static constexpr std::int64_t slicesPerWindow = 20;
    /** One and a half windows, and the slice that has just begun. */
    static constexpr std::size_t sliceCount = slicesPerWindow * 3 / 2 + 1;

    std::int64_t sliceNumber(TimePoint now) const;
    /** Retries that the window which ends now may hold. */
    double allowedRetries(TimePoint now) const;
    Slice &slice(TimePoint now);
    /** Sums a field of the slices from @p oldest to @p newest slices ago. */
    double sum(TimePoint now, std::int64_t oldest, std::int64_t newest, double Slice::*field) const;

    FleetRetryBudget m_budget;
    std::array<Slice, sliceCount> m_slices {};
};

} // namespace ibiswell
