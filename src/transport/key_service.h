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

/** Claims idempotency keys at their owners before requests run, and grants claims as an owner. */
class KeyService
{
public:
    /** Looks up "node", "policy", "membership", "leases", "key-registry" and "peer-links". */
    KeyService(Kernel &kernel, asio::io_context &context);

    /** Claims the request's key at its owner. */
    Task<KeyClaimResponse> claim(AdmittedRequest entered);
    /** Reports the result of the request to the owner, without waiting for the delivery. */
    void settle(const AdmittedRequest &entered, const CallResult &result);

    KeyClaimResponse claimLocally(const KeyClaim &claim);
    KeySettlementResponse settleLocally(const KeySettlement &settled);

private:
    std::uint32_t leaseOfKey(const std::string &team, const std::string &key) const;
    Task<void> sendSettled(Endpoint owner, KeySettlement settled);

    asio::io_context &m_context;
    NodeState &m_node;
    PolicyStore &m_policy;
    Membership &m_membership;
    LeaseManager &m_leases;
    KeyRegistry &m_registry;
    PeerConnectionPool &m_links;
};

} // namespace ibiswell
