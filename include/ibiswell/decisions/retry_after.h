#pragma once

#include "ibiswell/core/messages.h"
#include "ibiswell/core/random.h"
#include "ibiswell/core/time.h"

namespace ibiswell {

/**
 * Computes, with jitter, after what delay a caller whose request did not run may send it again.
 *
 * It guards against synchronised retries: when many callers are refused at the same moment, they
 * would all retry at the same moment. The delays are spread over the first part of the remaining
 * time, so that each retry finds capacity and can still be served in time. If the refusal itself
 * states a delay, that delay is the minimum, as far as the remaining time allows.
 */
Duration computeRetryAfter(const Refusal &refusal, Duration remainingTime, Random &random);

} // namespace ibiswell
