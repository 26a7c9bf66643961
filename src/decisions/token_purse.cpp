#include "ibiswell/decisions/token_purse.h"

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

void TokenPurse::dropLapsed(TimePoint now, TeamState &team)
{
    while (!team.lots.empty()
           && (team.lots.front().lapsesAt <= now || team.lots.front().tokens < 1))
        team.lots.pop_front();
    std::erase_if(team.asked, [&](const auto &item) { return item.second.timesOutAt <= now; });
    std::erase_if(team.emptyUntil, [&](const auto &item) { return item.second <= now; });
}

double TokenPurse::available(const TeamState &team)
{
    double sum = 0;
    for (const Lot &lot : team.lots)
        sum += lot.tokens;
    return sum;
}

void TokenPurse::noteDemand(TimePoint now, TeamState &team)
{
    double age = inSeconds(now - team.demandAt) / inSeconds(memoryOfDemand);
    team.demand = team.demand * std::exp(-age) + 1 / inSeconds(memoryOfDemand);
    team.demandAt = now;
    team.usedAt = now;
}

TokenVerdict TokenPurse::judge(TimePoint now, TeamState &team)
{
    dropLapsed(now, team);
    if (!team.lots.empty()) {
        team.lots.front().tokens -= 1;
        return TokenSpent {};
    }
    if (team.holdersUnknown)
        return TokenRefused {ErrorKind::RateUnconfirmed};
    if (team.emptyUntil.size() >= team.shareCount)
        return TokenRefused {ErrorKind::RateExceeded};
    return TokenPending {};
}

TokenVerdict TokenPurse::spend(TimePoint now, const std::string &name)
{
    TeamState &team = m_teams[name];
    noteDemand(now, team);
    TokenVerdict verdict = judge(now, team);
    if (std::holds_alternative<TokenPending>(verdict))
        team.waiting += 1;
    return verdict;
}

TokenVerdict TokenPurse::spendWaiting(TimePoint now, const std::string &name)
{
    TokenVerdict verdict = judge(now, m_teams[name]);
    if (!std::holds_alternative<TokenPending>(verdict))
        stopWaiting(name);
    return verdict;
}

void TokenPurse::stopWaiting(const std::string &name)
{
    auto found = m_teams.find(name);
    if (found != m_teams.end())
        found->second.waiting = std::max(0.0, found->second.waiting - 1);
}

void TokenPurse::orderShares(const TeamState &team, std::vector<ReachableShare> &shares)
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

void TokenPurse::planTeam(TimePoint now, const std::string &name, TeamState &team,
                          const Policy &policy, const ShareDistance &distance,
                          std::map<std::uint32_t, TokenRequest> &asks)
{
    dropLapsed(now, team);
    std::vector<ReachableShare> reachable;
    std::size_t known = 0;
    for (std::uint32_t share : sharesOfTeam(name, policy.team(name), policy.defaults)) {
        std::optional<int> far = distance(share);
        known += far ? 1 : 0;
        if (far && !team.asked.contains(share) && !team.emptyUntil.contains(share))
            reachable.push_back({*far, share});
    }
    team.shareCount = std::max<std::size_t>(1, known);
    team.holdersUnknown = known == 0;
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
        asks[reachable[i].share].wanted.push_back({name, part});
        team.asked[reachable[i].share] = {now + askTimeout, part};
    }
}

std::vector<SendTokenAsk> TokenPurse::takeAsks(TimePoint now, const Policy &policy,
                                               const ShareDistance &distance)
{
    std::erase_if(m_open, [&](const auto &item) {
        return now - item.second.sentAt > RateShare::grantLifetime;
    });
    std::erase_if(m_teams,
                  [&](const auto &item) { return now - item.second.usedAt > idleTeamForgotten; });
    std::map<std::uint32_t, TokenRequest> asks;
    for (auto &[name, team] : m_teams)
        planTeam(now, name, team, policy, distance, asks);
    std::vector<SendTokenAsk> sends;
    for (auto &[share, ask] : asks) {
        ask.share = share;
        ask.sequence = m_nextSequence++;
        OpenAsk open {now, {}};
        for (const TokenAmount &amount : ask.wanted)
            open.wanted[amount.team] = amount.tokens;
        m_open.emplace(ask.sequence, std::move(open));
        sends.push_back({share, std::move(ask)});
    }
    return sends;
}

void TokenPurse::onGrant(TimePoint now, const TokenGrant &grant)
{
    auto open = m_open.find(grant.sequence);
    if (open == m_open.end())
        return;
    Duration valid = std::min(grant.validFor, RateShare::grantLifetime);
    TimePoint lapsesAt =
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
            team->second.lots.push_back({lapsesAt, tokens});
        if (tokens < wanted->second)
            team->second.emptyUntil[grant.share] = now + emptyShareRest;
    }
    m_open.erase(open);
}

} // namespace ibiswell
