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
 * Which node mints the tokens of a rate share, where no lease says so: the one that ranks first
 * among the known members and answers.
 *
 * Nodes that are cut off from each other may rank different nodes first. So a holder mints only
 * for the nodes that it hears: its part of the rate is the number of nodes that asked it lately
 * over the number of nodes known in the last while. The parts of all holders sum up to about one,
 * whatever the cuts; a node that reaches no holder keeps to an equal part of its own.
 */
class RankedHolders
{
public:
    /** The node to ask, or nothing when no member has answered lately. */
    const Member *holderOf(TimePoint now, std::uint32_t share,
                           const std::vector<const Member *> &present) const;

    void onRequestSent(TimePoint now, const std::string &holder);
    void onResponse(const std::string &holder);

    /** Notes that @p node holds this node for the holder of @p share. */
    void onRequestReceived(TimePoint now, std::uint32_t share, const std::string &node);
    /** Since when other nodes ask this one without a gap, or nothing. */
    std::optional<TimePoint> heldSince(TimePoint now, std::uint32_t share) const;
    /** The part of the rate that this node may mint for the nodes that ask it. */
    double rateFraction(TimePoint now, std::uint32_t share, std::size_t present);
    /** The part of the rate of a node that reaches no holder. */
    double isolatedFraction(TimePoint now, std::size_t present);

private:
    struct Answering
    {
        std::optional<TimePoint> askedAt; ///< Oldest ask without an answer.
        TimePoint avoidUntil;
    };
    struct Held
    {
        TimePoint since;
        std::map<std::string, TimePoint> askedBy;
    };
    struct Size
    {
        TimePoint at;
        std::size_t nodes;
    };

    std::size_t known(TimePoint now, std::size_t present);

    std::unordered_map<std::string, Answering> m_holders;
    std::map<std::uint32_t, Held> m_held;
    std::deque<Size> m_sizes; ///< Falling; the first is the largest of the last while.
};

/** The bucket of a node that reaches no holder, filled with its equal part of the rate. */
class LocalTokenBucket
{
public:
    /** Takes a token out; false when there is none. @p rate and @p burst are the part's own. */
    bool spend(TimePoint now, const std::string &team, double ratePerSecond, double burst);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filledAt;
    };

    std::map<std::string, Bucket, std::less<>> m_buckets;
};

} // namespace ibiswell
