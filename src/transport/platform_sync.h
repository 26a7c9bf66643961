#pragma once

#include "asio.h"
#include "gossip.h"
#include "node_state.h"
#include "platform_client.h"

#include "ibiswell/decisions/connectivity_monitor.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/log.h"

namespace ibiswell {

/**
 * Joins the fleet through the seed nodes that the platform lists and, on a few nodes, watches the
 * platform for policy changes.
 */
class PlatformSync
{
public:
    /** Looks up "node", "policy", "membership", "contact", "platform", "gossip", "log". */
    explicit PlatformSync(Kernel &kernel);

    /** Joins through the seed nodes, and registers this node as one while there are few. */
    Task<void> join();
    /**
     * Watches the policy while this node is one of its zone's watchers, has no policy yet, or
     * receives nothing from other nodes.
     */
    Task<void> watchPolicy();

private:
    Task<std::vector<Endpoint>> fetchSeedNodes(std::uint64_t &version, bool &platformReachable);
    /**
     * Stores @p responding and this node as the seed nodes, unless there are enough; returns
     * whether the stored list names this node or needs no more. False: another node's write came
     * first, or the platform did not confirm the write.
     */
    Task<bool> registerAsSeed(std::uint64_t version, std::vector<Endpoint> listed,
                              std::vector<Endpoint> responding);
    void adoptPolicy(const PlatformObject &object);

    NodeState &m_node;
    PolicyStore &m_policy;
    Membership &m_membership;
    ConnectivityMonitor &m_connectivity;
    PlatformClient &m_platform;
    Gossip &m_gossip;
    Log &m_log;
    std::uint64_t m_seenVersion = 0; ///< Last version read of the policy object, even if rejected.
};

} // namespace ibiswell
