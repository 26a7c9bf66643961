#pragma once

#include "ibiswell/core/time.h"

#include <cstdint>
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
    /** Time at the backend server, less the time spent waiting for calls below. */
    Duration ownTime {};
    WorkOutcome outcome = WorkOutcome::Completed;
    int inFlightAtStart = 0;
};

/**
 * Learns how many calls a backend server bears at once.
 *
 * The limit opens by completed work and never by time alone: it starts at minimumLimit and
 * doubles with each window of completions whose own time stays near the time seen at low
 * concurrency. Beyond the knee it is cut in proportion. Most of a few recent answers turning slow
 * or shed at once means that the backend server fell back into a cold start: the limit returns to
 * minimumLimit and everything is learned anew.
 */
class ConcurrencyLimit
{
public:
    static constexpr int minimumLimit = 4;
    static constexpr int maximumLimit = 4096;

    int limit() const { return m_limit; }
    bool isWarming() const { return m_warming; }
    /** How often a fall back into a cold start was noticed. */
    std::uint64_t restarts() const { return m_restarts; }

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
        double windowSum = 0; ///< Seconds.
        int windowCount = 0;
    };

    bool noteRecent(bool bad);
    int windowLength() const;
    void closeWindow();
    void updateBases(bool uncongested);
    void adjust(double ratio);

    int m_limit = minimumLimit;
    bool m_warming = true;
    bool m_probing = false;
    int m_limitBeforeProbe = minimumLimit;
    int m_windowsSinceProbe = 0;
    std::map<std::string, RouteTimes, std::less<>> m_routes;
    double m_windowOwn = 0; ///< Seconds.
    double m_windowBase = 0; ///< Seconds.
    int m_windowCount = 0;
    int m_windowBusy = 0;
    int m_windowShed = 0;
    std::uint32_t m_recentBad = 0; ///< One bit for each of the recent samples.
    std::uint64_t m_restarts = 0;
};

} // namespace ibiswell
