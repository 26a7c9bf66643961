#include "ibiswell/decisions/token_cache.h"

#include "ibiswell/decisions/rate_share.h"

#include <algorithm>
#include <cmath>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration demandDecayTime = 500ms;
constexpr Duration prefetchTime = 40ms; // the demand of this time is covered in advance
constexpr Duration requestTimeout = 50ms;
/** Time before the next request to a share that had too few tokens. */
constexpr Duration emptyShareBackoff = 20ms;
constexpr Duration idleTeamRetention = 10s;
/** Relative difference in rate between the clocks of two nodes. */
constexpr double maximumClockDrift = 0.05;
constexpr double wellFilled = 0.5; // of a share's burst
constexpr double roundingTolerance = 1e-9;

} // namespace

void TokenCache::dropExpired(TimePoint now, TeamState &team)
{
    while (!team.batches.empty()
           && (team.batches.front().expiresAt <= now || team.batches.front().tokens < 1))
        team.batches.pop_front();
    std::erase_if(team.requested, [&](const auto &item) { return item.second.timesOutAt <= now; });
    std::erase_if(team.emptyUntil, [&](const auto &item) { return item.second <= now; });
}

double TokenCache::available(const TeamState &team)
{
    double sum = 0;
    for (const TokenBatch &batch : team.batches)
        sum += batch.tokens;
    return sum;
}

void TokenCache::recordDemand(TimePoint now, TeamState &team)
{
    double age = inSeconds(now - team.demandAt) / inSeconds(demandDecayTime);
    team.demand = team.demand * std::exp(-age) + 1 / inSeconds(demandDecayTime);
    team.demandAt = now;
    team.lastUsedAt = now;
}

TokenDecision TokenCache::decide(TimePoint now, TeamState &team)
{
    dropExpired(now, team);
    if (!team.batches.empty()) {
        team.batches.front().tokens -= 1;
        return TokenSpent {};
    }
    if (team.areHoldersUnknown)
        return TokenRefused {ErrorKind::RateUnconfirmed};
    if (team.emptyUntil.size() >= team.shareCount)
        return TokenRefused {ErrorKind::RateExceeded};
    return TokenPending {};
}

TokenDecision TokenCache::spend(TimePoint now, const std::string &name)
{
    TeamState &team = m_teams[name];
    recordDemand(now, team);
    TokenDecision decision = decide(now, team);
    if (std::holds_alternative<TokenPending>(decision))
        team.pendingCount += 1;
    return decision;
}

TokenDecision TokenCache::spendPending(TimePoint now, const std::string &name)
{
    TokenDecision decision = decide(now, m_teams[name]);
    if (!std::holds_alternative<TokenPending>(decision))
        cancelPending(name);
    return decision;
}

void TokenCache::cancelPending(const std::string &name)
{
    auto found = m_teams.find(name);
    if (found != m_teams.end())
        found->second.pendingCount = std::max(0.0, found->second.pendingCount - 1);
}

void TokenCache::orderShares(const TeamState &team, std::vector<ReachableShare> &shares)
{
    auto fillLevelOf = [&](const ReachableShare &reachable) {
        auto found = team.fillLevels.find(reachable.share);
        return found == team.fillLevels.end() ? 1.0 : found->second;
    };
    std::sort(shares.begin(), shares.end(), [](const ReachableShare &a, const ReachableShare &b) {
        return std::pair(a.distance, a.share) < std::pair(b.distance, b.share);
    });
    if (shares.empty() || fillLevelOf(shares.front()) >= wellFilled)
        return;
    std::stable_sort(shares.begin(), shares.end(),
                     [&](const ReachableShare &a, const ReachableShare &b) {
                         return fillLevelOf(a) > fillLevelOf(b);
                     });
}

void TokenCache::planRequests(TimePoint now, const std::string &name, TeamState &team,
                              const Policy &policy, const ShareDistance &distance,
                              std::map<std::uint32_t, TokenRequest> &requests)
{
    dropExpired(now, team);
    std::vector<ReachableShare> reachable;
    std::size_t known = 0;
    for (std::uint32_t share : sharesOfTeam(name, policy.team(name), policy.defaults)) {
        std::optional<int> shareDistance = distance(share);
        known += shareDistance ? 1 : 0;
        if (shareDistance && !team.requested.contains(share) && !team.emptyUntil.contains(share))
            reachable.push_back({*shareDistance, share});
    }
    team.shareCount = std::max<std::size_t>(1, known);
    team.areHoldersUnknown = known == 0;
    double availableTokens = available(team);
    for (const auto &[share, requested] : team.requested)
        availableTokens += requested.tokens;
    double prefetchTokens = std::floor(team.demand * inSeconds(prefetchTime));
    double missing = std::ceil(team.pendingCount + prefetchTokens - availableTokens);
    bool hasEnough = availableTokens >= team.pendingCount + prefetchTokens / 2;
    if (hasEnough || missing < 1)
        return;
    orderShares(team, reachable);
    // All tokens are requested from the first share. When a share recently had too few, the request
    // is divided among the others.
    bool useSingleShare = team.emptyUntil.empty();
    std::size_t maximumShares = useSingleShare ? 1 : static_cast<std::size_t>(missing);
    std::size_t count = std::min(maximumShares, reachable.size());
    for (std::size_t i = 0; i < count; ++i) {
        double part = std::ceil(missing / static_cast<double>(count));
        requests[reachable[i].share].wanted.push_back({name, part});
        team.requested[reachable[i].share] = {now + requestTimeout, part};
    }
}

std::vector<SendTokenRequest> TokenCache::takeRequests(TimePoint now, const Policy &policy,
                                                       const ShareDistance &distance)
{
    std::erase_if(m_openRequests, [&](const auto &item) {
        return now - item.second.sentAt > RateShare::grantLifetime;
    });
    std::erase_if(m_teams, [&](const auto &item) {
        return now - item.second.lastUsedAt > idleTeamRetention;
    });
    std::map<std::uint32_t, TokenRequest> requests;
    for (auto &[name, team] : m_teams)
        planRequests(now, name, team, policy, distance, requests);
    std::vector<SendTokenRequest> tokenRequests;
    for (auto &[share, request] : requests) {
        request.share = share;
        request.sequence = m_nextSequence++;
        OpenRequest open {now, {}};
        for (const TokenAmount &amount : request.wanted)
            open.wanted[amount.team] = amount.tokens;
        m_openRequests.emplace(request.sequence, std::move(open));
        tokenRequests.push_back({share, std::move(request)});
    }
    return tokenRequests;
}

void TokenCache::onGrant(TimePoint now, const TokenGrant &grant)
{
    auto open = m_openRequests.find(grant.sequence);
    if (open == m_openRequests.end())
        return;
    Duration validity = std::min(grant.validFor, RateShare::grantLifetime);
    TimePoint expiresAt =
        open->second.sentAt + fromSeconds(inSeconds(validity) * (1 - maximumClockDrift));
    for (const GrantedTokens &amount : grant.granted) {
        auto wanted = open->second.wanted.find(amount.team);
        auto team = m_teams.find(amount.team);
        if (wanted == open->second.wanted.end() || team == m_teams.end())
            continue;
        team->second.requested.erase(grant.share);
        team->second.fillLevels[grant.share] = amount.fillLevel;
        double tokens = std::min(amount.tokens, wanted->second);
        if (tokens >= 1 - roundingTolerance)
            team->second.batches.push_back({expiresAt, tokens});
        if (tokens < wanted->second)
            team->second.emptyUntil[grant.share] = now + emptyShareBackoff;
    }
    m_openRequests.erase(open);
}

} // namespace ibiswell
