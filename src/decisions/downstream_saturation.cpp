#include "ibiswell/decisions/downstream_saturation.h"

namespace ibiswell {

bool indicatesSaturation(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::TargetOverloaded:
    case ErrorKind::PathOverloaded:
    case ErrorKind::QueueFull:
    case ErrorKind::DeadlineTooShort:
        return true;
    default:
        return false;
    }
}

void DownstreamSaturation::onSaturated(TimePoint now, const std::string &called,
                                       const std::string &saturated)
{
    m_lastSaturatedAt = now;
    m_lastSaturatedService = saturated;
    if (called == saturated)
        m_calledServiceSaturatedAt = now;
}

bool DownstreamSaturation::wasCalledServiceSaturatedSince(TimePoint start) const
{
    return m_calledServiceSaturatedAt != TimePoint {} && m_calledServiceSaturatedAt >= start;
}

const std::string &DownstreamSaturation::saturatedServiceSince(TimePoint start) const
{
    static const std::string none;
    return m_lastSaturatedAt >= start && !m_lastSaturatedService.empty() ? m_lastSaturatedService
                                                                         : none;
}

} // namespace ibiswell
