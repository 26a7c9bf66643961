#pragma once

#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibiswell {

/** A team's rate and burst over all VMs together. */
struct Quota
{
    double ratePerSecond = 0;
    double burst = 0;
};

/**
 * A node's part of each team's rate and burst.
 *
 * Each node fills a bucket of its own with its share of the rate. The shares of all nodes sum up
 * to one: the node that accounts for a team divides the rate by the demand that the nodes tell it.
 * A node that hears no share for a while falls back to an equal part, so that nodes that are cut
 * off go on within what they would get without any message.
 */
class QuotaShares
{
public:
    /** Takes one request of @p team out of the bucket; false when it is over the rate. */
    bool spend(TimePoint now, const std::string &team, const Quota &quota);

    /** @param nodes that are known to take part, this one included. */
    void setNodes(std::size_t nodes) { m_nodes = nodes > 0 ? nodes : 1; }
    /** Demand of the teams that sent requests lately. */
    std::vector<TeamDemand> demands(TimePoint now);
    void onShares(TimePoint now, const std::vector<TeamShare> &shares);
    /** When the team's next request will fit, for a caller that was refused. */
    Duration untilNext(TimePoint now, const std::string &team, const Quota &quota);

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filledAt;
        bool isNew = true;
        double share = 0; ///< Part of the team's rate.
        TimePoint sharedAt;
        double arrivals = 0; ///< Decayed count, for the demand.
        TimePoint countedAt;
    };

    double shareOf(TimePoint now, const Bucket &bucket) const;
    void fill(TimePoint now, Bucket &bucket, const Quota &quota);

    std::size_t m_nodes = 1;
    std::map<std::string, Bucket, std::less<>> m_buckets;
};

/** The node that accounts for @p team: the same on all nodes that know the same members. */
const Member *accountantOf(const std::string &team, const std::vector<const Member *> &present);

/** Divides the rates of teams among the nodes, by the demand that each node tells. */
class QuotaAccount
{
public:
    using QuotaOf = std::function<std::optional<Quota>(const std::string &team)>;

    /** Notes what @p node tells and returns its shares. */
    std::vector<TeamShare> onDemand(TimePoint now, const std::string &node,
                                    const std::vector<TeamDemand> &demands, std::size_t nodes,
                                    const QuotaOf &quotaOf);

private:
    struct Told
    {
        double ratePerSecond = 0;
        TimePoint at;
    };

    std::map<std::string, std::map<std::string, Told>, std::less<>> m_teams;
};

} // namespace ibiswell
