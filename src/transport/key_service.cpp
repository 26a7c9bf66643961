#include "key_service.h"

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration claimTimeout = 1s;
constexpr int settleAttempts = 3;
constexpr Duration settleRetryDelay = 200ms;

Refusal ownerUnknown(std::string detail)
{
    return {ErrorKind::KeyOwnerUnknown, std::move(detail), Execution::NotRun};
}

} // namespace

KeyService::KeyService(Kernel &kernel, asio::io_context &context)
    : m_context(context)
    , m_node(kernel.get<NodeState>("node"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_leases(kernel.get<LeaseManager>("leases"))
    , m_registry(kernel.get<KeyRegistry>("key-registry"))
    , m_connections(kernel.get<PeerConnectionPool>("peer-links"))
{
}

std::uint32_t KeyService::leaseOfKey(const std::string &team, const std::string &key) const
{
    const FleetDefaults &defaults = m_policy.policy().defaults;
    return static_cast<std::uint32_t>(defaults.rateShares)
        + keyRangeOf(team, key, defaults.keyRanges);
}

KeyClaimResponse KeyService::claimLocally(const KeyClaim &claim)
{
    TimePoint now = steadyNow();
    std::optional<TimePoint> since = m_leases.heldSince(now, leaseOfKey(claim.team, claim.key));
    if (!since)
        return {ownerUnknown("the node that received the claim does not own the key")};
    return m_registry.claim(now, *since, claim);
}

KeySettlementResponse KeyService::settleLocally(const KeySettlement &settlement)
{
    m_registry.settle(steadyNow(), settlement);
    return {};
}

Task<KeyClaimResponse> KeyService::claim(AdmittedRequest admitted)
{
    KeyClaim claim {admitted.context.team, admitted.idempotencyKey, admitted.firstAttempt};
    const Member *owner = m_membership.holderOf(leaseOfKey(claim.team, claim.key));
    if (!owner)
        co_return KeyClaimResponse {ownerUnknown("no owner of the idempotency key is known")};
    if (owner->node == m_node.settings.node)
        co_return claimLocally(claim);
    PeerMessage request(std::move(claim));
    PeerReply reply =
        co_await m_connections.exchange(owner->endpoint, std::move(request), claimTimeout);
    PeerMessage *message = std::get_if<PeerMessage>(&reply);
    KeyClaimResponse *response = message ? std::get_if<KeyClaimResponse>(message) : nullptr;
    // If only the response was lost, the key stays claimed although its request did not run: the
    // owner does not grant it again.
    if (!response)
        co_return KeyClaimResponse {
            ownerUnknown("the owner of the idempotency key did not respond")};
    co_return std::move(*response);
}

void KeyService::settle(const AdmittedRequest &admitted, const CallResult &result)
{
    KeySettlement settlement {admitted.context.team, admitted.idempotencyKey, result};
    const Member *owner = m_membership.holderOf(leaseOfKey(settlement.team, settlement.key));
    if (!owner)
        return;
    if (owner->node == m_node.settings.node) {
        settleLocally(settlement);
        return;
    }
    asio::co_spawn(m_context, sendSettlement(owner->endpoint, std::move(settlement)),
                   asio::detached);
}

Task<void> KeyService::sendSettlement(Endpoint owner, KeySettlement settlement)
{
    PeerMessage request(std::move(settlement));
    for (int attempt = 0; attempt < settleAttempts; ++attempt) {
        PeerReply reply = co_await m_connections.exchange(owner, request, claimTimeout);
        if (std::holds_alternative<PeerMessage>(reply))
            co_return;
        co_await sleepFor(settleRetryDelay);
    }
}

} // namespace ibiswell
