#pragma once

#include "ibiswell/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ibiswell {

/** Priority classes, the most important first. Lower classes are shed first. */
enum class PriorityClass : std::uint8_t { Critical, Important, Normal, Bulk };

inline constexpr std::size_t priorityClassCount = 4;

std::string_view toString(PriorityClass priority);

/** The class with that name, or nothing. */
std::optional<PriorityClass> priorityFromString(std::string_view name);

/**
 * What a call carries along its call tree. The tenant key is not part of it: nodes pass on the
 * team, never the key.
 */
struct CallContext
{
    std::string requestId;
    std::string team; ///< Empty on open routes.
    PriorityClass priority = PriorityClass::Normal;
    /**
     * Drawn once in [0, 1) for the whole call tree. A node admits a request when the draw is
     * below the admitted fraction, so that all nodes shed the same requests and no work done
     * elsewhere in the tree is wasted.
     */
    double admissionDraw = 0;
    /** The smallest fraction that admitted this call so far; one call stands for 1/fraction. */
    double admittedFraction = 1;
    Duration remainingTime {}; ///< Until the deadline, as seen by the sender.
    std::uint8_t depth = 0; ///< Hops below the entry node.
    std::uint8_t attempt = 1; ///< 1 for the first attempt.
    std::uint8_t remainingRetries =
        0; ///< Part of the call tree's retry budget handed to this call.
    std::string callerService {}; ///< Service of the VM on which the call began.
    /** Holds work done above it in a tree that is not known: only a full queue refuses it. */
    bool unsheddable = false;
};

/** What a target's node says about its load, carried on each answer. */
struct LoadReport
{
    /** Fraction of this team's requests of this class that the whole remaining path takes. */
    double pathFraction = 1;
    std::uint32_t inFlight = 0; ///< Calls at the backend server.
    std::uint32_t queued = 0; ///< Calls that wait for a slot.
    std::uint32_t limit = 1; ///< Learned concurrency limit.
    Duration serviceTime {}; ///< Typical time that a call holds a slot.
};

} // namespace ibiswell
