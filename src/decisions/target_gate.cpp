#include "ibiswell/decisions/target_gate.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** A report that arrives sooner after an event may have been sent before it. */
constexpr Duration usualReportDelay = 2s;
/** No report that was sent before a departure arrives later than this after it. */
constexpr Duration maximumReportDelay = 10s;
/** Late reports of a start that has ended arrive together; one that runs reports again. */
constexpr Duration contenderConfirmationTime = 1s;

} // namespace

bool TargetGate::isKnownStart(const TargetReport &report) const
{
    return report.instance == m_instance && report.startedAtMs == m_startedAtMs;
}

bool TargetGate::isFromBeforeDeparture(TimePoint now, const TargetReport &report) const
{
    if (!m_departure || report.instance != m_departure->instance)
        return false;
    bool isOtherStart =
        m_departure->assumedStartMs.value_or(report.startedAtMs) != report.startedAtMs;
    return !isOtherStart && now < m_departure->at + maximumReportDelay;
}

bool TargetGate::hasLeft(TimePoint now, const TargetReport &report) const
{
    if (m_state != State::Leaving)
        return false;
    // It was taken for the start that left, and reports on: it is another one.
    bool isAssumed = m_departure && report.instance == m_departure->instance;
    return !isAssumed || isFromBeforeDeparture(now, report);
}

bool TargetGate::replacesKnownStart(TimePoint now, const TargetReport &report)
{
    if (m_state == State::Unreachable)
        return true; // the known start has ended
    bool isRepeated = m_contender && m_contender->instance == report.instance
        && m_contender->startedAtMs == report.startedAtMs;
    if (!isRepeated) {
        m_contender = Contender {report.instance, report.startedAtMs, report.sequence, now};
        // Whoever is told that it leaves must not get work, should it be the one that runs.
        if (report.draining)
            onUnreachable();
        return false;
    }
    return report.sequence > m_contender->sequence
        && now - m_contender->reportedAt >= contenderConfirmationTime;
}

ReportOutcome TargetGate::onReport(TimePoint now, const TargetReport &report)
{
    if (report.service != m_service)
        return ReportOutcome::OtherService;
    if (isKnownStart(report)) {
        if (report.sequence <= m_sequence)
            return ReportOutcome::Stale;
        return follow(now, report, hasLeft(now, report));
    }
    bool isEarlier = report.startedAtMs < m_startedAtMs;
    if (isEarlier && !replacesKnownStart(now, report))
        return ReportOutcome::Stale;
    bool hasDeparted = isFromBeforeDeparture(now, report);
    if (hasDeparted)
        m_departure->assumedStartMs = report.startedAtMs;
    else
        m_departure.reset();
    m_statedRate.reset();
    m_isConfirmed = false;
    m_answeredColdUntil = {};
    return follow(now, report, hasDeparted);
}

ReportOutcome TargetGate::follow(TimePoint now, const TargetReport &report, bool departed)
{
    State before = m_state;
    m_instance = report.instance;
    m_startedAtMs = report.startedAtMs;
    m_sequence = report.sequence;
    m_contender.reset();
    if (report.draining)
        m_departure.reset();
    m_slots = report.slots;
    m_coldUntil = now + report.remainingWarmup;
    if (m_zoneReturnedAt && now - *m_zoneReturnedAt >= usualReportDelay)
        m_zoneReturnedAt.reset();
    bool isLeaving = report.draining || departed;
    if (before == State::Leaving)
        m_isConfirmed = false; // another start, which was taken for the one that left
    m_state = isLeaving ? State::Leaving : m_isConfirmed ? State::Open : State::Unconfirmed;
    if (m_state == State::Unconfirmed)
        return ReportOutcome::Unconfirmed;
    if (m_state == before)
        return ReportOutcome::Refreshed;
    return m_state == State::Open ? ReportOutcome::Opened : ReportOutcome::Closed;
}

std::optional<TargetQuestion> TargetGate::question() const
{
    if (m_state != State::Unconfirmed)
        return std::nullopt;
    return TargetQuestion {m_instance, m_startedAtMs};
}

void TargetGate::onAnswer(TimePoint now, const TargetQuestion &question, const TargetAnswer &answer)
{
    if (this->question() != question)
        return;
    std::visit([&](const auto &kind) { apply(now, kind); }, answer);
}

void TargetGate::apply(TimePoint now, const TargetReady &answer)
{
    m_state = State::Open;
    m_isConfirmed = true;
    m_statedRate = answer.requestsPerSecond;
    m_answeredColdUntil = now + answer.remainingWarmup;
}

void TargetGate::apply(TimePoint, TargetLeaving)
{
    m_state = State::Leaving;
    m_departure.reset();
}

void TargetGate::apply(TimePoint, TargetAbsent)
{
    m_state = State::Unreachable;
}

bool TargetGate::onDeparture(TimePoint now, const std::string &instance)
{
    bool isStartKnown = instance == m_instance && m_startedAtMs != 0;
    if (!isStartKnown)
        m_departure = Departure {instance, now};
    if (!m_instance.empty() && instance != m_instance)
        return false;
    m_instance = instance;
    m_state = State::Leaving;
    return true;
}

void TargetGate::onStatement(const TargetStatement &statement)
{
    m_statedRate = statement.requestsPerSecond;
    if (!statement.leaving)
        return;
    m_state = State::Leaving;
    m_departure.reset();
}

void TargetGate::setZoneOut(TimePoint now, bool isOut)
{
    if (m_isZoneOut && !isOut)
        m_zoneReturnedAt = now;
    m_isZoneOut = isOut;
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
    case State::Unconfirmed:
        return closed(
            fmt::format("backend server {} has not answered yet that it takes work", m_instance));
    case State::Leaving:
        return closed(fmt::format("backend server {} is leaving", m_instance));
    case State::Unreachable:
        return closed(fmt::format("backend server {} could not be reached", m_instance));
    }
    return closed("the state of the backend server is not known");
}

} // namespace ibiswell
