#pragma once

#include "asio.h"
#include "gossip.h"
#include "node_state.h"
#include "object_store.h"

#include "ibiswell/decisions/connectivity_monitor.h"
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
    Task<void> findNodes();
    /** Takes this node's own object away; for a planned stop. */
    Task<bool> withdraw();

private:
    /** Objects of a kind and the revision at which they stood. */
    using Apply = void (StoreSync::*)(const std::vector<StoredObject> &objects, bool isWhole,
                                      std::uint64_t revision);

    Task<void> follow(std::string kind, Apply apply);
    Task<bool> announceSelf();
    Task<void> join(Endpoint contact);
    Task<bool> joinListed(Freshness freshness);
    void applyPolicy(const std::vector<StoredObject> &objects, bool isWhole,
                     std::uint64_t revision);
    void applyZones(const std::vector<StoredObject> &objects, bool isWhole, std::uint64_t revision);

    NodeState &m_node;
    PolicyStore &m_policy;
    Membership &m_membership;
    ConnectivityMonitor &m_contact;
    ObjectStore &m_store;
    Gossip &m_gossip;
    Log &m_log;
};

} // namespace ibiswell
