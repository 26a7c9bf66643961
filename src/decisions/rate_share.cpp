#include "ibiswell/decisions/rate_share.h"

#include "ibiswell/core/hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ibiswell {

namespace {

constexpr double smallestBurstOfShare = 8; // requests; a smaller part would strand tokens
constexpr double maximumClockDrift = 0.05; // by which the clocks of two nodes may differ in pace

} // namespace

std::vector<std::uint32_t> sharesOfTeam(const std::string &team, const TeamPolicy &policy,
                                        const FleetDefaults &defaults)
{
    int most = std::min(defaults.rateShares, defaults.sharesPerTeam);
    int count = std::clamp(static_cast<int>(policy.burst / smallestBurstOfShare), 1, most);
    std::vector<std::uint32_t> shares(static_cast<std::size_t>(defaults.rateShares));
    std::iota(shares.begin(), shares.end(), 0u);
    std::sort(shares.begin(), shares.end(), [&](std::uint32_t a, std::uint32_t b) {
        return stableHash(team, a) < stableHash(team, b);
    });
    shares.resize(static_cast<std::size_t>(count));
    return shares;
}

RateShare::RateShare(TimePoint from)
    : m_from(from)
{
}

void RateShare::mint(TimePoint now, Bucket &bucket, double rate, double burst) const
{
    while (!bucket.grants.empty() && bucket.grants.front().lapsesAt <= now) {
        bucket.granted -= bucket.grants.front().tokens;
        bucket.grants.pop_front();
    }
    if (bucket.grants.empty())
        bucket.granted = 0;
    double minted = rate * std::max(0.0, inSeconds(now - bucket.mintedUntil));
    bucket.mintedUntil = std::max(now, bucket.mintedUntil);
    double room = std::max(0.0, burst - bucket.granted);
    bucket.tokens = std::min(bucket.tokens + minted, room);
}

GrantedTokens RateShare::grant(TimePoint now, const std::string &team, const TeamPolicy &policy,
                               int shareCount, double wanted)
{
    if (now < m_from)
        return {team, 0, 0};
    auto [it, isNew] = m_buckets.try_emplace(team);
    Bucket &bucket = it->second;
    if (isNew)
        bucket.mintedUntil = m_from;
    double burst = policy.burst / shareCount;
    mint(now, bucket, policy.ratePerSecond / shareCount, burst);
    double given = std::floor(std::min(bucket.tokens, wanted));
    bucket.tokens -= given;
    double fill = burst > 0 ? bucket.tokens / burst : 0;
    if (given <= 0)
        return {team, 0, fill};
    bucket.granted += given;
    Duration kept = fromSeconds(inSeconds(grantLifetime) * (1 + maximumClockDrift));
    bucket.grants.push_back({now + kept, given});
    return {team, given, fill};
}

} // namespace ibiswell
