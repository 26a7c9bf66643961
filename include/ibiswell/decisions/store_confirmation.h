#pragma once

#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace ibiswell {

/** What a node follows in the platform's store. */
enum class StoreTopic : std::uint8_t { Policy, ZonesOut };
inline constexpr std::size_t storeTopicCount = 2;

/**
 * How recently it was known that this node has what the platform's store holds.
 *
 * Only a response of the store proves this, and only as of the moment at which the request was
 * sent. A watch that waits proves nothing: its response may have been lost. A few nodes ask the
 * store (see store_check.h), and each message between nodes states how old that knowledge is by
 * now. A node to which nobody states a recent one watches the store by itself.
 */
class StoreConfirmation
{
public:
    /** A node whose knowledge is older than this watches the store by itself. */
    static constexpr Duration maximumAge = std::chrono::seconds(3);

    /** This node has of @p topic what the store held when it was sent a request at @p sentAt. */
    void onResponse(StoreTopic topic, TimePoint sentAt) { confirm(topic, sentAt); }
    /** Another node, whose policy and zones this one has, stated the age of its knowledge. */
    void onStatement(TimePoint now, Duration age)
    {
        if (age >= neverConfirmed)
            return;
        confirm(StoreTopic::Policy, now - age);
        confirm(StoreTopic::ZonesOut, now - age);
    }

    /** When this node was last known to have what the store holds of @p topic; nothing: never. */
    std::optional<TimePoint> confirmedAt(StoreTopic topic) const
    {
        return m_confirmedAt[static_cast<std::size_t>(topic)];
    }
    /** Time since this node was known to have all that it follows. */
    Duration age(TimePoint now) const
    {
        Duration oldest {};
        for (const std::optional<TimePoint> &confirmedAt : m_confirmedAt)
            oldest = std::max(oldest, confirmedAt ? now - *confirmedAt : neverConfirmed);
        return std::min(oldest, neverConfirmed);
    }
    bool isCurrent(TimePoint now) const { return age(now) < maximumAge; }

private:
    void confirm(StoreTopic topic, TimePoint at)
    {
        std::optional<TimePoint> &confirmedAt = m_confirmedAt[static_cast<std::size_t>(topic)];
        confirmedAt = std::max(confirmedAt.value_or(at), at);
    }

    std::array<std::optional<TimePoint>, storeTopicCount> m_confirmedAt; ///< By topic.
};

} // namespace ibiswell
