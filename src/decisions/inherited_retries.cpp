#include "ibiswell/decisions/inherited_retries.h"

#include <algorithm>

namespace ibiswell {

namespace {

/** Below this count of recent calls their mean says little; the share then fades out. */
constexpr double fewCalls = 0.01;

} // namespace

void InheritedRetries::onCall(TimePoint now, double share)
{
    m_calls.add(now, 1);
    m_retries.add(now, std::clamp(share, 0.0, 1.0));
}

double InheritedRetries::share(TimePoint now) const
{
    return m_retries.value(now) / std::max(m_calls.value(now), fewCalls);
}

} // namespace ibiswell
