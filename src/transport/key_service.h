#pragma once

#include "asio.h"
#include "node_state.h"
#include "peer_connection_pool.h"

#include "ibiswell/decisions/entry_admission.h"
#include "ibiswell/decisions/key_registry.h"
#include "ibiswell/decisions/lease_manager.h"
#include "ibiswell/decisions/membership.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/kernel/kernel.h"

namespace ibiswell {

/** Claims idempotency keys at their owners before requests run, and decides claims as an owner. */
class KeyService
{
public:
    /** Looks up "node", "policy", "membership", "leases", "key-registry" and "peer-links". */
    KeyService(Kernel &kernel, asio::io_context &context);

    /** Claims the request's key at its owner. */
    Task<KeyClaimResponse> claim(AdmittedRequest admitted);
    /** Reports the result of the request to the owner, without waiting for the delivery. */
    void settle(const AdmittedRequest &admitted, const CallResult &result);

    /** Decides a claim as the owner of its key. */
    KeyClaimResponse claimLocally(const KeyClaim &claim);
    /** Stores the result of a request as the owner of its key. */
    KeySettlementResponse settleLocally(const KeySettlement &settlement);

private:
    /** Number of the lease whose holder owns the key. */
    std::uint32_t leaseOfKey(const std::string &team, const std::string &key) const;
    Task<void> sendSettlement(Endpoint owner, KeySettlement settlement);

    asio::io_context &m_context;
    NodeState &m_node;
    PolicyStore &m_policy;
    Membership &m_membership;
    LeaseManager &m_leases;
    KeyRegistry &m_registry;
    PeerConnectionPool &m_connections;
};

} // namespace ibiswell
