#pragma once

#include "ibiswell/core/store_position.h"
#include "ibiswell/core/time.h"

#include <optional>
#include <variant>

namespace ibiswell {

/** All objects must be listed. */
struct ListObjects
{
};

/** Changes after a position are enough. */
struct WatchObjects
{
    StorePosition after;
};

using NextStoreCall = std::variant<ListObjects, WatchObjects>;

/**
 * Decides how a node goes on reading the objects of one kind from the store.
 *
 * A watch continues only from a position that the store gave out just before: after any
 * interruption the store may have come back from an older copy, and would tell nothing of the
 * changes below a revision that it has given out again.
 */
class StoreCursor
{
public:
    /** Far more than passes between a response and the next call of a node that runs. */
    static constexpr Duration maximumAge = std::chrono::seconds(1);

    bool hasRead() const { return m_hasRead; }
    bool hasPosition() const { return m_position.has_value(); }
    /** Up to here all changes were read; nothing: all objects must be listed. */
    const std::optional<StorePosition> &position() const { return m_position; }

    /** @param era the latest that is known. */
    NextStoreCall next(TimePoint now, std::uint64_t era) const
    {
        bool isUsable = m_position && m_position->era >= era && now - m_readAt <= maximumAge;
        if (isUsable)
            return WatchObjects {*m_position};
        return ListObjects {};
    }

    /** A listing or a watch has returned what the store holds at @p position. */
    void onRead(TimePoint now, StorePosition position)
    {
        m_position = position;
        m_readAt = now;
        m_hasRead = true;
    }

    /**
     * Beside a watch that waits, another call has told all changes up to @p position. The watch
     * goes on from the earlier one.
     */
    void onChecked(StorePosition position)
    {
        if (m_position && position > *m_position)
            m_position = position;
    }

    /** A call has failed, or the store no longer has the changes. */
    void onInterrupted() { m_position.reset(); }

private:
    std::optional<StorePosition> m_position;
    TimePoint m_readAt;
    bool m_hasRead = false;
};

} // namespace ibiswell
