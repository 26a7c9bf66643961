#pragma once

#include "ibiswell/core/dialect.h"
#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/**
 * What a backend server answers when a node asks whether it takes work. Reports may be older than
 * the node's process, and what former processes knew ended with them; an answer to a question of
 * this process is neither.
 */
namespace ibiswell {

/** Asks one start of a backend server for its state. */
struct TargetQuestion
{
    std::string instance;
    std::int64_t startedAtMs = 0; ///< As it reported, in Unix milliseconds.

    bool operator==(const TargetQuestion &) const = default;
};

/** It takes work. */
struct TargetReady
{
    Duration remainingWarmup {}; ///< How much longer it stays cold.
    std::optional<double> requestsPerSecond; ///< That it takes from the whole fleet, if stated.
};
/** It answered and takes no new work any more. */
struct TargetLeaving
{
};
/** No connection could be made, or another instance answered. */
struct TargetAbsent
{
};
/** There was no sound response in time, or one that leaves open whether it leaves. */
struct TargetUndecided
{
};

using TargetAnswer = std::variant<TargetReady, TargetLeaving, TargetAbsent, TargetUndecided>;

/** Reads the result of a health check that asked @p question. */
TargetAnswer readTargetAnswer(const HeaderNames &names, const TargetQuestion &question,
                              const CallResult &result);

/** Time from an undecided answer, the @p count th of a question, to the next try. */
Duration targetQuestionRetryDelay(int count);

} // namespace ibiswell
