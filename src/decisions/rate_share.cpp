#include "ibiswell/decisions/rate_share.h"

#include "ibiswell/core/hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ibiswell {

namespace {

/** In requests: with a smaller burst for each share, tokens would be stranded in some shares. */
constexpr double minimumBurstPerShare = 8;
/** Relative difference in rate between the clocks of two nodes. */
constexpr double maximumClockDrift = 0.05;

} // namespace

std::vector<std::uint32_t> sharesOfTeam(const std::string &team, const TeamPolicy &policy,
                                        const FleetDefaults &defaults)
{
    int maximum = std::min(defaults.rateShares, defaults.sharesPerTeam);
    int count = std::clamp(static_cast<int>(policy.burst / minimumBurstPerShare), 1, maximum);
    std::vector<std::uint32_t> shares(static_cast<std::size_t>(defaults.rateShares));
    std::iota(shares.begin(), shares.end(), 0u);
    std::sort(shares.begin(), shares.end(), [&](std::uint32_t a, std::uint32_t b) {
        return stableHash(team, a) < stableHash(team, b);
    });
    shares.resize(static_cast<std::size_t>(count));
    return shares;
}

RateShare::RateShare(TimePoint startsAt)
    : m_startsAt(startsAt)
{
}

void RateShare::refill(TimePoint now, Bucket &bucket, double rate, double burst) const
{
    while (!bucket.grants.empty() && bucket.grants.front().expiresAt <= now) {
        bucket.outstanding -= bucket.grants.front().tokens;
        bucket.grants.pop_front();
    }
    if (bucket.grants.empty())
        bucket.outstanding = 0;
    double refilled = rate * std::max(0.0, inSeconds(now - bucket.refilledAt));
    bucket.refilledAt = std::max(now, bucket.refilledAt);
    double capacity = std::max(0.0, burst - bucket.outstanding);
    bucket.tokens = std::min(bucket.tokens + refilled, capacity);
}

GrantedTokens RateShare::grant(TimePoint now, const std::string &team, const TeamPolicy &policy,
                               int shareCount, double wanted)
{
    if (now < m_startsAt)
        return {team, 0, 0};
    auto [it, isNew] = m_buckets.try_emplace(team);
    Bucket &bucket = it->second;
    if (isNew)
        bucket.refilledAt = m_startsAt;
    double burst = policy.burst / shareCount;
    refill(now, bucket, policy.ratePerSecond / shareCount, burst);
    double tokensGranted = std::floor(std::min(bucket.tokens, wanted));
    bucket.tokens -= tokensGranted;
    double fillLevel = burst > 0 ? bucket.tokens / burst : 0;
    if (tokensGranted <= 0)
        return {team, 0, fillLevel};
    bucket.outstanding += tokensGranted;
    Duration lifetime = fromSeconds(inSeconds(grantLifetime) * (1 + maximumClockDrift));
    bucket.grants.push_back({now + lifetime, tokensGranted});
    return {team, tokensGranted, fillLevel};
}

} // namespace ibiswell
