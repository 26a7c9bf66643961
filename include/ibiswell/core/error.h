#pragma once

#include <span>
#include <string>
#include <string_view>

namespace ibiswell {

/** All error kinds. errorTable() maps each one to its response. */
enum class ErrorKind {
    BadRequest,
    BodyTooLarge,
    UnknownRoute,
    KeyMissing,
    KeyRejected,
    RateExceeded,
    RateUnconfirmed,
    PathOverloaded,
    TargetOverloaded,
    QueueFull,
    DeadlineTooShort,
    DepthExceeded,
    TargetLeaving,
    TargetCold,
    TargetReplaced,
    ZoneOut,
    NoTarget,
    NodeNotReady,
    NodeStopping,
    ConnectFailed,
    DuplicateInFlight,
    OutcomeUnknown,
    KeyOwnerUnknown,
    KeyMemoryFull,
    DeadlineExceeded,
    Cancelled,
    ConnectionLost,
    ResponseTruncated,
    BackendShed,
    InvalidSetting,
    InvalidPolicy,
    VersionConflict,
    PlatformUnavailable,
    NotPermitted,
    MalformedMessage,
};

/** Whether the request of a call was executed by a backend server. */
enum class Execution {
    NotRun, ///< No byte of the request reached a backend server. Reported only when certain.
    Unknown, ///< The request may have run.
    Run, ///< The backend server sent a complete response.
};

/** Whether a node may choose another target after an error. */
enum class Rechoice {
    Never, ///< Every target would respond alike, or the request may have run.
    Free, ///< The reason is local to this target; choosing another one costs no retry.
    FromBudget, ///< Allowed if the retry budget of the call tree is not used up.
};

/**
 * How an error kind is reported to callers, the same at every front, and whether a node may choose
 * another target after it.
 */
struct ErrorResponse
{
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    Execution execution;
    Rechoice rechoice;
};

/** An error with a human-readable description of its cause. */
struct Error
{
    ErrorKind kind = ErrorKind::BadRequest;
    std::string detail;
};

/** One row for each error kind, in the order of ErrorKind. */
std::span<const ErrorResponse> errorTable();

/** The row of errorTable() for @p kind. */
const ErrorResponse &responseFor(ErrorKind kind);

std::string_view toString(Execution execution);

} // namespace ibiswell
