#pragma once

#include "asio.h"
#include "gossip.h"
#include "node_state.h"

#include "ibiswell/decisions/lease_manager.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/ranked_holders.h"
#include "ibiswell/decisions/rate_share.h"
#include "ibiswell/decisions/token_cache.h"
#include "ibiswell/kernel/kernel.h"

#include <map>
#include <variant>

namespace ibiswell {

/** The tokens of a share are issued by the node that holds its lease in the platform. */
struct LeasedShares
{
    LeaseManager *leases;
};

/** The tokens of a share are issued by the highest-ranked node that responds. */
struct RankedShares
{
    RankedHolders holders;
    LocalTokenBuckets localBuckets; ///< Used when no holder responds.
};

/** Determines which node issues the tokens of a share. */
using ShareAssignment = std::variant<LeasedShares, RankedShares>;

/**
 * Limits the requests of each team to its rate over all VMs: spends tokens for the requests that
 * enter at this node, and grants tokens from the shares that this node holds.
 */
class RateService
{
public:
    /** Looks up "node", "policy", "membership", "purse" and "gossip". */
    RateService(Kernel &kernel, asio::io_context &context, ShareAssignment assignment);

    /**
     * Spends a token of @p team. Waits a short time for a grant when no token is at hand; returns a
     * refusal when none arrives.
     */
    Task<std::optional<Refusal>> acquireToken(std::string team);

    /** Requests tokens ahead of the demand; runs until the node stops. */
    Task<void> replenishTokens();

private:
    void onDatagram(const Datagram &datagram);
    TokenGrant grantLocally(const TokenRequest &request, const std::string &requester);
    void sendTokenRequests();
    void sendTokenRequest(SendTokenRequest request);
    /** Sends empty token requests, so that the holders know which nodes rely on them. */
    void announcePresence();
    const Member *holderOf(std::uint32_t share);
    /**
     * From when this node issues the tokens of a share; nullopt when it does not hold the share.
     */
    std::optional<TimePoint> heldSince(std::uint32_t share);
    /** The fraction of a share's rate that this node issues. */
    double issuedFraction(std::uint32_t share);
    /** Spends a token from this node's own fraction of the rate when no holder responds. */
    std::optional<Refusal> acquireLocalToken(const std::string &team, Refusal refusal);
    /** 0: the holder is this node, 1: in the same zone, 2: in another zone; nullopt: unknown. */
    std::optional<int> distanceTo(std::uint32_t share);
    void wakeWaiters();

    asio::io_context &m_context;
    NodeState &m_node;
    PolicyStore &m_policy;
    Membership &m_membership;
    ShareAssignment m_assignment;
    TokenCache &m_tokenCache;
    Gossip &m_gossip;
    struct HeldShare
    {
        TimePoint since; ///< From when this node issues the tokens of the share.
        RateShare share;
    };
    std::map<std::uint32_t, HeldShare> m_shares; ///< Keyed by the number of the share.
    TimePoint m_lastPresenceAt;
    std::uint64_t m_nextPresence = 0;
    asio::steady_timer m_grantTimer; ///< Cancelled to wake the requests that wait for a grant.
};

} // namespace ibiswell
