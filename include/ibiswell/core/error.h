#pragma once

#include <span>
#include <string>
#include <string_view>

namespace ibiswell {

/** The closed list of error kinds. errorTable() maps each one to its answer. */
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
    AnswerTruncated,
    BackendShed,
    InvalidSetting,
    InvalidPolicy,
    VersionConflict,
    PlatformUnavailable,
    NotPermitted,
    MalformedMessage,
};

/** What an answer says about the execution of the request at a backend server. */
enum class Execution {
    NotRun, ///< No byte of the request reached a backend server. Stated only when certain.
    Unknown, ///< The request may have run.
    Run, ///< The backend server gave the whole answer.
};

/** Whether a node may choose another target after an error. */
enum class Rechoice {
    Never, ///< Another target would answer the same, or the request may have run.
    Free, ///< The target refused for itself alone; another choice costs no retry.
    FromBudget, ///< Allowed when the call tree has a retry left.
};

/** The answer to one error kind, the same at each front end. */
struct ErrorResponse
{
    ErrorKind kind;
    std::string_view name;
    int httpStatus;
    Execution execution;
    Rechoice rechoice;
};

/** An error with the text that tells its cause to a person. */
struct Error
{
    ErrorKind kind = ErrorKind::BadRequest;
    std::string detail;
};

/** All kinds, in the order of the enumeration. */
std::span<const ErrorResponse> errorTable();

/** The row of errorTable() for @p kind. */
const ErrorResponse &responseFor(ErrorKind kind);

std::string_view toString(Execution execution);

} // namespace ibiswell
