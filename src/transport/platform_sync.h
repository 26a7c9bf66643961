#pragma once

#include "asio.h"
#include "gossip.h"
#include "node_state.h"
#include "platform_client.h"

#include "ibiswell/decisions/contact.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/log.h"

namespace ibiswell {

/** Joins the fleet by the platform's contacts and, on a few nodes, watches it for the policy. */
class PlatformSync
{
public:
    /** Looks up "node", "policy", "membership", "contact", "platform", "gossip", "log". */
    explicit PlatformSync(Kernel &kernel);

    /** Joins other nodes and enters this one among the contacts when they are few. */
    Task<void> join();
    /** Watches the policy while this node is one of its zone's watchers, or has none. */
    Task<void> watchPolicy();

private:
    Task<std::vector<Endpoint>> fetchSeedNodes(std::uint64_t &version, bool &platformReachable);
    Task<void> registerAsSeed(std::uint64_t version, std::vector<Endpoint> responding);
    void adoptPolicy(const PlatformObject &object);

    NodeState &m_node;
    PolicyStore &m_policy;
    Membership &m_membership;
    Contact &m_connectivity;
    PlatformClient &m_platform;
    Gossip &m_gossip;
    Log &m_log;
    std::uint64_t m_seenVersion = 0; ///< Of the policy object, also when it was rejected.
};

} // namespace ibiswell
