#pragma once

#include "ibiswell/transport/operator_session.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ibiswell {

/** Exit codes of the operator's command. */
enum ExitCode {
    Ok = 0,
    Failed = 1,
    UsageError = 2,
    InvalidInput = 3,
    Unreachable = 4,
    Conflict = 5,
    RolloutIncomplete = 6
};

/** What an operator's command line holds. */
struct Arguments
{
    std::vector<std::string> words;
    std::string platform = "127.0.0.1:7000";
    std::string node = "127.0.0.1:8101";
    std::string token;
    std::string reason;
    std::string appliesTo;
    std::string set;
    std::string team;
    double waitSeconds = 14;
    bool asJson = false;
};

/** One command; returns its exit code. */
using Command = std::function<int(OperatorSession &session, const Arguments &arguments)>;

struct CommandEntry
{
    std::size_t wordCount; ///< Of the command with its arguments.
    Command run;
};

/** The command that the words begin with, or null. */
const CommandEntry *findCommand(const std::vector<std::string> &words);

/** Says what is wrong with the command line. */
int reportUsageError(std::string_view text);

} // namespace ibiswell
