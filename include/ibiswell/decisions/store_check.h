#pragma once

#include "ibiswell/core/member.h"
#include "ibiswell/core/time.h"

#include <cstddef>
#include <vector>

/**
 * Which node asks the platform's store whether the fleet still has what the store holds, and when.
 *
 * All nodes together need one response of the store now and then, so the requests must not grow
 * with the fleet. The nodes that watch the store are ranked by a hash, the same on all nodes that
 * know the same members. Each waits longer than those ranked higher before it asks, by the age of
 * the knowledge that the others state: while the first one is answered, no other asks, and when it
 * dies or the store is silent to it, the next ones follow without a message. Whoever was answered
 * tells the other watchers, so that none of them asks because the news of it came late.
 */
namespace ibiswell {

/** Number of @p watchers that come before @p self. */
std::size_t storeCheckRank(const Member &self, const std::vector<const Member *> &watchers);

/** The age of its knowledge (see StoreConfirmation) at which the node with @p rank asks. */
Duration storeCheckAge(std::size_t rank);

/** The lowest of all ages at which a node asks. */
inline constexpr Duration firstStoreCheckAge = std::chrono::seconds(1);
/** A node to which the store did not respond asks again after this time. */
inline constexpr Duration storeCheckRetryDelay = std::chrono::seconds(1);

} // namespace ibiswell
