#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace ibiswell {

/** The call ends with its refusal. */
struct GiveUp
{
    std::string_view reason;
};

/** Choose another target; the first one refused for itself alone and ran nothing. */
struct ChooseAgain
{
};

/** Send again, paid from the call tree's budget. */
struct RetryCall
{
    Duration wait {};
};

using RetryDecision = std::variant<GiveUp, ChooseAgain, RetryCall>;

/** A call that ended in a refusal, as its node sees it. */
struct FailedAttempt
{
    Refusal refusal;
    bool idempotent = false;
    int sends = 1; ///< Attempts made so far, free choices included.
    int retriesLeft = 0; ///< Of the call tree, for this call.
    Duration timeLeft {};
};

/**
 * Decides whether a node sends a call again.
 *
 * Two bounds hold at once. The call tree's budget is conserved: it is handed down and comes back
 * unspent, so the tree never sends more than its budget allows, however deep it is. The node's own
 * allowance is a share of its first attempts, so that a fleet-wide fault does not turn every
 * budget into load. A call that is not idempotent is sent again only when it certainly did not
 * run.
 */
class RetryPolicy
{
public:
    /** Notes a first attempt, which earns a part of a retry. */
    void onFirstAttempt();
    RetryDecision decide(const FailedAttempt &attempt);

private:
    double m_allowance = 25; ///< Retries that the node may still send.
};

/** Divides a call's remaining retries between the call below and those that may follow. */
std::uint8_t retriesForCallBelow(std::uint8_t retriesLeft);

} // namespace ibiswell
