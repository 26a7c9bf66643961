#pragma once

#include "asio.h"
#include "gossip.h"
#include "node_state.h"

#include "ibiswell/decisions/lease_keeper.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/rate_share.h"
#include "ibiswell/decisions/token_purse.h"
#include "ibiswell/kernel/kernel.h"

#include <map>

namespace ibiswell {

/**
 * Holds requests to their team's rate over all VMs: spends tokens for the requests that enter
 * here, and grants tokens out of the shares whose leases this node holds.
 */
class RateService
{
public:
    /** Looks up "node", "policy", "membership", "leases", "purse" and "gossip". */
    RateService(Kernel &kernel, asio::io_context &context);

    /** Nothing when the request is within its team's rate, else why it is refused. */
    Task<std::optional<Refusal>> pass(std::string team);

    /** Keeps the stock of tokens ahead of the demand; runs until the node stops. */
    Task<void> keepStock();

private:
    void onDatagram(const Datagram &datagram);
    TokenGrant grantHere(const TokenAsk &ask);
    void sendAsks();
    std::optional<int> distanceTo(std::uint32_t share) const;
    void wakeWaiting();

    asio::io_context &m_context;
    NodeState &m_node;
    PolicyStore &m_policy;
    Membership &m_membership;
    LeaseKeeper &m_leases;
    TokenPurse &m_purse;
    Gossip &m_gossip;
    struct HeldShare
    {
        TimePoint since;
        RateShare share;
    };
    std::map<std::uint32_t, HeldShare> m_shares;
    asio::steady_timer m_granted; ///< Cancelled to wake the requests that wait for a grant.
};

} // namespace ibiswell
