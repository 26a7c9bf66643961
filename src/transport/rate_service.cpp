#include "rate_service.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration longestWaitForToken = 150ms;
constexpr Duration stockInterval = 10ms;

Refusal refusalFor(ErrorKind kind)
{
    std::string detail = kind == ErrorKind::RateExceeded
        ? "the team is over its rate and burst over all VMs"
        : "no holder of the team's rate answered";
    return {kind, std::move(detail), Execution::NotRun};
}

} // namespace

RateService::RateService(Kernel &kernel, asio::io_context &context)
    : m_context(context)
    , m_node(kernel.get<NodeState>("node"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_leases(kernel.get<LeaseKeeper>("leases"))
    , m_purse(kernel.get<TokenPurse>("purse"))
    , m_gossip(kernel.get<Gossip>("gossip"))
    , m_granted(context, std::chrono::steady_clock::time_point::max())
{
    m_gossip.setTokenHandler([this](const Datagram &datagram) { onDatagram(datagram); });
}

Task<std::optional<Refusal>> RateService::pass(std::string team)
{
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
        sendAsks();
        auto woken = m_granted.async_wait(asResult);
        co_await withTimeout(std::move(woken), stockInterval);
        verdict = m_purse.spendWaiting(steadyNow(), team);
        guard.waits = std::holds_alternative<TokenPending>(verdict);
    }
    if (std::holds_alternative<TokenSpent>(verdict))
        co_return std::nullopt;
    if (const TokenRefused *refused = std::get_if<TokenRefused>(&verdict))
        co_return refusalFor(refused->kind);
    co_return refusalFor(ErrorKind::RateUnconfirmed);
}

Task<void> RateService::keepStock()
{
    for (;;) {
        co_await sleepFor(stockInterval);
        if (m_purse.teamCount() > 0)
            sendAsks();
    }
}

std::optional<int> RateService::distanceTo(std::uint32_t share) const
{
    const Member *holder = m_membership.holderOf(share);
    if (!holder)
        return std::nullopt;
    if (holder->node == m_node.settings.node)
        return 0;
    return holder->zone == m_node.settings.zone ? 1 : 2;
}

void RateService::sendAsks()
{
    auto distance = [this](std::uint32_t share) { return distanceTo(share); };
    std::vector<SendTokenAsk> asks = m_purse.takeAsks(steadyNow(), m_policy.policy(), distance);
    for (SendTokenAsk &ask : asks) {
        const Member *holder = m_membership.holderOf(ask.share);
        if (!holder)
            continue;
        if (holder->node == m_node.settings.node) {
            m_purse.onGrant(steadyNow(), grantHere(ask.ask));
            wakeWaiting();
        } else {
            m_gossip.send({holder->endpoint, m_membership.frame(std::move(ask.ask))});
        }
    }
}

TokenGrant RateService::grantHere(const TokenAsk &ask)
{
    TimePoint now = steadyNow();
    TokenGrant grant {ask.sequence, ask.share, {}, RateShare::grantLifetime};
    std::optional<TimePoint> since = m_leases.heldSince(now, ask.share);
    auto held = m_shares.find(ask.share);
    if (held != m_shares.end() && (!since || held->second.since != *since)) {
        m_shares.erase(held);
        held = m_shares.end();
    }
    if (since && held == m_shares.end()) {
        // All grants of a former holder lapse before this one mints its first token.
        TimePoint from = *since + 2 * RateShare::grantLifetime;
        held = m_shares.emplace(ask.share, HeldShare {*since, RateShare(from)}).first;
    }
    const Policy &policy = m_policy.policy();
    for (const TokenAmount &wanted : ask.wanted) {
        const TeamPolicy &team = policy.team(wanted.team);
        std::vector<std::uint32_t> shares =
            sharesOfTeam(wanted.team, team, policy.defaults.rateShares);
        bool mintsHere = std::find(shares.begin(), shares.end(), ask.share) != shares.end();
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
        m_gossip.send({datagram.senderEndpoint, m_membership.frame(grantHere(*ask))});
    } else if (const TokenGrant *grant = std::get_if<TokenGrant>(&datagram.body)) {
        m_purse.onGrant(steadyNow(), *grant);
        wakeWaiting();
    }
}

void RateService::wakeWaiting()
{
    m_granted.cancel();
}

} // namespace ibiswell
