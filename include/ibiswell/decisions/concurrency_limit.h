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
    std::uint64_t start = std::numeric_limits<std::uint64_t>::max();
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
    bool isWarming() const { return m_warming; }
    /** Whether a window lately was congested; else the server may bear more than the limit. */
    bool isFelt() const;
    /** How often a fall back into a cold start was noticed. */
    std::uint64_t restarts() const { return m_restarts; }

    /** Numbers a piece of work that starts now. */
    std::uint64_t onStart() { return m_nextStart++; }
    void onSample(const WorkSample &sample);

    /** Time at low concurrency for @p route; zero until it is known. */
    Duration baseTime(std::string_view route) const;

    /** Forgets what was learned; for a backend server that is known to be replaced. */
    void restart();

private:
    struct RouteTimes
    {
        double base = 0; ///< Seconds.
        int samples = 0;
    };

    bool isBad(const WorkSample &sample, double own, const RouteTimes &times) const;
    bool noteRecent(bool bad);
    void changeLimit(int limit);
    int windowLength() const;
    void closeWindow();
    void learnBase(const WorkSample &sample, double own, RouteTimes &times) const;
    void adjust(double ratio);

    int m_limit = initialLimit;
    bool m_warming = true;
    bool m_probing = false;
    int m_limitBeforeProbe = initialLimit;
    int m_windowsSinceProbe = 0;
    int m_windowsSinceFelt = 0; ///< Since a window was congested.
    std::map<std::string, RouteTimes, std::less<>> m_routes;
    double m_windowHeld = 0; ///< Seconds that slots were held.
    double m_windowExpected = 0; ///< Seconds that they would be held at low concurrency.
    int m_windowCount = 0;
    int m_windowBusy = 0;
    double m_windowInFlight = 0; ///< Sum over the window.
    double m_provenInFlight = 0; ///< Calls at once that were seen without congestion.
    int m_windowShed = 0;
    std::uint32_t m_recentBad = 0; ///< One bit for each of the recent samples.
    std::uint64_t m_restarts = 0;
    std::uint64_t m_nextStart = 0;
    std::uint64_t m_changedAtStart = 0; ///< Starts before this one saw another limit.
};

} // namespace ibiswell
