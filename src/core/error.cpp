#include "ibiswell/core/error.h"

#include <array>

namespace ibiswell {

namespace {

using E = Execution;
using R = Rechoice;

constexpr std::array table {
    ErrorResponse {ErrorKind::BadRequest, "bad-request", 400, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::BodyTooLarge, "body-too-large", 413, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::UnknownRoute, "unknown-route", 404, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::KeyMissing, "key-missing", 401, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::KeyRejected, "key-rejected", 403, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::RateExceeded, "rate-exceeded", 429, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::RateUnconfirmed, "rate-unconfirmed", 503, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::PathOverloaded, "path-overloaded", 503, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::TargetOverloaded, "target-overloaded", 503, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::QueueFull, "queue-full", 503, E::NotRun, R::Free},
    ErrorResponse {ErrorKind::DeadlineTooShort, "deadline-too-short", 504, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::DepthExceeded, "depth-exceeded", 508, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::TargetLeaving, "target-leaving", 503, E::NotRun, R::Free},
    ErrorResponse {ErrorKind::TargetCold, "target-cold", 503, E::NotRun, R::Free},
    ErrorResponse {ErrorKind::TargetReplaced, "target-replaced", 503, E::NotRun, R::FromBudget},
    ErrorResponse {ErrorKind::ZoneOut, "zone-out", 503, E::NotRun, R::Free},
    ErrorResponse {ErrorKind::NoTarget, "no-target", 503, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::NodeNotReady, "node-not-ready", 503, E::NotRun, R::Free},
    ErrorResponse {ErrorKind::NodeStopping, "node-stopping", 503, E::NotRun, R::Free},
    ErrorResponse {ErrorKind::ConnectFailed, "connect-failed", 502, E::NotRun, R::Free},
    ErrorResponse {ErrorKind::DuplicateInFlight, "duplicate-in-flight", 409, E::Unknown, R::Never},
    ErrorResponse {ErrorKind::OutcomeUnknown, "outcome-unknown", 502, E::Unknown, R::Never},
    ErrorResponse {ErrorKind::KeyOwnerUnknown, "key-owner-unknown", 503, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::KeyMemoryFull, "key-memory-full", 503, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, E::Unknown, R::Never},
    ErrorResponse {ErrorKind::Cancelled, "cancelled", 499, E::Unknown, R::Never},
    ErrorResponse {ErrorKind::ConnectionLost, "connection-lost", 502, E::Unknown, R::FromBudget},
    ErrorResponse {ErrorKind::ResponseTruncated, "answer-truncated", 502, E::Unknown,
                   R::FromBudget},
    ErrorResponse {ErrorKind::BackendShed, "backend-shed", 503, E::Unknown, R::FromBudget},
    ErrorResponse {ErrorKind::InvalidSetting, "invalid-setting", 400, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::InvalidPolicy, "invalid-policy", 400, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::VersionConflict, "version-conflict", 409, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::PlatformUnavailable, "platform-unavailable", 503, E::Unknown,
                   R::Never},
    ErrorResponse {ErrorKind::NotPermitted, "not-permitted", 403, E::NotRun, R::Never},
    ErrorResponse {ErrorKind::MalformedMessage, "malformed-message", 400, E::NotRun, R::Never},
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

std::span<const ErrorResponse> errorTable()
{
    return table;
}

const ErrorResponse &responseFor(ErrorKind kind)
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
