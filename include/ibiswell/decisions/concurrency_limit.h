#pragma once

#include "ibiswell/core/time.h"

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>

namespace ibiswell {

/** How the backend server ended a call. */
enum class WorkOutcome : std::uint8_t { Completed, Shed, Failed };

/** Measurement of one finished call, taken by the node beside the backend server. */
struct WorkSample
{
    std::string_view route;
    Duration slotTime {}; ///< From start to end at the backend server.
    Duration downstreamWait {}; ///< Part of the slot time in which a downstream call was running.
    WorkOutcome outcome = WorkOutcome::Completed;
    int inFlightAtStart = 0;
    /**
     * Returned by ConcurrencyLimit::onStart(). Calls that started before the last change of the
     * limit ran under the old limit and are not counted in the window.
     */
    std::uint64_t startNumber = std::numeric_limits<std::uint64_t>::max();
};

/**
 * Learns how many concurrent calls a backend server can handle.
 *
 * Only completed calls raise the limit, never the passing of time. The limit starts at
 * initialLimit and doubles with each window of completions whose slot times are close to those at
 * low concurrency (slow start). Time spent waiting for downstream calls is excluded from the
 * comparison. When slot times rise beyond that, the limit is cut in proportion to the excess. When
 * most of the last few calls were slow, shed or failed, the backend server has gone back to a cold
 * start: the limit returns to a small value and all measurements are discarded.
 */
class ConcurrencyLimit
{
public:
    static constexpr int minimumLimit = 1;
    static constexpr int initialLimit = 4;
    static constexpr int maximumLimit = 4096;

    int limit() const { return m_limit; }
    bool isInSlowStart() const { return m_slowStart; }
    /**
     * Whether a recent window was congested. When none was, the backend server may be able to
     * handle more calls than the limit.
     */
    bool isConfirmed() const;
    /** How often the backend server was found to be in a cold start again. */
    std::uint64_t detectedColdStarts() const { return m_detectedColdStarts; }

    /** Returns the number of a call that starts now, for WorkSample::startNumber. */
    std::uint64_t onStart() { return m_nextStartNumber++; }
    void onSample(const WorkSample &sample);

    /** Time that a call of @p route takes at low concurrency; zero until it is known. */
    Duration baseTime(std::string_view route) const;

    /** Counts a detected cold start, discards all measurements and returns to a small limit. */
    void reset();

private:
    struct RouteTimes
    {
        double base = 0; ///< Seconds at low concurrency.
        int samples = 0;
    };

    bool isDegraded(const WorkSample &sample, double ownSeconds, const RouteTimes &times) const;
    /** Records a sample; true when most of the recent samples are degraded. */
    bool recordRecent(bool degraded);
    void changeLimit(int limit);
    int windowLength() const;
    void closeWindow();
    void updateBaseTime(const WorkSample &sample, double ownSeconds, RouteTimes &times) const;
    void adjustLimit(double ratio);

    int m_limit = initialLimit;
    bool m_slowStart = true;
    /** The limit is lowered for one window, to measure the base times again. */
    bool m_probing = false;
    int m_limitBeforeProbe = initialLimit;
    int m_windowsSinceProbe = 0;
    int m_windowsSinceCongestion = 0;
    std::map<std::string, RouteTimes, std::less<>> m_routes;
    double m_windowSlotSeconds = 0; ///< Sum of the slot times.
    double m_windowExpectedSeconds = 0; ///< Sum of the slot times expected at low concurrency.
    int m_windowSamples = 0;
    int m_windowBusySamples = 0;
    double m_windowInFlight = 0; ///< Sum of the calls in flight over the samples.
    /** Highest mean of the calls in flight over a window without congestion. */
    double m_uncongestedInFlight = 0;
    int m_windowUncompletedSamples = 0; ///< Calls that were shed or failed.
    std::uint32_t m_recentDegraded = 0; ///< One bit for each of the recent samples.
    std::uint64_t m_detectedColdStarts = 0;
    std::uint64_t m_nextStartNumber = 0;
    std::uint64_t m_changedAtStartNumber = 0; ///< Calls numbered lower ran under another limit.
};

} // namespace ibiswell
