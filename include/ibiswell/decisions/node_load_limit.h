#pragma once

#include "ibiswell/core/time.h"

#include <optional>

namespace ibiswell {

/**
 * Limits the calls in flight at the backend server by what the processor of its node can carry.
 *
 * It guards against a backend server with more slots than its node can serve. Each call in flight
 * there may make downstream calls through the same node, so that a node at the limit of its
 * processor slows all of them down until they miss their deadlines. The time that events wait for
 * their handlers shows it: the limit falls in proportion while they wait too long and rises slowly
 * while they do not.
 */
class NodeLoadLimit
{
public:
    /**
     * Records how long an event waited for its handler.
     *
     * @param inFlight calls in flight at the backend server.
     * @param slots calls that it runs at once; the limit never exceeds them.
     */
    void onEventDelay(TimePoint now, Duration delay, int inFlight, int slots);

    /** Maximum number of calls in flight; nothing while the processor is not the bottleneck. */
    std::optional<int> limit() const;

private:
    void lower(Duration delay, int inFlight, int slots);
    void raise(int inFlight, int slots);

    std::optional<double> m_limit;
    std::optional<Duration> m_lowestDelay; ///< Since the last adjustment.
    TimePoint m_adjustedAt;
};

} // namespace ibiswell
