#include "ibiswell/decisions/concurrency_limit.h"

#include <algorithm>
#include <bit>

namespace ibiswell {

namespace {

constexpr int samplesToLearnRoute = 8;
constexpr int shortestWindow = 6;
constexpr int longestWindow = 64;
constexpr double congestedRatio = 1.25; // time held against the time at low concurrency
constexpr int restartDivisor = 8; // of the limit, when a cold start is noticed
constexpr double deepestCut = 0.7;
constexpr double busyShare = 0.8; // of the limit, for a sample to count as busy
constexpr double lowShare = 0.5; // of the limit, for a sample to tell the base time
constexpr int fewCalls = 2; // at so low a limit each sample tells the base time
constexpr double baseSmoothing = 0.02;
constexpr int windowsBetweenProbes = 100;
constexpr double probeShare = 0.5; // of the limit, while the base time is measured again
constexpr double coldRatio = 4; // own time against base that marks an answer as bad
constexpr double queueAllowance = 2; // times what the excess of calls would wait
constexpr std::uint32_t recentMask = 0xff; // the last eight samples
constexpr int badOfRecent = 6;
constexpr int growthDivisor = 20;
constexpr int windowsUntilUnfelt = 30;
constexpr double easyRatio = 1.1; // far from the knee: grow faster
constexpr int easyGrowthDivisor = 4;

} // namespace

Duration ConcurrencyLimit::baseTime(std::string_view route) const
{
    auto found = m_routes.find(route);
    return found == m_routes.end() ? Duration {} : fromSeconds(found->second.base);
}

void ConcurrencyLimit::reset()
{
    std::uint64_t detectedColdStarts = m_detectedColdStarts;
    int limit = std::clamp(m_limit / restartDivisor, minimumLimit, initialLimit);
    std::uint64_t nextStart = m_nextStartNumber;
    *this = ConcurrencyLimit {};
    m_limit = limit;
    m_detectedColdStarts = detectedColdStarts + 1;
    m_nextStartNumber = nextStart;
    m_changedAtStartNumber = nextStart;
}

bool ConcurrencyLimit::isConfirmed() const
{
    return !m_slowStart && m_windowsSinceCongestion < windowsUntilUnfelt;
}

/** Work beyond the calls that were borne before may wait in the server's own queue. */
bool ConcurrencyLimit::isDegraded(const WorkSample &sample, double own,
                                  const RouteTimes &times) const
{
    if (sample.outcome != WorkOutcome::Completed)
        return true;
    if (times.samples < samplesToLearnRoute)
        return false;
    double beyond = sample.inFlightAtStart / std::max(1.0, m_uncongestedInFlight) - 1;
    double held = times.base + inSeconds(sample.downstreamWait);
    double queued = queueAllowance * held * std::max(0.0, beyond);
    return own > coldRatio * times.base + queued;
}

void ConcurrencyLimit::changeLimit(int limit)
{
    m_limit = std::clamp(limit, minimumLimit, maximumLimit);
    m_changedAtStartNumber = m_nextStartNumber;
}

bool ConcurrencyLimit::recordRecent(bool bad)
{
    m_recentDegraded = ((m_recentDegraded << 1) | (bad ? 1u : 0u)) & recentMask;
    return std::popcount(m_recentDegraded) >= badOfRecent;
}

int ConcurrencyLimit::windowLength() const
{
    return std::clamp(2 * m_limit, shortestWindow, longestWindow);
}

void ConcurrencyLimit::onSample(const WorkSample &sample)
{
    double own = inSeconds(sample.slotTime - sample.downstreamWait);
    auto found = m_routes.find(sample.route);
    if (found == m_routes.end())
        found = m_routes.emplace(std::string(sample.route), RouteTimes {}).first;
    RouteTimes &times = found->second;
    bool completed = sample.outcome == WorkOutcome::Completed;
    if (recordRecent(isDegraded(sample, own, times))) {
        reset();
        return;
    }
    if (completed)
        updateBaseTime(sample, own, times);
    if (sample.startNumber < m_changedAtStartNumber)
        return;
    if (!completed) {
        ++m_windowShedSamples;
    } else {
        m_windowHeldSeconds += inSeconds(sample.slotTime);
        m_windowExpectedSeconds += times.base + inSeconds(sample.downstreamWait);
    }
    ++m_windowSamples;
    m_windowInFlight += sample.inFlightAtStart;
    if (sample.inFlightAtStart >= busyShare * m_limit)
        ++m_windowBusySamples;
    if (m_windowSamples >= windowLength())
        closeWindow();
}

/** Only samples at low concurrency tell the base time; a busy server's own queue would raise it. */
void ConcurrencyLimit::updateBaseTime(const WorkSample &sample, double own, RouteTimes &times) const
{
    bool low = m_probing || m_limit <= fewCalls || sample.inFlightAtStart <= lowShare * m_limit;
    if (times.samples >= samplesToLearnRoute && !low)
        return;
    ++times.samples;
    times.base += std::max(1.0 / times.samples, baseSmoothing) * (own - times.base);
}

void ConcurrencyLimit::closeWindow()
{
    double ratio = m_windowExpectedSeconds > 0 ? m_windowHeldSeconds / m_windowExpectedSeconds : 1;
    bool busy = 2 * m_windowBusySamples >= m_windowSamples;
    if (m_windowShedSamples > 0)
        ratio = std::max(ratio, congestedRatio / deepestCut);
    if (ratio < easyRatio)
        m_uncongestedInFlight = std::max(m_uncongestedInFlight, m_windowInFlight / m_windowSamples);
    m_windowsSinceCongestion = ratio > congestedRatio ? 0 : m_windowsSinceCongestion + 1;
    if (m_probing) {
        m_probing = false;
        changeLimit(m_limitBeforeProbe);
    } else if (ratio > congestedRatio || busy) {
        adjust(ratio);
    }
    m_windowHeldSeconds = m_windowExpectedSeconds = 0;
    m_windowInFlight = 0;
    m_windowSamples = m_windowBusySamples = m_windowShedSamples = 0;
}

void ConcurrencyLimit::adjust(double ratio)
{
    if (ratio > congestedRatio) {
        m_slowStart = false;
        double cut = std::max(deepestCut, congestedRatio / ratio);
        changeLimit(static_cast<int>(m_limit * cut));
        return;
    }
    int divisor = ratio < easyRatio ? easyGrowthDivisor : growthDivisor;
    int growth = m_slowStart ? m_limit : std::max(1, m_limit / divisor);
    changeLimit(m_limit + growth);
    if (++m_windowsSinceProbe >= windowsBetweenProbes) {
        m_windowsSinceProbe = 0;
        m_probing = true;
        m_limitBeforeProbe = m_limit;
        changeLimit(static_cast<int>(m_limit * probeShare));
    }
}

} // namespace ibiswell
