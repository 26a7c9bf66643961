#include "key_service.h"

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration claimLimit = 1s;
constexpr int settleTries = 3;
constexpr Duration pauseBetweenSettles = 200ms;

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
    , m_leases(kernel.get<LeaseKeeper>("leases"))
    , m_registry(kernel.get<KeyRegistry>("key-registry"))
    , m_links(kernel.get<PeerConnectionPool>("peer-links"))
{
}

std::uint32_t KeyService::leaseOf(const std::string &team, const std::string &key) const
{
    const FleetDefaults &defaults = m_policy.policy().defaults;
    return static_cast<std::uint32_t>(defaults.rateShares)
        + keyRangeOf(team, key, defaults.keyRanges);
}

KeyClaimAnswer KeyService::claimHere(const KeyClaim &claim)
{
    TimePoint now = steadyNow();
    std::optional<TimePoint> since = m_leases.heldSince(now, leaseOf(claim.team, claim.key));
    if (!since)
        return {ownerUnknown("the node asked does not own the key")};
    return m_registry.claim(now, *since, claim);
}

KeySettledAnswer KeyService::settleHere(const KeySettled &settled)
{
    m_registry.settle(steadyNow(), settled);
    return {};
}

Task<KeyClaimAnswer> KeyService::claim(Entered entered)
{
    KeyClaim claim {entered.context.team, entered.idempotencyKey, entered.firstAttempt};
    const Member *owner = m_membership.holderOf(leaseOf(claim.team, claim.key));
    if (!owner)
        co_return KeyClaimAnswer {ownerUnknown("no owner of the idempotency key is known")};
    if (owner->node == m_node.settings.node)
        co_return claimHere(claim);
    PeerMessage request(std::move(claim));
    PeerReply reply = co_await m_links.exchange(owner->endpoint, std::move(request), claimLimit);
    PeerMessage *message = std::get_if<PeerMessage>(&reply);
    KeyClaimAnswer *answer = message ? std::get_if<KeyClaimAnswer>(message) : nullptr;
    // A lost claim leaves the key claimed but not run: the owner will not grant it again.
    if (!answer)
        co_return KeyClaimAnswer {ownerUnknown("the owner of the idempotency key did not answer")};
    co_return std::move(*answer);
}

void KeyService::settle(const Entered &entered, const CallResult &result)
{
    KeySettled settled {entered.context.team, entered.idempotencyKey, result};
    const Member *owner = m_membership.holderOf(leaseOf(settled.team, settled.key));
    if (!owner)
        return;
    if (owner->node == m_node.settings.node) {
        settleHere(settled);
        return;
    }
    asio::co_spawn(m_context, sendSettled(owner->endpoint, std::move(settled)), asio::detached);
}

Task<void> KeyService::sendSettled(Endpoint owner, KeySettled settled)
{
    PeerMessage request(std::move(settled));
    for (int tries = 0; tries < settleTries; ++tries) {
        PeerReply reply = co_await m_links.exchange(owner, request, claimLimit);
        if (std::holds_alternative<PeerMessage>(reply))
            co_return;
        co_await sleepFor(pauseBetweenSettles);
    }
}

} // namespace ibiswell
