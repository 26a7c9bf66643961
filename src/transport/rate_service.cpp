#include "rate_service.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration longestWaitForToken = 150ms;
constexpr Duration recheckInterval = 10ms;
constexpr Duration stockInterval = 20ms;
constexpr Duration presenceInterval = 500ms;
constexpr std::uint64_t presenceSequences = std::uint64_t {1} << 63;

Refusal refusalFor(ErrorKind kind)
{
    std::string detail = kind == ErrorKind::RateExceeded
        ? "the team is over its rate and burst over all VMs"
        : "no holder of the team's rate answered";
    return {kind, std::move(detail), Execution::NotRun};
}

} // namespace

RateService::RateService(Kernel &kernel, asio::io_context &context, ShareAssignment holding)
    : m_context(context)
    , m_node(kernel.get<NodeState>("node"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_assignment(std::move(holding))
    , m_purse(kernel.get<TokenPurse>("purse"))
    , m_gossip(kernel.get<Gossip>("gossip"))
    , m_granted(context, std::chrono::steady_clock::time_point::max())
{
    m_gossip.setTokenHandler([this](const Datagram &datagram) { onDatagram(datagram); });
}

Task<std::optional<Refusal>> RateService::acquireToken(std::string team)
{
    if (m_policy.policy().team(team).unlimited)
        co_return std::nullopt;
    TokenVerdict verdict = m_purse.spend(steadyNow(), team);
    TimePoint until = steadyNow() + longestWaitForToken;
    bool waits = std::holds_alternative<TokenPending>(verdict);
    struct WaitGuard
    {
        TokenPurse &purse;
        const std::string &team;
        bool waits;
        ~WaitGuard()
        {
            if (waits)
                purse.stopWaiting(team);
        }
    } guard {m_purse, team, waits};
    while (std::holds_alternative<TokenPending>(verdict) && steadyNow() < until) {
        sendTokenRequests();
        auto woken = m_granted.async_wait(asResult);
        co_await withTimeout(std::move(woken), recheckInterval);
        verdict = m_purse.spendWaiting(steadyNow(), team);
        guard.waits = std::holds_alternative<TokenPending>(verdict);
    }
    if (std::holds_alternative<TokenSpent>(verdict))
        co_return std::nullopt;
    const TokenRefused *refused = std::get_if<TokenRefused>(&verdict);
    if (refused && refused->kind == ErrorKind::RateExceeded)
        co_return refusalFor(refused->kind);
    co_return acquireLocalToken(team, refusalFor(ErrorKind::RateUnconfirmed));
}

std::optional<Refusal> RateService::acquireLocalToken(const std::string &team, Refusal refusal)
{
    RankedShares *ranked = std::get_if<RankedShares>(&m_assignment);
    if (!ranked)
        return refusal;
    TimePoint now = steadyNow();
    const TeamPolicy &policy = m_policy.policy().team(team);
    double part = ranked->holders.partAlone(now, m_membership.present().size());
    bool spent = ranked->alone.spend(now, team, policy.ratePerSecond * part, policy.burst * part);
    return spent ? std::nullopt : std::optional(std::move(refusal));
}

Task<void> RateService::replenishTokens()
{
    for (;;) {
        co_await sleepFor(stockInterval);
        if (m_purse.teamCount() > 0)
            sendTokenRequests();
        if (std::holds_alternative<RankedShares>(m_assignment)
            && steadyNow() - m_lastPresenceAt >= presenceInterval)
            announcePresence();
    }
}

const Member *RateService::holderOf(std::uint32_t share)
{
    struct Find
    {
        RateService &service;
        std::uint32_t share;
        const Member *operator()(const LeasedShares &) const
        {
            return service.m_membership.holderOf(share);
        }
        const Member *operator()(const RankedShares &ranked) const
        {
            return ranked.holders.holderOf(steadyNow(), share, service.m_membership.present());
        }
    };
    return std::visit(Find {*this, share}, m_assignment);
}

std::optional<TimePoint> RateService::heldSince(std::uint32_t share)
{
    struct Since
    {
        std::uint32_t share;
        std::optional<TimePoint> operator()(const LeasedShares &leased) const
        {
            std::optional<TimePoint> since = leased.leases->heldSince(steadyNow(), share);
            // All grants of a former holder lapse before this one mints its first token.
            return since ? std::optional(*since + 2 * RateShare::grantLifetime) : std::nullopt;
        }
        std::optional<TimePoint> operator()(const RankedShares &ranked) const
        {
            return ranked.holders.heldSince(steadyNow(), share);
        }
    };
    return std::visit(Since {share}, m_assignment);
}

double RateService::mintedFraction(std::uint32_t share)
{
    RankedShares *ranked = std::get_if<RankedShares>(&m_assignment);
    return ranked ? ranked->holders.part(steadyNow(), share, m_membership.present().size()) : 1;
}

std::optional<int> RateService::distanceTo(std::uint32_t share)
{
    const Member *holder = holderOf(share);
    if (!holder)
        return std::nullopt;
    if (holder->node == m_node.settings.node)
        return 0;
    return holder->zone == m_node.settings.zone ? 1 : 2;
}

void RateService::sendTokenRequests()
{
    auto distance = [this](std::uint32_t share) { return distanceTo(share); };
    std::vector<SendTokenAsk> asks = m_purse.takeAsks(steadyNow(), m_policy.policy(), distance);
    for (SendTokenAsk &ask : asks)
        sendTokenRequest(std::move(ask));
}

void RateService::sendTokenRequest(SendTokenAsk ask)
{
    const Member *holder = holderOf(ask.share);
    if (!holder)
        return;
    if (holder->node == m_node.settings.node) {
        m_purse.onGrant(steadyNow(), grantLocally(ask.ask, m_node.settings.node));
        wakeWaiters();
        return;
    }
    if (RankedShares *ranked = std::get_if<RankedShares>(&m_assignment))
        ranked->holders.onAskSent(steadyNow(), holder->node);
    m_gossip.send({holder->endpoint, m_membership.frame(std::move(ask.ask))});
}

void RateService::announcePresence()
{
    m_lastPresenceAt = steadyNow();
    int shares = m_policy.policy().defaults.rateShares;
    for (int share = 0; share < shares; ++share) {
        SendTokenAsk ask {static_cast<std::uint32_t>(share), {}};
        ask.ask.share = ask.share;
        // The purse drops the answer: no ask of its own has this number.
        ask.ask.sequence = presenceSequences + m_nextPresence++;
        sendTokenRequest(std::move(ask));
    }
}

TokenGrant RateService::grantLocally(const TokenAsk &ask, const std::string &asking)
{
    TimePoint now = steadyNow();
    if (RankedShares *ranked = std::get_if<RankedShares>(&m_assignment))
        ranked->holders.onAsked(now, ask.share, asking);
    TokenGrant grant {ask.sequence, ask.share, {}, RateShare::grantLifetime};
    std::optional<TimePoint> since = heldSince(ask.share);
    auto held = m_shares.find(ask.share);
    if (held != m_shares.end() && (!since || held->second.since != *since)) {
        m_shares.erase(held);
        held = m_shares.end();
    }
    if (since && held == m_shares.end())
        held = m_shares.emplace(ask.share, HeldShare {*since, RateShare(*since)}).first;
    const Policy &policy = m_policy.policy();
    double part = mintedFraction(ask.share);
    for (const TokenAmount &wanted : ask.wanted) {
        TeamPolicy team = policy.team(wanted.team);
        std::vector<std::uint32_t> shares = sharesOfTeam(wanted.team, team, policy.defaults);
        bool mintsHere = std::find(shares.begin(), shares.end(), ask.share) != shares.end();
        team.ratePerSecond *= part;
        team.burst *= part;
        GrantedTokens granted {wanted.team, 0, 0};
        if (since && mintsHere)
            granted = held->second.share.grant(now, wanted.team, team,
                                               static_cast<int>(shares.size()), wanted.tokens);
        grant.granted.push_back(std::move(granted));
    }
    return grant;
}

void RateService::onDatagram(const Datagram &datagram)
{
    if (const TokenAsk *ask = std::get_if<TokenAsk>(&datagram.body)) {
        m_gossip.send(
            {datagram.senderEndpoint, m_membership.frame(grantLocally(*ask, datagram.sender))});
    } else if (const TokenGrant *grant = std::get_if<TokenGrant>(&datagram.body)) {
        if (RankedShares *ranked = std::get_if<RankedShares>(&m_assignment))
            ranked->holders.onAnswer(datagram.sender);
        m_purse.onGrant(steadyNow(), *grant);
        wakeWaiters();
    }
}

void RateService::wakeWaiters()
{
    m_granted.cancel();
}

} // namespace ibiswell
