#pragma once

#include "ibiswell/core/time.h"

#include <algorithm>
#include <optional>

namespace ibiswell {

/**
 * Whether a watch of the store that waits for changes can still be relied on.
 *
 * A watch waits for long, and a response that is lost on its way leaves it waiting although the
 * store has changed. What the node learns otherwise shows that: a change that the watch should have
 * told, or a time in which the store's responses did not arrive.
 */
class WatchTrust
{
public:
    /** Within this time after a change its response arrives, also from a store that is slow. */
    static constexpr Duration responseTime = std::chrono::seconds(1);

    /** A new watch waits; nothing speaks against it. */
    void onOpened() { *this = {}; }
    /** The node learned otherwise of a change that the watch tells as well, if it works. */
    void onChangeLearned(TimePoint now) { endBy(now + responseTime); }
    /** Another request to the store got no response; the watch's response may be lost as well. */
    void onRequestLost() { m_mayBeLost = true; }
    /** Another request to the store got its response: the store can be asked again. */
    void onRequestAnswered(TimePoint now)
    {
        if (m_mayBeLost)
            endBy(now);
    }
    /** The objects have to be listed again, whatever the watch tells. */
    void onListingNeeded(TimePoint now) { endBy(now); }

    /** When to give the watch up, unless it has ended by then; nothing: no reason to. */
    std::optional<TimePoint> endsAt() const { return m_endsAt; }
    bool hasEnded(TimePoint now) const { return m_endsAt && now >= *m_endsAt; }

private:
    void endBy(TimePoint at) { m_endsAt = std::min(m_endsAt.value_or(at), at); }

    std::optional<TimePoint> m_endsAt;
    bool m_mayBeLost = false;
};

} // namespace ibiswell
