#pragma once

#include "asio.h"
#include "gossip.h"
#include "node_state.h"

#include "ibiswell/decisions/lease_keeper.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/ranked_holders.h"
#include "ibiswell/decisions/rate_share.h"
#include "ibiswell/decisions/token_purse.h"
#include "ibiswell/kernel/kernel.h"

#include <map>
#include <variant>

namespace ibiswell {

/** Which node mints the tokens of a share: the one that holds its lease in the platform. */
struct LeasedShares
{
    LeaseKeeper *leases;
};

/** Which node mints the tokens of a share: the one that ranks first and answers. */
struct RankedShares
{
    RankedHolders holders;
    AloneBucket alone;
};

using ShareAssignment = std::variant<LeasedShares, RankedShares>;

/**
 * Holds requests to their team's rate over all VMs: spends tokens for the requests that enter
 * here, and grants tokens out of the shares that this node holds.
 */
class RateService
{
public:
    /** Looks up "node", "policy", "membership", "purse" and "gossip". */
    RateService(Kernel &kernel, asio::io_context &context, ShareAssignment holding);

    /** Nothing when the request is within its team's rate, else why it is refused. */
    Task<std::optional<Refusal>> acquireToken(std::string team);

    /** Keeps the stock of tokens ahead of the demand; runs until the node stops. */
    Task<void> replenishTokens();

private:
    void onDatagram(const Datagram &datagram);
    TokenGrant grantLocally(const TokenAsk &ask, const std::string &asking);
    void sendTokenRequests();
    void sendTokenRequest(SendTokenAsk ask);
    /** Asks for nothing, so that the holders know which nodes count on them. */
    void announcePresence();
    const Member *holderOf(std::uint32_t share);
    std::optional<TimePoint> heldSince(std::uint32_t share);
    /** The part of a share's rate that this node mints. */
    double mintedFraction(std::uint32_t share);
    /** What is left to a request when no holder answers. */
    std::optional<Refusal> acquireLocalToken(const std::string &team, Refusal refusal);
    std::optional<int> distanceTo(std::uint32_t share);
    void wakeWaiters();

    asio::io_context &m_context;
    NodeState &m_node;
    PolicyStore &m_policy;
    Membership &m_membership;
    ShareAssignment m_assignment;
    TokenPurse &m_purse;
    Gossip &m_gossip;
    struct HeldShare
    {
        TimePoint since;
        RateShare share;
    };
    std::map<std::uint32_t, HeldShare> m_shares;
    TimePoint m_lastPresenceAt;
    std::uint64_t m_nextPresence = 0;
    asio::steady_timer m_granted; ///< Cancelled to wake the requests that wait for a grant.
};

} // namespace ibiswell
