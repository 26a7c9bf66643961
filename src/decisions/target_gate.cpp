#include "ibiswell/decisions/target_gate.h"

#include <fmt/format.h>

namespace ibiswell {

bool TargetGate::isStale(const TargetReport &report) const
{
    if (m_instance.empty())
        return false;
    if (report.startedAtMs != m_startedAtMs)
        return report.startedAtMs < m_startedAtMs;
    return report.instance == m_instance && report.sequence <= m_sequence;
}

ReportOutcome TargetGate::onReport(TimePoint now, const TargetReport &report)
{
    if (report.service != m_service)
        return ReportOutcome::OtherService;
    if (isStale(report))
        return ReportOutcome::Stale;
    bool isSameStart = report.instance == m_instance && report.startedAtMs == m_startedAtMs;
    bool isAlreadyLeaving = isSameStart && m_state == State::Leaving;
    State before = m_state;
    if (!isSameStart)
        m_statedRate.reset();
    m_instance = report.instance;
    m_startedAtMs = report.startedAtMs;
    m_sequence = report.sequence;
    m_slots = report.slots;
    m_coldUntil = now + report.remainingWarmup;
    m_coldUntilReport = false;
    m_state = report.draining || isAlreadyLeaving ? State::Leaving : State::Open;
    if (m_state == before)
        return ReportOutcome::Refreshed;
    return m_state == State::Open ? ReportOutcome::Opened : ReportOutcome::Closed;
}

bool TargetGate::onDeparture(const std::string &instance)
{
    if (!m_instance.empty() && instance != m_instance)
        return false;
    m_instance = instance;
    m_state = State::Leaving;
    return true;
}

void TargetGate::onStatement(const TargetStatement &statement)
{
    m_statedRate = statement.requestsPerSecond;
    if (statement.leaving)
        m_state = State::Leaving;
}

void TargetGate::onUnreachable()
{
    if (m_state == State::Open)
        m_state = State::Unreachable;
}

std::optional<Refusal> TargetGate::refusal() const
{
    auto closed = [](std::string detail) {
        return Refusal {ErrorKind::TargetLeaving, std::move(detail), Execution::NotRun};
    };
    switch (m_state) {
    case State::Open:
        return std::nullopt;
    case State::Unknown:
        return closed("the backend server has not reported yet");
    case State::Leaving:
        return closed(fmt::format("backend server {} is leaving", m_instance));
    case State::Unreachable:
        return closed(fmt::format("backend server {} could not be reached", m_instance));
    }
    return closed("the state of the backend server is not known");
}

} // namespace ibiswell
