#pragma once

#include "ibiswell/core/time.h"

namespace ibiswell {

/**
 * Whether a node can still learn that a key was withdrawn.
 *
 * While the platform is down for all, no withdrawal can be accepted, and a node that hears the
 * others may go on. A node that hears neither the platform nor any other node may be the only one
 * that does not know: it must not serve keyed routes. A group of nodes that is cut off together
 * cannot tell its case from an outage of the platform.
 */
class ConnectivityMonitor
{
public:
    /** Without a word from anyone for this long, a node counts as cut off. */
    static constexpr Duration silenceLimit = std::chrono::seconds(8);

    void onPeerMessage(TimePoint now) { m_lastPeerMessageAt = now; }
    void onPlatformResponse(TimePoint now) { m_lastPlatformResponseAt = now; }
    /** Whether other nodes have been silent for so long that the platform should be asked. */
    bool arePeersSilent(TimePoint now) const
    {
        return now - m_lastPeerMessageAt > silenceLimit / 2;
    }
    /** @param knowsOthers whether the fleet has other nodes, as far as is known. */
    bool isIsolated(TimePoint now, bool knowsOthers) const
    {
        return knowsOthers && now - m_lastPeerMessageAt > silenceLimit
            && now - m_lastPlatformResponseAt > silenceLimit;
    }

private:
    TimePoint m_lastPeerMessageAt;
    TimePoint m_lastPlatformResponseAt;
};

} // namespace ibiswell
