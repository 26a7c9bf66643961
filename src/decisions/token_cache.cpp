#include "ibiswell/decisions/token_cache.h"

#include "ibiswell/decisions/rate_share.h"

#include <algorithm>
#include <cmath>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration memoryOfDemand = 500ms;
constexpr Duration stockAhead = 40ms; // of demand
constexpr Duration askTimeout = 50ms;
constexpr Duration emptyShareRest = 20ms; // before a share without tokens is asked again
constexpr Duration idleTeamForgotten = 10s;
constexpr double clockDriftShare = 0.05;
constexpr double wellFilled = 0.5; // of a share's burst
constexpr double rounding = 1e-9;

} // namespace

void TokenCache::dropExpired(TimePoint now, TeamState &team)
{
    while (!team.lots.empty()
           && (team.lots.front().expiresAt <= now || team.lots.front().tokens < 1))
        team.lots.pop_front();
    std::erase_if(team.asked, [&](const auto &item) { return item.second.timesOutAt <= now; });
    std::erase_if(team.emptyUntil, [&](const auto &item) { return item.second <= now; });
}

double TokenCache::available(const TeamState &team)
{
    double sum = 0;
    for (const Lot &lot : team.lots)
        sum += lot.tokens;
    return sum;
}

void TokenCache::noteDemand(TimePoint now, TeamState &team)
{
    double age = inSeconds(now - team.demandAt) / inSeconds(memoryOfDemand);
    team.demand = team.demand * std::exp(-age) + 1 / inSeconds(memoryOfDemand);
    team.demandAt = now;
    team.usedAt = now;
}

TokenDecision TokenCache::judge(TimePoint now, TeamState &team)
{
    dropExpired(now, team);
    if (!team.lots.empty()) {
        team.lots.front().tokens -= 1;
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
    noteDemand(now, team);
    TokenDecision verdict = judge(now, team);
    if (std::holds_alternative<TokenPending>(verdict))
        team.waiting += 1;
    return verdict;
}

TokenDecision TokenCache::spendPending(TimePoint now, const std::string &name)
{
    TokenDecision verdict = judge(now, m_teams[name]);
    if (!std::holds_alternative<TokenPending>(verdict))
        cancelPending(name);
    return verdict;
}

void TokenCache::cancelPending(const std::string &name)
{
    auto found = m_teams.find(name);
    if (found != m_teams.end())
        found->second.waiting = std::max(0.0, found->second.waiting - 1);
}

void TokenCache::orderShares(const TeamState &team, std::vector<ReachableShare> &shares)
{
    auto fillOf = [&](const ReachableShare &reachable) {
        auto found = team.fill.find(reachable.share);
        return found == team.fill.end() ? 1.0 : found->second;
    };
    std::sort(shares.begin(), shares.end(), [](const ReachableShare &a, const ReachableShare &b) {
        return std::pair(a.distance, a.share) < std::pair(b.distance, b.share);
    });
    if (shares.empty() || fillOf(shares.front()) >= wellFilled)
        return;
    std::stable_sort(
        shares.begin(), shares.end(),
        [&](const ReachableShare &a, const ReachableShare &b) { return fillOf(a) > fillOf(b); });
}

void TokenCache::planRequests(TimePoint now, const std::string &name, TeamState &team,
                              const Policy &policy, const ShareDistance &distance,
                              std::map<std::uint32_t, TokenAsk> &requests)
{
    dropExpired(now, team);
    std::vector<ReachableShare> reachable;
    std::size_t known = 0;
    for (std::uint32_t share : sharesOfTeam(name, policy.team(name), policy.defaults)) {
        std::optional<int> far = distance(share);
        known += far ? 1 : 0;
        if (far && !team.asked.contains(share) && !team.emptyUntil.contains(share))
            reachable.push_back({*far, share});
    }
    team.shareCount = std::max<std::size_t>(1, known);
    team.areHoldersUnknown = known == 0;
    double stock = available(team);
    for (const auto &[share, asked] : team.asked)
        stock += asked.tokens;
    double target = std::floor(team.demand * inSeconds(stockAhead));
    double missing = std::ceil(team.waiting + target - stock);
    bool enough = stock >= team.waiting + target / 2;
    if (enough || missing < 1)
        return;
    orderShares(team, reachable);
    // The first share is asked for all; when one lately ran dry, the others each for a part.
    bool single = team.emptyUntil.empty();
    std::size_t most = single ? 1 : static_cast<std::size_t>(missing);
    std::size_t count = std::min(most, reachable.size());
    for (std::size_t i = 0; i < count; ++i) {
        double part = std::ceil(missing / static_cast<double>(count));
        requests[reachable[i].share].wanted.push_back({name, part});
        team.asked[reachable[i].share] = {now + askTimeout, part};
    }
}

std::vector<SendTokenRequest> TokenCache::takeRequests(TimePoint now, const Policy &policy,
                                                       const ShareDistance &distance)
{
    std::erase_if(m_open, [&](const auto &item) {
        return now - item.second.sentAt > RateShare::grantLifetime;
    });
    std::erase_if(m_teams,
                  [&](const auto &item) { return now - item.second.usedAt > idleTeamForgotten; });
    std::map<std::uint32_t, TokenAsk> requests;
    for (auto &[name, team] : m_teams)
        planRequests(now, name, team, policy, distance, requests);
    std::vector<SendTokenRequest> sends;
    for (auto &[share, request] : requests) {
        request.share = share;
        request.sequence = m_nextSequence++;
        OpenRequest open {now, {}};
        for (const TokenAmount &amount : request.wanted)
            open.wanted[amount.team] = amount.tokens;
        m_open.emplace(request.sequence, std::move(open));
        sends.push_back({share, std::move(request)});
    }
    return sends;
}

void TokenCache::onGrant(TimePoint now, const TokenGrant &grant)
{
    auto open = m_open.find(grant.sequence);
    if (open == m_open.end())
        return;
    Duration valid = std::min(grant.validFor, RateShare::grantLifetime);
    TimePoint expiresAt =
        open->second.sentAt + fromSeconds(inSeconds(valid) * (1 - clockDriftShare));
    for (const GrantedTokens &amount : grant.granted) {
        auto wanted = open->second.wanted.find(amount.team);
        auto team = m_teams.find(amount.team);
        if (wanted == open->second.wanted.end() || team == m_teams.end())
            continue;
        team->second.asked.erase(grant.share);
        team->second.fill[grant.share] = amount.fill;
        double tokens = std::min(amount.tokens, wanted->second);
        if (tokens >= 1 - rounding)
            team->second.lots.push_back({expiresAt, tokens});
        if (tokens < wanted->second)
            team->second.emptyUntil[grant.share] = now + emptyShareRest;
    }
    m_open.erase(open);
}

} // namespace ibiswell
