#pragma once

#include "ibiswell/core/member.h"
#include "ibiswell/core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace ibiswell {

/**
 * Selects the holder of each rate share, the node that issues its tokens, where there are no
 * leases: by rendezvous hashing, the highest-ranked member that responds.
 *
 * Nodes that are partitioned from each other may select different holders. So a holder issues
 * tokens only for the nodes whose requests reach it: its fraction of the rate is the number of
 * nodes that sent it a request recently, divided by the largest number of nodes known recently. The
 * fractions of all holders add up to about one, however the network is partitioned. A node that
 * reaches no holder uses the fraction of a single node.
 */
class RankedHolders
{
public:
    /** The node to request tokens from, or null when no member responds. */
    const Member *holderOf(TimePoint now, std::uint32_t share,
                           const std::vector<const Member *> &activeMembers) const;

    void onRequestSent(TimePoint now, const std::string &holder);
    void onResponse(const std::string &holder);

    /** Records that @p node takes this node to be the holder of @p share. */
    void onRequestReceived(TimePoint now, std::uint32_t share, const std::string &node);
    /**
     * Since when other nodes have taken this node to be the holder without a gap; nothing if none
     * does now.
     */
    std::optional<TimePoint> heldSince(TimePoint now, std::uint32_t share) const;
    /** The fraction of the rate that this node may issue to the nodes that send it requests. */
    double rateFraction(TimePoint now, std::uint32_t share, std::size_t activeMemberCount);
    /** The fraction of the rate for a node that reaches no holder. */
    double isolatedFraction(TimePoint now, std::size_t activeMemberCount);

private:
    struct HolderState
    {
        /** When the oldest request without a response was sent. */
        std::optional<TimePoint> oldestRequestAt;
        TimePoint avoidUntil;
    };
    struct HeldShare
    {
        TimePoint since;
        std::map<std::string, TimePoint> requesters; ///< The last request of each node.
    };
    struct FleetSize
    {
        TimePoint at;
        std::size_t nodes;
    };

    /** The largest number of nodes known recently, at least 1. */
    std::size_t recentFleetSize(TimePoint now, std::size_t activeMemberCount);

    std::unordered_map<std::string, HolderState> m_holders; ///< By node.
    std::map<std::uint32_t, HeldShare> m_held; ///< By share.
    std::deque<FleetSize> m_sizes; ///< Descending sizes; the first is the largest of the window.
};

/** The token buckets of a node that reaches no holder, one for each team. */
class LocalTokenBuckets
{
public:
    /**
     * Takes a token; returns false when there is none.
     *
     * @param ratePerSecond the team's rate times this node's fraction.
     * @param burst the team's burst times this node's fraction.
     */
    bool spend(TimePoint now, const std::string &team, double ratePerSecond, double burst);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint refilledAt;
    };

    std::map<std::string, Bucket, std::less<>> m_buckets; ///< By team.
};

} // namespace ibiswell
