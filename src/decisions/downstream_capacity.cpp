#include "ibiswell/decisions/downstream_capacity.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** Without failures for so long, the own outcomes tell nothing of the present. */
constexpr Duration failureMemory = 5s;

} // namespace

void DownstreamCapacity::onEnd(TimePoint now, bool lackedCapacity)
{
    if (lackedCapacity)
        m_own.onFailure(now);
    else
        m_own.onSuccess(now);
    m_own.adjust(now);
}

void DownstreamCapacity::onStatement(TimePoint now, const std::string &service, double fraction)
{
    m_statements[service].state(now, fraction);
}

double DownstreamCapacity::fraction(TimePoint now) const
{
    double least = now - m_own.lastFailureAt() < failureMemory ? m_own.value() : 1;
    for (const auto &[service, statement] : m_statements)
        least = std::min(least, m_callsPerRun.weigh(now, service, statement.value(now)));
    return least;
}

} // namespace ibiswell
