#pragma once

#include "ibiswell/core/messages.h"
#include "ibiswell/core/random.h"
#include "ibiswell/core/time.h"

namespace ibiswell {

/**
 * When a caller whose request did not run may come back.
 *
 * Load that it answers: many callers are refused in one moment and would return in one moment.
 * Their returns are spread over the first part of the time that they have left, so that each finds
 * room and still has time to be served. A refusal that states a time itself keeps it as the least.
 */
Duration returnAfter(const Refusal &refusal, Duration remainingTime, Random &random);

} // namespace ibiswell
