#include "ibiswell/core/error.h"

#include <array>

namespace ibiswell {

namespace {

using E = Execution;
using R = Rechoice;

constexpr std::array table {
    ErrorAnswer {ErrorKind::BadRequest, "bad-request", 400, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::BodyTooLarge, "body-too-large", 413, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::UnknownRoute, "unknown-route", 404, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::KeyMissing, "key-missing", 401, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::KeyRejected, "key-rejected", 403, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::RateExceeded, "rate-exceeded", 429, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::RateUnconfirmed, "rate-unconfirmed", 503, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::PathOverloaded, "path-overloaded", 503, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::TargetOverloaded, "target-overloaded", 503, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::QueueFull, "queue-full", 503, E::NotRun, R::Free},
    ErrorAnswer {ErrorKind::DeadlineTooShort, "deadline-too-short", 504, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::DepthExceeded, "depth-exceeded", 508, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::TargetLeaving, "target-leaving", 503, E::NotRun, R::Free},
    ErrorAnswer {ErrorKind::TargetCold, "target-cold", 503, E::NotRun, R::Free},
    ErrorAnswer {ErrorKind::TargetReplaced, "target-replaced", 503, E::NotRun, R::FromBudget},
    ErrorAnswer {ErrorKind::ZoneOut, "zone-out", 503, E::NotRun, R::Free},
    ErrorAnswer {ErrorKind::NoTarget, "no-target", 503, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::NodeNotReady, "node-not-ready", 503, E::NotRun, R::Free},
    ErrorAnswer {ErrorKind::NodeStopping, "node-stopping", 503, E::NotRun, R::Free},
    ErrorAnswer {ErrorKind::ConnectFailed, "connect-failed", 502, E::NotRun, R::Free},
    ErrorAnswer {ErrorKind::DuplicateInFlight, "duplicate-in-flight", 409, E::Unknown, R::Never},
    ErrorAnswer {ErrorKind::OutcomeUnknown, "outcome-unknown", 502, E::Unknown, R::Never},
    ErrorAnswer {ErrorKind::KeyOwnerUnknown, "key-owner-unknown", 503, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::KeyMemoryFull, "key-memory-full", 503, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, E::Unknown, R::Never},
    ErrorAnswer {ErrorKind::Cancelled, "cancelled", 499, E::Unknown, R::Never},
    ErrorAnswer {ErrorKind::ConnectionLost, "connection-lost", 502, E::Unknown, R::FromBudget},
    ErrorAnswer {ErrorKind::AnswerTruncated, "answer-truncated", 502, E::Unknown, R::FromBudget},
    ErrorAnswer {ErrorKind::BackendShed, "backend-shed", 503, E::Unknown, R::FromBudget},
    ErrorAnswer {ErrorKind::InvalidSetting, "invalid-setting", 400, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::InvalidPolicy, "invalid-policy", 400, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::VersionConflict, "version-conflict", 409, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::PlatformUnavailable, "platform-unavailable", 503, E::Unknown, R::Never},
    ErrorAnswer {ErrorKind::NotPermitted, "not-permitted", 403, E::NotRun, R::Never},
    ErrorAnswer {ErrorKind::MalformedMessage, "malformed-message", 400, E::NotRun, R::Never},
};

constexpr bool inEnumerationOrder()
{
    for (std::size_t i = 0; i < table.size(); ++i) {
        if (static_cast<std::size_t>(table[i].kind) != i)
            return false;
    }
    return true;
}
static_assert(inEnumerationOrder());
static_assert(table.size() == static_cast<std::size_t>(ErrorKind::MalformedMessage) + 1);

} // namespace

std::span<const ErrorAnswer> errorTable()
{
    return table;
}

const ErrorAnswer &answerFor(ErrorKind kind)
{
    return table[static_cast<std::size_t>(kind)];
}

std::string_view toString(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not-run";
    case Execution::Unknown:
        return "unknown";
    case Execution::Run:
        return "run";
    }
    return "unknown";
}

} // namespace ibiswell
