#pragma once

#include "asio.h"
#include "gossip.h"
#include "node_state.h"
#include "platform_client.h"

#include "ibiswell/decisions/lease_manager.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/kernel/kernel.h"

namespace ibiswell {

/**
 * Acquires and renews the leases of this node at the platform and announces them by gossip.
 *
 * The lowest lease numbers stand for the rate shares, the following ones for the ranges of
 * idempotency keys.
 */
class LeaseService
{
public:
    /** Looks up "node", "policy", "membership", "leases", "platform" and "gossip". */
    LeaseService(Kernel &kernel, asio::io_context &context);

    /** Acquires and renews leases until the node stops. */
    Task<void> maintain();
    /** Releases all leases, for a planned stop. */
    Task<void> release();

private:
    Task<void> execute(LeaseEffect effect);
    Task<void> read(std::uint32_t lease);
    Task<void> write(WriteLease effect);
    /** Executes each effect in a task of its own. */
    void spawn(std::vector<LeaseEffect> effects);

    asio::io_context &m_context;
    NodeState &m_node;
    PolicyStore &m_policy;
    Membership &m_membership;
    LeaseManager &m_leases;
    PlatformClient &m_platform;
    Gossip &m_gossip;
};

} // namespace ibiswell
