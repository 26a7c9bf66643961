#pragma once

#include "ibiswell/transport/operator_session.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ibiswell {

/** Exit codes of the operator's command line tool. */
enum ExitCode {
    Ok = 0,
    Failed = 1,
    UsageError = 2,
    InvalidInput = 3,
    Unreachable = 4,
    Conflict = 5,
    RolloutIncomplete = 6
};

/** A parsed command line. */
struct Arguments
{
    std::vector<std::string> words; ///< The words of the command, with its arguments.
    std::string platform = "127.0.0.1:7000";
    std::string node = "127.0.0.1:8101";
    std::string token;
    std::string reason;
    std::string appliesTo; ///< Subject of an exception: "route:NAME" or "team:NAME".
    std::string set; ///< The fields that an exception changes, as a JSON object.
    std::string team;
    double waitSeconds = 14; ///< Maximum wait until a change is in force; 0: no wait.
    bool asJson = false;
};

/** Runs a command and returns its exit code. */
using Command = std::function<int(OperatorSession &session, const Arguments &arguments)>;

struct CommandEntry
{
    std::size_t wordCount; ///< Number of words of the command with its arguments.
    Command run;
};

/** Finds the command that the words begin with; null if there is none. */
const CommandEntry *findCommand(const std::vector<std::string> &words);

/** Prints what is wrong with the command line; returns the exit code for that. */
int reportUsageError(std::string_view text);

} // namespace ibiswell
