#pragma once

#include "asio.h"
#include "node_state.h"
#include "peer_connection_pool.h"

#include "ibiswell/decisions/contact.h"
#include "ibiswell/decisions/membership.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/router.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/log.h"
#include "ibiswell/transport/metrics.h"

#include <functional>

namespace ibiswell {

/** Carries the membership's datagrams, and the news of policies that come with them. */
class Gossip
{
public:
    /** Takes a datagram whose body is not the membership's own. */
    using TokenHandler = std::function<void(const Datagram &datagram)>;

    /**
     * Looks up "node", "membership", "router", "contact", "policy", "peer-links", "log" and
     * "metrics".
     */
    Gossip(Kernel &kernel, asio::io_context &context);

    bool listen(const Endpoint &endpoint);
    void setTokenHandler(TokenHandler handler) { m_tokenHandler = std::move(handler); }
    void send(const SendDatagram &effect);
    void apply(const MembershipEffects &effects);

    /** Joins by a node's roster; false when it did not answer. */
    Task<bool> joinVia(Endpoint node);
    /** Takes in members that a store or another node told of. */
    void mergeMembers(const std::vector<Member> &members);
    /** Sends @p body to one member. */
    void sendTo(const Endpoint &member, GossipBody body);
    /** Takes zones out that came from the store or a peer; tells others when they are newer. */
    void onZonesAdopted();
    /** Takes a policy that came from the platform or a peer; tells others when it is newer. */
    void onPolicyAdopted();
    /** Announces whether the target here takes work. */
    void announceWork(bool takesWork);
    /** Announces that the load reported by the target here no longer holds. */
    void announceChange();
    /** Announces that this node leaves. */
    void announceLeaving();
    void announceLeases(std::vector<std::uint32_t> leases);

    const std::optional<Error> &lastError() const { return m_lastError; }

private:
    Task<void> receiveLoop();
    Task<void> probeLoop();
    Task<void> pullPolicy(Endpoint from);
    void receive(std::string_view bytes);

    asio::io_context &m_context;
    NodeState &m_node;
    Membership &m_membership;
    Router &m_router;
    Contact &m_connectivity;
    PolicyStore &m_policy;
    PeerConnectionPool &m_connections;
    Log &m_log;
    Metrics &m_metrics;
    udp::socket m_socket;
    TokenHandler m_tokenHandler;
    bool m_pulling = false;
    std::optional<Error> m_lastError;
};

} // namespace ibiswell
