#pragma once

#include "asio.h"
#include "gossip.h"
#include "node_state.h"
#include "object_store_client.h"

#include "ibiswell/decisions/contact.h"
#include "ibiswell/decisions/membership.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/store_backoff.h"
#include "ibiswell/kernel/kernel.h"

namespace ibiswell {

/**
 * Keeps a node in step with an object store: the policy, the zones out of service, and the nodes
 * that made themselves known there.
 */
class StoreSync
{
public:
    /**
     * Looks up "node", "policy", "membership", "contact", "object-store", "gossip" and "log".
     */
    explicit StoreSync(Kernel &kernel);

    /** Follow the store until the node stops; each is a task of its own. */
    Task<void> followPolicy();
    Task<void> followZones();
    Task<void> discoverNodes();
    /** Takes this node's own object away; for a planned stop. */
    Task<bool> deregister();

private:
    /** Objects of a kind and the revision at which they stood. */
    using Apply = void (StoreSync::*)(const std::vector<StoredObject> &objects, bool isComplete,
                                      std::uint64_t revision);

    Task<void> follow(std::string kind, Apply apply);
    Task<bool> registerSelf();
    Task<void> joinNode(Endpoint endpoint);
    Task<bool> joinListedNodes(Freshness freshness);
    void applyPolicy(const std::vector<StoredObject> &objects, bool isComplete,
                     std::uint64_t revision);
    void applyZones(const std::vector<StoredObject> &objects, bool isComplete,
                    std::uint64_t revision);

    NodeState &m_node;
    PolicyStore &m_policy;
    Membership &m_membership;
    Contact &m_connectivity;
    ObjectStoreClient &m_store;
    Gossip &m_gossip;
    Log &m_log;
};

} // namespace ibiswell
