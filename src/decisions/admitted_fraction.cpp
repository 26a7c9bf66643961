#include "ibiswell/decisions/admitted_fraction.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration adjustInterval = 100ms;
constexpr Duration adjustmentTime = 200ms; // time constant of the changes
/** Admitted for each that succeeds; above 1, so that regained capacity is detected. */
constexpr double admittedPerSuccess = 1.1;
constexpr Duration calmPeriod = 300ms; // without a sign of a failure
constexpr int calmSuccesses = 5;
constexpr double priorSuccesses = 2; // added as successes, so that one outcome weighs little
constexpr double minimumValue = 0.12; // keeps probing for capacity

} // namespace

void AdmittedFraction::onSuccess(TimePoint now)
{
    m_succeeded.add(now, 1);
    ++m_successesInARow;
}

void AdmittedFraction::onFailure(TimePoint now)
{
    m_failed.add(now, 1);
    m_successesInARow = 0;
    m_lastFailureAt = now;
    m_lastSignAt = now;
}

void AdmittedFraction::adjust(TimePoint now)
{
    if (now - m_adjustedAt < adjustInterval)
        return;
    m_adjustedAt = now;
    double succeeded = m_succeeded.value(now) + priorSuccesses;
    double successRate = succeeded / (succeeded + m_failed.value(now));
    bool isCalm = now - m_lastSignAt > calmPeriod && m_successesInARow >= calmSuccesses;
    double change = (isCalm ? m_admittedWhenCalm : admittedPerSuccess) * successRate - 1;
    m_value *= 1 + change * inSeconds(adjustInterval) / inSeconds(adjustmentTime);
    m_value = std::clamp(m_value, minimumValue, 1.0);
}

} // namespace ibiswell
