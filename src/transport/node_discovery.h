#pragma once

#include "asio.h"
#include "gossip.h"
#include "node_state.h"
#include "object_store_client.h"
#include "store_sync.h"

#include "ibiswell/decisions/membership.h"
#include "ibiswell/decisions/store_era.h"
#include "ibiswell/kernel/kernel.h"

namespace ibiswell {

/** Registers a node in the object store, and finds the other nodes that registered there. */
class NodeDiscovery
{
public:
    /**
     * Looks up "node", "membership", "store-era", "object-store", "store-sync", "gossip" and
     * "log".
     */
    explicit NodeDiscovery(Kernel &kernel);

    /**
     * Registers this node, again where the store has lost its object, and periodically joins listed
     * nodes; runs until the node stops.
     */
    Task<void> discoverNodes();
    /** Removes this node's object from the store, for a planned stop. */
    Task<bool> deregister();

private:
    Task<void> registerSelf();
    bool isRegistered() const;
    Task<void> joinNode(Endpoint endpoint);
    Task<bool> joinListedNodes(Freshness freshness);
    /** Waits for the next look at the registered nodes; sooner when the store has come back. */
    Task<void> awaitNextDiscovery();

    NodeState &m_node;
    Membership &m_membership;
    StoreEra &m_era;
    ObjectStoreClient &m_store;
    StoreSync &m_sync;
    Gossip &m_gossip;
    Log &m_log;
    /** The era in which the store is known to hold this node's object. */
    std::optional<std::uint64_t> m_registeredEra;
    TimePoint m_registeredAt;
};

} // namespace ibiswell
