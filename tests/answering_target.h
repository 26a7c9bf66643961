#pragma once

#include "ibiswell/decisions/target_gate.h"

namespace ibiswell::test {

/**
 * Passes a report to a gate and, when that raises a question, the answer of a backend server that
 * is as it reported. Returns the effect of both.
 */
inline ReportOutcome reportAndAnswer(TargetGate &gate, TimePoint now, const TargetReport &report)
{
    bool wasOpen = gate.isOpen();
    ReportOutcome outcome = gate.onReport(now, report);
    std::optional<TargetQuestion> question = gate.question();
    if (!question)
        return outcome;
    gate.onAnswer(now, *question, TargetReady {report.remainingWarmup, std::nullopt});
    if (!gate.isOpen())
        return outcome;
    return wasOpen ? ReportOutcome::Refreshed : ReportOutcome::Opened;
}

} // namespace ibiswell::test
