#include "ibiswell/decisions/quota_shares.h"

#include "ibiswell/core/hash.h"

#include <algorithm>
#include <cmath>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration demandMemory = 1s;
constexpr Duration shareKept = 1500ms; // without news of the accounting node
constexpr Duration toldKept = 2s;
constexpr double smallestDemand = 0.05; // requests a second; below it a team counts as idle
/** Part of a rate that is divided equally, so that a node with new demand is not at zero. */
constexpr double equalPart = 0.1;
/** A node that just started may not know what the one before it has spent. */
constexpr double fillAtStart = 0.3;
/** Teams of one group have the same accounting node, so that a node tells few others. */
constexpr std::uint64_t accountGroups = 4;
constexpr double smallestDepth = 1; // requests

double decayed(double value, TimePoint from, TimePoint now)
{
    return value * std::exp(-inSeconds(now - from) / inSeconds(demandMemory));
}

} // namespace

double QuotaShares::shareOf(TimePoint now, const Bucket &bucket) const
{
    double equal = 1.0 / static_cast<double>(m_nodes);
    bool known = bucket.sharedAt != TimePoint {} && now - bucket.sharedAt <= shareKept;
    return known ? bucket.share : equal;
}

void QuotaShares::fill(TimePoint now, Bucket &bucket, const Quota &quota)
{
    double share = shareOf(now, bucket);
    double depth = std::max(smallestDepth, quota.burst * share);
    if (bucket.isNew)
        bucket.tokens = std::max(smallestDepth, depth * fillAtStart);
    else
        bucket.tokens += inSeconds(now - bucket.filledAt) * quota.ratePerSecond * share;
    bucket.isNew = false;
    bucket.filledAt = now;
    bucket.tokens = std::min(bucket.tokens, depth);
}

bool QuotaShares::spend(TimePoint now, const std::string &team, const Quota &quota)
{
    Bucket &bucket = m_buckets[team];
    bucket.arrivals = decayed(bucket.arrivals, bucket.countedAt, now) + 1;
    bucket.countedAt = now;
    fill(now, bucket, quota);
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

std::vector<TeamDemand> QuotaShares::demands(TimePoint now)
{
    std::vector<TeamDemand> result;
    for (auto &[team, bucket] : m_buckets) {
        double rate = decayed(bucket.arrivals, bucket.countedAt, now) / inSeconds(demandMemory);
        if (rate >= smallestDemand)
            result.push_back({team, rate});
    }
    return result;
}

void QuotaShares::onShares(TimePoint now, const std::vector<TeamShare> &shares)
{
    for (const TeamShare &share : shares) {
        auto found = m_buckets.find(share.team);
        if (found == m_buckets.end())
            continue;
        found->second.share = share.share;
        found->second.sharedAt = now;
    }
}

Duration QuotaShares::untilNext(TimePoint now, const std::string &team, const Quota &quota)
{
    const Bucket &bucket = m_buckets[team];
    double rate = quota.ratePerSecond * shareOf(now, bucket);
    return rate > 0 ? fromSeconds((1 - bucket.tokens) / rate) : Duration::max();
}

const Member *accountantOf(const std::string &team, const std::vector<const Member *> &present)
{
    std::uint64_t group = stableHash(team) % accountGroups;
    auto rank = [&](const Member *member) { return stableHash(member->node, group); };
    return *std::max_element(present.begin(), present.end(), [&](const Member *a, const Member *b) {
        return rank(a) < rank(b);
    });
}

std::vector<TeamShare> QuotaAccount::onDemand(TimePoint now, const std::string &node,
                                              const std::vector<TeamDemand> &demands,
                                              std::size_t nodes, const QuotaOf &quotaOf)
{
    std::vector<TeamShare> shares;
    double equal = 1.0 / static_cast<double>(std::max<std::size_t>(nodes, 1));
    for (const TeamDemand &demand : demands) {
        std::optional<Quota> quota = quotaOf(demand.team);
        if (!quota || quota->ratePerSecond <= 0)
            continue;
        std::map<std::string, Told> &told = m_teams[demand.team];
        told[node] = {demand.ratePerSecond, now};
        std::erase_if(told, [&](const auto &item) { return now - item.second.at > toldKept; });
        double total = 0;
        for (const auto &[name, each] : told)
            total += each.ratePerSecond;
        double unasked = std::max(0.0, 1 - total / quota->ratePerSecond);
        double byDemand = demand.ratePerSecond / std::max(total, quota->ratePerSecond);
        double divided = byDemand + unasked * equal;
        shares.push_back({demand.team, (1 - equalPart) * divided + equalPart * equal});
    }
    return shares;
}

} // namespace ibiswell
