#pragma once

#include "ibiswell/core/time.h"

namespace ibiswell {

/**
 * Tracks whether a node can still learn that a key was withdrawn.
 *
 * While the platform is down for all nodes, no withdrawal can be accepted, so a node that still
 * receives messages from other nodes may go on serving keyed routes. A node that receives nothing
 * from the platform or from any other node may be the only one that has not learned of a
 * withdrawal, so it must not serve keyed routes. A group of nodes that is partitioned off together
 * cannot distinguish this from an outage of the platform, and goes on serving them.
 */
class ConnectivityMonitor
{
public:
    /** A node that has received nothing from anyone for this long is isolated. */
    static constexpr Duration isolationTimeout = std::chrono::seconds(8);

    void onPeerMessage(TimePoint now) { m_lastPeerMessageAt = now; }
    void onPlatformResponse(TimePoint now) { m_lastPlatformResponseAt = now; }
    /** Whether the other nodes have been silent for so long that the platform is to be queried. */
    bool arePeersSilent(TimePoint now) const
    {
        return now - m_lastPeerMessageAt > isolationTimeout / 2;
    }
    /**
     * Whether this node may have missed the withdrawal of a key.
     *
     * @param knowsOthers whether the membership lists other nodes.
     */
    bool isIsolated(TimePoint now, bool knowsOthers) const
    {
        return knowsOthers && now - m_lastPeerMessageAt > isolationTimeout
            && now - m_lastPlatformResponseAt > isolationTimeout;
    }

private:
    TimePoint m_lastPeerMessageAt;
    TimePoint m_lastPlatformResponseAt;
};

} // namespace ibiswell
