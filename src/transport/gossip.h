#pragma once

#include "asio.h"
#include "node_state.h"
#include "peer_connection_pool.h"

#include "ibiswell/decisions/connectivity_monitor.h"
#include "ibiswell/decisions/membership.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/router.h"
#include "ibiswell/decisions/store_confirmation.h"
#include "ibiswell/decisions/store_era.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/log.h"
#include "ibiswell/transport/metrics.h"

#include <functional>

namespace ibiswell {

/** Carries the membership protocol's datagrams, and pulls newer policies that they announce. */
class Gossip
{
public:
    /** Called with each received datagram, to handle those that carry tokens. */
    using TokenHandler = std::function<void(const Datagram &datagram)>;
    /** Called when another node states that it knows a change of what the store holds. */
    using ChangeListener = std::function<void(StoreTopic topic)>;

    /**
     * Looks up "node", "membership", "router", "contact", "policy", "peer-links", "log" and
     * "metrics", and "store-confirmation" and "store-era" if there are.
     */
    Gossip(Kernel &kernel, asio::io_context &context);

    bool listen(const Endpoint &endpoint);
    void setTokenHandler(TokenHandler handler) { m_tokenHandler = std::move(handler); }
    void setChangeListener(ChangeListener listener) { m_changeListener = std::move(listener); }
    /** Sends a datagram, with what this node knows of the store at this moment. */
    void send(const SendDatagram &effect);
    void apply(const MembershipEffects &effects);

    /**
     * Joins the fleet through @p node: merges its roster and pulls its policy. False when it does
     * not respond.
     */
    Task<bool> joinVia(Endpoint node);
    /** Merges members that another node reported. */
    void mergeMembers(const std::vector<Member> &members);
    /** Sends @p body to one member. */
    void sendTo(const Endpoint &member, GossipBody body);
    /** Adopts zones out of service that were read from the store or from another node. */
    ZonesUpdate adoptZones(const ZonesOut &zones);
    /**
     * Tells @p watchers and a few members at once how recently this node knew what the store holds.
     */
    void spreadStoreKnowledge(const std::vector<Endpoint> &watchers);
    /** Notifies others of the policy, after a newer one was adopted. */
    void onPolicyAdopted();
    /** Announces whether the local target takes work. */
    void announceTakesWork(bool takesWork);
    /** Announces that the load last reported for the local target is outdated. */
    void announceUpdate();
    /** Announces that this node is leaving the fleet. */
    void announceLeaving();
    /** Announces the leases that this node holds. */
    void announceLeases(std::vector<std::uint32_t> leases);

    const std::optional<Error> &lastError() const { return m_lastError; }

private:
    Task<void> receiveLoop();
    void receivePending(std::string &buffer);
    Task<void> probeLoop();
    Task<void> pullPolicy(Endpoint from);
    void receive(std::string_view bytes);
    /** Takes what a datagram states of the store; returns whether its sender knows more. */
    bool takeStoreStatement(const Datagram &datagram);
    void onBehind(StoreTopic topic);
    /** What this node knows of the store now, and how recently it knew that it has all. */
    StoreStatement storeStatement() const;

    asio::io_context &m_context;
    NodeState &m_node;
    Membership &m_membership;
    Router &m_router;
    ConnectivityMonitor &m_connectivity;
    PolicyStore &m_policy;
    PeerConnectionPool &m_connections;
    Log &m_log;
    StoreConfirmation *m_confirmation; ///< Null where no store is followed.
    StoreEra *m_era; ///< Null where no store is followed.
    Metrics &m_metrics;
    udp::socket m_socket;
    TokenHandler m_tokenHandler;
    ChangeListener m_changeListener;
    bool m_pulling = false;
    std::optional<Error> m_lastError;
};

} // namespace ibiswell
