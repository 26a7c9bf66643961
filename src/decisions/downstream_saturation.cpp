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

void DownstreamSaturation::onSaturated(TimePoint now, const std::string &service)
{
    m_lastAt = now;
    m_service = service;
}

const std::string &DownstreamSaturation::saturatedServiceSince(TimePoint start) const
{
    static const std::string none;
    return m_lastAt >= start && !m_service.empty() ? m_service : none;
}

} // namespace ibiswell
