#include "ibiswell/decisions/concurrency_limit.h"

#include <algorithm>
#include <bit>

namespace ibiswell {

namespace {

constexpr int samplesToLearnRoute = 8;
constexpr int shortestWindow = 16;
constexpr int longestWindow = 64;
constexpr double congestedRatio = 1.5; // own time against the time at low concurrency
constexpr double deepestCut = 0.7;
constexpr double busyShare = 0.8; // of the limit, for a sample to count as busy
constexpr int windowsBetweenProbes = 100;
constexpr double probeShare = 0.6; // of the limit, while the base time is measured again
constexpr double coldRatio = 4; // own time against base that marks an answer as bad
constexpr std::uint32_t recentMask = 0xff; // the last eight samples
constexpr int badOfRecent = 6;
constexpr double growthDivisor = 20;

} // namespace

Duration ConcurrencyLimit::baseTime(std::string_view route) const
{
    auto found = m_routes.find(route);
    return found == m_routes.end() ? Duration {} : fromSeconds(found->second.base);
}

void ConcurrencyLimit::restart()
{
    std::uint64_t restarts = m_restarts;
    *this = ConcurrencyLimit {};
    m_restarts = restarts + 1;
}

bool ConcurrencyLimit::noteRecent(bool bad)
{
    m_recentBad = ((m_recentBad << 1) | (bad ? 1u : 0u)) & recentMask;
    return std::popcount(m_recentBad) >= badOfRecent;
}

int ConcurrencyLimit::windowLength() const
{
    return std::clamp(m_limit, shortestWindow, longestWindow);
}

void ConcurrencyLimit::onSample(const WorkSample &sample)
{
    double own = inSeconds(sample.ownTime);
    auto found = m_routes.find(sample.route);
    if (found == m_routes.end())
        found = m_routes.emplace(std::string(sample.route), RouteTimes {}).first;
    RouteTimes &times = found->second;
    bool completed = sample.outcome == WorkOutcome::Completed;
    bool known = times.samples >= samplesToLearnRoute;
    bool slow = completed && known && own > coldRatio * times.base;
    if (noteRecent(slow || !completed)) {
        restart();
        return;
    }
    if (!completed) {
        ++m_windowShed;
    } else if (!known) {
        ++times.samples;
        times.base += (own - times.base) / times.samples;
    } else {
        times.windowSum += own;
        ++times.windowCount;
        m_windowOwn += own;
        m_windowBase += times.base;
    }
    ++m_windowCount;
    if (sample.inFlightAtStart >= busyShare * m_limit)
        ++m_windowBusy;
    if (m_windowCount >= windowLength())
        closeWindow();
}

void ConcurrencyLimit::closeWindow()
{
    double ratio = m_windowBase > 0 ? m_windowOwn / m_windowBase : 1;
    bool busy = 2 * m_windowBusy >= m_windowCount;
    updateBases(m_probing || !busy);
    if (m_windowShed > 0)
        ratio = std::max(ratio, congestedRatio / deepestCut);
    if (m_probing) {
        m_probing = false;
        m_limit = m_limitBeforeProbe;
    } else if (ratio > congestedRatio || busy) {
        adjust(ratio);
    }
    m_windowOwn = m_windowBase = 0;
    m_windowCount = m_windowBusy = m_windowShed = 0;
}

void ConcurrencyLimit::updateBases(bool uncongested)
{
    constexpr int fewestSamples = 8;
    for (auto &[route, times] : m_routes) {
        if (times.windowCount < fewestSamples)
            continue;
        double mean = times.windowSum / times.windowCount;
        if (mean < times.base)
            times.base += 0.3 * (mean - times.base);
        else if (uncongested)
            times.base += 0.1 * (mean - times.base);
        times.windowSum = 0;
        times.windowCount = 0;
    }
}

void ConcurrencyLimit::adjust(double ratio)
{
    if (ratio > congestedRatio) {
        m_warming = false;
        double cut = std::max(deepestCut, congestedRatio / ratio);
        m_limit = std::max(minimumLimit, static_cast<int>(m_limit * cut));
        return;
    }
    int growth = m_warming ? m_limit : std::max(1, static_cast<int>(m_limit / growthDivisor));
    m_limit = std::min(maximumLimit, m_limit + growth);
    if (++m_windowsSinceProbe >= windowsBetweenProbes) {
        m_windowsSinceProbe = 0;
        m_probing = true;
        m_limitBeforeProbe = m_limit;
        m_limit = std::max(minimumLimit, static_cast<int>(m_limit * probeShare));
    }
}

} // namespace ibiswell
