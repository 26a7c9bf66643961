#pragma once

#include "ibiswell/core/time.h"

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>

namespace ibiswell {

/** How a backend server ended one piece of work. */
enum class WorkOutcome : std::uint8_t { Completed, Shed, Failed };

/** One finished piece of work, as seen by the node beside the backend server. */
struct WorkSample
{
    std::string_view route;
    Duration slotTime {}; ///< From start to end at the backend server.
    Duration downstreamWait {}; ///< Part of it in which a call below was under way.
    WorkOutcome outcome = WorkOutcome::Completed;
    int inFlightAtStart = 0;
    /** Of ConcurrencyLimit::onStart(); work that began before the last change tells nothing of it.
     */
    std::uint64_t startNumber = std::numeric_limits<std::uint64_t>::max();
};

/**
 * Learns how many calls a backend server bears at once.
 *
 * The limit opens by completed work and never by time alone: it starts at initialLimit and
 * doubles with each window of completions that hold their slots hardly longer than they would at
 * low concurrency; time spent waiting for calls below is not held against the backend server.
 * Beyond the knee the limit is cut in proportion. Most of a few recent answers turning slow
 * or shed at once means that the backend server fell back into a cold start: the limit returns to
 * a small one and everything is learned anew.
 */
class ConcurrencyLimit
{
public:
    static constexpr int minimumLimit = 1;
    static constexpr int initialLimit = 4;
    static constexpr int maximumLimit = 4096;

    int limit() const { return m_limit; }
    bool isInSlowStart() const { return m_slowStart; }
    /** Whether a window lately was congested; else the server may bear more than the limit. */
    bool isConfirmed() const;
    /** How often a fall back into a cold start was noticed. */
    std::uint64_t detectedColdStarts() const { return m_detectedColdStarts; }

    /** Numbers a piece of work that starts now. */
    std::uint64_t onStart() { return m_nextStartNumber++; }
    void onSample(const WorkSample &sample);

    /** Time at low concurrency for @p route; zero until it is known. */
    Duration baseTime(std::string_view route) const;

    /** Forgets what was learned; for a backend server that is known to be replaced. */
    void reset();

private:
    struct RouteTimes
    {
        double base = 0; ///< Seconds.
        int samples = 0;
    };

    bool isDegraded(const WorkSample &sample, double own, const RouteTimes &times) const;
    bool recordRecent(bool bad);
    void changeLimit(int limit);
    int windowLength() const;
    void closeWindow();
    void updateBaseTime(const WorkSample &sample, double own, RouteTimes &times) const;
    void adjust(double ratio);

    int m_limit = initialLimit;
    bool m_slowStart = true;
    bool m_probing = false;
    int m_limitBeforeProbe = initialLimit;
    int m_windowsSinceProbe = 0;
    int m_windowsSinceCongestion = 0; ///< Since a window was congested.
    std::map<std::string, RouteTimes, std::less<>> m_routes;
    double m_windowHeldSeconds = 0; ///< Seconds that slots were held.
    double m_windowExpectedSeconds = 0; ///< Seconds that they would be held at low concurrency.
    int m_windowSamples = 0;
    int m_windowBusySamples = 0;
    double m_windowInFlight = 0; ///< Sum over the window.
    double m_uncongestedInFlight = 0; ///< Calls at once that were seen without congestion.
    int m_windowShedSamples = 0;
    std::uint32_t m_recentDegraded = 0; ///< One bit for each of the recent samples.
    std::uint64_t m_detectedColdStarts = 0;
    std::uint64_t m_nextStartNumber = 0;
    std::uint64_t m_changedAtStartNumber = 0; ///< Starts before this one saw another limit.
};

} // namespace ibiswell
