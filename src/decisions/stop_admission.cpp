#include "ibiswell/decisions/stop_admission.h"

#include <algorithm>

namespace ibiswell {

namespace {

// Smoothing and bound as for the retransmission timeout of TCP (RFC 6298).
constexpr int meanSmoothing = 8;
constexpr int deviationSmoothing = 4;
constexpr int deviations = 4;

/** Callers poll the readiness once a second and stop sending after two failures. */
constexpr Duration callersLearnTime = std::chrono::milliseconds(2500);

Duration absolute(Duration duration)
{
    return duration < Duration::zero() ? -duration : duration;
}

} // namespace

void StopAdmission::onResponse(const std::string &route, Duration latency)
{
    auto [it, isNew] = m_latencies.try_emplace(route, Latency {latency, latency / 2});
    if (isNew)
        return;
    Latency &known = it->second;
    known.deviation += (absolute(latency - known.mean) - known.deviation) / deviationSmoothing;
    known.mean += (latency - known.mean) / meanSmoothing;
}

void StopAdmission::begin(TimePoint now, TimePoint end)
{
    m_stop = Stop {now, end};
}

/** An unknown route may take as long as its deadline allows. */
Duration StopAdmission::usualLatency(const std::string &route, Duration longest) const
{
    auto found = m_latencies.find(route);
    if (found == m_latencies.end())
        return longest;
    return found->second.mean + deviations * found->second.deviation;
}

bool StopAdmission::admits(TimePoint now, const std::string &route, Duration remainingTime) const
{
    if (!m_stop || now + remainingTime <= m_stop->end)
        return true;
    bool callersMayKnow = now >= m_stop->begin + callersLearnTime;
    return !callersMayKnow && now + usualLatency(route, remainingTime) <= m_stop->end;
}

} // namespace ibiswell
