#include "rate_service.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration maximumTokenWait = 150ms;
constexpr Duration recheckInterval = 10ms; // while a request waits for a grant
constexpr Duration replenishInterval = 20ms;
constexpr Duration presenceInterval = 500ms;
/** Sequence numbers from here on belong to presence announcements, lower ones to token requests. */
constexpr std::uint64_t firstPresenceSequence = std::uint64_t {1} << 63;

Refusal refusalFor(ErrorKind kind)
{
    std::string detail = kind == ErrorKind::RateExceeded
        ? "the team exceeds its rate and burst over all VMs"
        : "no holder of the team's rate responded";
    return {kind, std::move(detail), Execution::NotRun};
}

} // namespace

RateService::RateService(Kernel &kernel, asio::io_context &context, ShareAssignment assignment)
    : m_context(context)
    , m_node(kernel.get<NodeState>("node"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_assignment(std::move(assignment))
    , m_tokenCache(kernel.get<TokenCache>("purse"))
    , m_gossip(kernel.get<Gossip>("gossip"))
    , m_grantTimer(context, std::chrono::steady_clock::time_point::max())
{
    m_gossip.setTokenHandler([this](const Datagram &datagram) { onDatagram(datagram); });
}

Task<std::optional<Refusal>> RateService::acquireToken(std::string team)
{
    if (m_policy.policy().team(team).unlimited)
        co_return std::nullopt;
    TokenDecision decision = m_tokenCache.spend(steadyNow(), team);
    TimePoint waitUntil = steadyNow() + maximumTokenWait;
    bool isWaiting = std::holds_alternative<TokenPending>(decision);
    struct WaitGuard
    {
        TokenCache &tokenCache;
        const std::string &team;
        bool isWaiting;
        ~WaitGuard()
        {
            if (isWaiting)
                tokenCache.cancelPending(team);
        }
    } guard {m_tokenCache, team, isWaiting};
    while (std::holds_alternative<TokenPending>(decision) && steadyNow() < waitUntil) {
        sendTokenRequests();
        auto woken = m_grantTimer.async_wait(asResult);
        co_await withTimeout(std::move(woken), recheckInterval);
        decision = m_tokenCache.spendPending(steadyNow(), team);
        guard.isWaiting = std::holds_alternative<TokenPending>(decision);
    }
    if (std::holds_alternative<TokenSpent>(decision))
        co_return std::nullopt;
    const TokenRefused *refused = std::get_if<TokenRefused>(&decision);
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
    double fraction = ranked->holders.isolatedFraction(now, m_membership.activeMembers().size());
    bool spent = ranked->localBuckets.spend(now, team, policy.ratePerSecond * fraction,
                                            policy.burst * fraction);
    return spent ? std::nullopt : std::optional(std::move(refusal));
}

Task<void> RateService::replenishTokens()
{
    for (;;) {
        co_await sleepFor(replenishInterval);
        if (m_tokenCache.teamCount() > 0)
            sendTokenRequests();
        if (std::holds_alternative<RankedShares>(m_assignment)
            && steadyNow() - m_lastPresenceAt >= presenceInterval)
            announcePresence();
    }
}

const Member *RateService::holderOf(std::uint32_t share)
{
    struct FindHolder
    {
        RateService &service;
        std::uint32_t share;
        const Member *operator()(const LeasedShares &) const
        {
            return service.m_membership.holderOf(share);
        }
        const Member *operator()(const RankedShares &ranked) const
        {
            return ranked.holders.holderOf(steadyNow(), share,
                                           service.m_membership.activeMembers());
        }
    };
    return std::visit(FindHolder {*this, share}, m_assignment);
}

std::optional<TimePoint> RateService::heldSince(std::uint32_t share)
{
    struct FindSince
    {
        std::uint32_t share;
        std::optional<TimePoint> operator()(const LeasedShares &leased) const
        {
            std::optional<TimePoint> since = leased.leases->heldSince(steadyNow(), share);
            // All grants of a previous holder expire before this one issues its first token.
            return since ? std::optional(*since + 2 * RateShare::grantLifetime) : std::nullopt;
        }
        std::optional<TimePoint> operator()(const RankedShares &ranked) const
        {
            return ranked.holders.heldSince(steadyNow(), share);
        }
    };
    return std::visit(FindSince {share}, m_assignment);
}

double RateService::issuedFraction(std::uint32_t share)
{
    RankedShares *ranked = std::get_if<RankedShares>(&m_assignment);
    return ranked
        ? ranked->holders.rateFraction(steadyNow(), share, m_membership.activeMembers().size())
        : 1;
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
    std::map<std::uint32_t, std::optional<int>> distances; // ranked once for all teams
    auto distance = [&](std::uint32_t share) {
        auto [it, isNew] = distances.try_emplace(share);
        if (isNew)
            it->second = distanceTo(share);
        return it->second;
    };
    std::vector<SendTokenRequest> requests =
        m_tokenCache.takeRequests(steadyNow(), m_policy.policy(), distance);
    for (SendTokenRequest &request : requests)
        sendTokenRequest(std::move(request));
}

void RateService::sendTokenRequest(SendTokenRequest request)
{
    const Member *holder = holderOf(request.share);
    if (!holder)
        return;
    if (holder->node == m_node.settings.node) {
        m_tokenCache.onGrant(steadyNow(), grantLocally(request.request, m_node.settings.node));
        wakeWaiters();
        return;
    }
    if (RankedShares *ranked = std::get_if<RankedShares>(&m_assignment))
        ranked->holders.onRequestSent(steadyNow(), holder->node);
    m_gossip.send({holder->endpoint, m_membership.makeDatagram(std::move(request.request))});
}

void RateService::announcePresence()
{
    m_lastPresenceAt = steadyNow();
    int shares = m_policy.policy().defaults.rateShares;
    for (int share = 0; share < shares; ++share) {
        SendTokenRequest request {static_cast<std::uint32_t>(share), {}};
        request.request.share = request.share;
        // The token cache ignores the grant, since none of its own requests has this sequence
        // number.
        request.request.sequence = firstPresenceSequence + m_nextPresence++;
        sendTokenRequest(std::move(request));
    }
}

TokenGrant RateService::grantLocally(const TokenRequest &request, const std::string &requester)
{
    TimePoint now = steadyNow();
    if (RankedShares *ranked = std::get_if<RankedShares>(&m_assignment))
        ranked->holders.onRequestReceived(now, request.share, requester);
    TokenGrant grant {request.sequence, request.share, {}, RateShare::grantLifetime};
    std::optional<TimePoint> since = heldSince(request.share);
    auto heldShare = m_shares.find(request.share);
    if (heldShare != m_shares.end() && (!since || heldShare->second.since != *since)) {
        m_shares.erase(heldShare);
        heldShare = m_shares.end();
    }
    if (since && heldShare == m_shares.end())
        heldShare = m_shares.emplace(request.share, HeldShare {*since, RateShare(*since)}).first;
    const Policy &policy = m_policy.policy();
    double fraction = issuedFraction(request.share);
    for (const TokenAmount &wanted : request.wanted) {
        TeamPolicy team = policy.team(wanted.team);
        std::vector<std::uint32_t> shares = sharesOfTeam(wanted.team, team, policy.defaults);
        bool issuesHere = std::find(shares.begin(), shares.end(), request.share) != shares.end();
        team.ratePerSecond *= fraction;
        team.burst *= fraction;
        GrantedTokens tokens {wanted.team, 0, 0};
        if (since && issuesHere)
            tokens = heldShare->second.share.grant(now, wanted.team, team,
                                                   static_cast<int>(shares.size()), wanted.tokens);
        grant.granted.push_back(std::move(tokens));
    }
    return grant;
}

void RateService::onDatagram(const Datagram &datagram)
{
    if (const TokenRequest *request = std::get_if<TokenRequest>(&datagram.body)) {
        m_gossip.send({datagram.senderEndpoint,
                       m_membership.makeDatagram(grantLocally(*request, datagram.sender))});
    } else if (const TokenGrant *grant = std::get_if<TokenGrant>(&datagram.body)) {
        if (RankedShares *ranked = std::get_if<RankedShares>(&m_assignment))
            ranked->holders.onResponse(datagram.sender);
        m_tokenCache.onGrant(steadyNow(), *grant);
        wakeWaiters();
    }
}

void RateService::wakeWaiters()
{
    m_grantTimer.cancel();
}

} // namespace ibiswell
