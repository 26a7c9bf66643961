#pragma once

#include "asio.h"
#include "node_state.h"
#include "peer_connection_pool.h"

#include "ibiswell/decisions/entry_admission.h"
#include "ibiswell/decisions/key_registry.h"
#include "ibiswell/decisions/lease_keeper.h"
#include "ibiswell/decisions/membership.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/kernel/kernel.h"

namespace ibiswell {

/** Asks the owner of an idempotency key before a request runs, and answers as the owner. */
class KeyService
{
public:
    /** Looks up "node", "policy", "membership", "leases", "key-registry" and "peer-links". */
    KeyService(Kernel &kernel, asio::io_context &context);

    /** What the owner of the request's key says. */
    Task<KeyClaimAnswer> claim(Entered entered);
    /** Tells the owner how the request ended, without waiting for it. */
    void settle(const Entered &entered, const CallResult &result);

    KeyClaimAnswer claimHere(const KeyClaim &claim);
    KeySettledAnswer settleHere(const KeySettled &settled);

private:
    std::uint32_t leaseOf(const std::string &team, const std::string &key) const;
    Task<void> sendSettled(Endpoint owner, KeySettled settled);

    asio::io_context &m_context;
    NodeState &m_node;
    PolicyStore &m_policy;
    Membership &m_membership;
    LeaseKeeper &m_leases;
    KeyRegistry &m_registry;
    PeerConnectionPool &m_links;
};

} // namespace ibiswell
