#include "ibiswell/decisions/concurrency_limit.h"

#include <algorithm>
#include <bit>

namespace ibiswell {

namespace {

constexpr int samplesToLearnRoute = 8;
constexpr int shortestWindow = 6; // samples
constexpr int longestWindow = 64; // samples
constexpr double congestedRatio = 1.25; // slot time divided by the slot time at low concurrency
constexpr int coldStartDivisor = 8; // the limit is divided by this when a cold start is detected
constexpr double minimumCutFactor = 0.7; // one window cuts the limit at most to this part
constexpr double busyFraction = 0.8; // a sample is busy from this part of the limit in flight
constexpr double lowFraction = 0.5; // up to this part of the limit, a sample updates the base time
constexpr int lowLimit = 2; // up to this limit, every sample updates the base time
constexpr double baseSmoothing = 0.02; // weight of a new sample in the base time
constexpr int windowsBetweenProbes = 100;
constexpr double probeFraction = 0.5; // of the limit, while the base time is measured again
constexpr double degradedRatio = 4; // own time divided by base time of a degraded sample
constexpr double queueAllowance = 2; // times the wait that the excess of calls would cause
constexpr std::uint32_t recentMask = 0xff; // the last eight samples
constexpr int degradedOfRecent = 6; // from this count, a cold start is detected
constexpr int growthDivisor = 20; // after slow start, a window adds the limit divided by this
constexpr int windowsUntilUnconfirmed = 30; // without congestion
constexpr double uncongestedRatio = 1.1; // below it the limit grows faster
constexpr int uncongestedGrowthDivisor = 4; // replaces growthDivisor below uncongestedRatio

} // namespace

Duration ConcurrencyLimit::baseTime(std::string_view route) const
{
    auto found = m_routes.find(route);
    return found == m_routes.end() ? Duration {} : fromSeconds(found->second.base);
}

void ConcurrencyLimit::reset()
{
    std::uint64_t detectedColdStarts = m_detectedColdStarts;
    int limit = std::clamp(m_limit / coldStartDivisor, minimumLimit, initialLimit);
    std::uint64_t nextStartNumber = m_nextStartNumber;
    *this = ConcurrencyLimit {};
    m_limit = limit;
    m_detectedColdStarts = detectedColdStarts + 1;
    m_nextStartNumber = nextStartNumber;
    m_changedAtStartNumber = nextStartNumber;
}

bool ConcurrencyLimit::isConfirmed() const
{
    return !m_slowStart && m_windowsSinceCongestion < windowsUntilUnconfirmed;
}

/**
 * Calls in excess of what the backend server handled without congestion may wait in its own queue,
 * so the expected queueing time is allowed on top.
 */
bool ConcurrencyLimit::isDegraded(const WorkSample &sample, double ownSeconds,
                                  const RouteTimes &times) const
{
    if (sample.outcome != WorkOutcome::Completed)
        return true;
    if (times.samples < samplesToLearnRoute)
        return false;
    double excess = sample.inFlightAtStart / std::max(1.0, m_uncongestedInFlight) - 1;
    double expectedSlotSeconds = times.base + inSeconds(sample.downstreamWait);
    double queuedSeconds = queueAllowance * expectedSlotSeconds * std::max(0.0, excess);
    return ownSeconds > degradedRatio * times.base + queuedSeconds;
}

void ConcurrencyLimit::changeLimit(int limit)
{
    m_limit = std::clamp(limit, minimumLimit, maximumLimit);
    m_changedAtStartNumber = m_nextStartNumber;
}

bool ConcurrencyLimit::recordRecent(bool degraded)
{
    m_recentDegraded = ((m_recentDegraded << 1) | (degraded ? 1u : 0u)) & recentMask;
    return std::popcount(m_recentDegraded) >= degradedOfRecent;
}

int ConcurrencyLimit::windowLength() const
{
    return std::clamp(2 * m_limit, shortestWindow, longestWindow);
}

void ConcurrencyLimit::onSample(const WorkSample &sample)
{
    double ownSeconds = inSeconds(sample.slotTime - sample.downstreamWait);
    auto found = m_routes.find(sample.route);
    if (found == m_routes.end())
        found = m_routes.emplace(std::string(sample.route), RouteTimes {}).first;
    RouteTimes &times = found->second;
    bool completed = sample.outcome == WorkOutcome::Completed;
    if (recordRecent(isDegraded(sample, ownSeconds, times))) {
        reset();
        return;
    }
    if (completed)
        updateBaseTime(sample, ownSeconds, times);
    if (sample.startNumber < m_changedAtStartNumber)
        return;
    if (!completed) {
        ++m_windowUncompletedSamples;
    } else {
        m_windowSlotSeconds += inSeconds(sample.slotTime);
        m_windowExpectedSeconds += times.base + inSeconds(sample.downstreamWait);
    }
    ++m_windowSamples;
    m_windowInFlight += sample.inFlightAtStart;
    if (sample.inFlightAtStart >= busyFraction * m_limit)
        ++m_windowBusySamples;
    if (m_windowSamples >= windowLength())
        closeWindow();
}

/**
 * After the first samples of a route, only samples at low concurrency are used: at high concurrency
 * the backend server's own queue would raise the base time.
 */
void ConcurrencyLimit::updateBaseTime(const WorkSample &sample, double ownSeconds,
                                      RouteTimes &times) const
{
    bool isLow =
        m_probing || m_limit <= lowLimit || sample.inFlightAtStart <= lowFraction * m_limit;
    if (times.samples >= samplesToLearnRoute && !isLow)
        return;
    ++times.samples;
    times.base += std::max(1.0 / times.samples, baseSmoothing) * (ownSeconds - times.base);
}

void ConcurrencyLimit::closeWindow()
{
    double ratio = m_windowExpectedSeconds > 0 ? m_windowSlotSeconds / m_windowExpectedSeconds : 1;
    bool busy = 2 * m_windowBusySamples >= m_windowSamples;
    if (m_windowUncompletedSamples > 0)
        ratio = std::max(ratio, congestedRatio / minimumCutFactor);
    if (ratio < uncongestedRatio)
        m_uncongestedInFlight = std::max(m_uncongestedInFlight, m_windowInFlight / m_windowSamples);
    m_windowsSinceCongestion = ratio > congestedRatio ? 0 : m_windowsSinceCongestion + 1;
    if (m_probing) {
        m_probing = false;
        changeLimit(m_limitBeforeProbe);
    } else if (ratio > congestedRatio || busy) {
        adjustLimit(ratio);
    }
    m_windowSlotSeconds = m_windowExpectedSeconds = 0;
    m_windowInFlight = 0;
    m_windowSamples = m_windowBusySamples = m_windowUncompletedSamples = 0;
}

void ConcurrencyLimit::adjustLimit(double ratio)
{
    if (ratio > congestedRatio) {
        m_slowStart = false;
        double cut = std::max(minimumCutFactor, congestedRatio / ratio);
        changeLimit(static_cast<int>(m_limit * cut));
        return;
    }
    int divisor = ratio < uncongestedRatio ? uncongestedGrowthDivisor : growthDivisor;
    int growth = m_slowStart ? m_limit : std::max(1, m_limit / divisor);
    changeLimit(m_limit + growth);
    if (++m_windowsSinceProbe >= windowsBetweenProbes) {
        m_windowsSinceProbe = 0;
        m_probing = true;
        m_limitBeforeProbe = m_limit;
        changeLimit(static_cast<int>(m_limit * probeFraction));
    }
}

} // namespace ibiswell
