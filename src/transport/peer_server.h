#pragma once

#include "asio.h"
#include "peer_connection.h"

#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/log.h"

#include <set>

namespace ibiswell {

class Gossip;
class KeyService;
class Membership;
class PolicyStore;
class TargetService;

/** Serves other nodes over TCP: one task for each connection, one message at a time on it. */
class PeerServer
{
public:
    /** Looks up "target", "membership", "policy", "gossip", "log", "body-buffers" and, if
     * registered, "keys". */
    PeerServer(Kernel &kernel, asio::io_context &context);

    bool listen(const Endpoint &endpoint);
    void stop();
    const std::optional<Error> &lastError() const { return m_lastError; }

private:
    Task<void> acceptLoop();
    Task<void> serve(PeerConnection connection);
    Task<bool> serveMessage(PeerConnection &connection, PeerMessage message);
    Task<bool> serveCall(PeerConnection &connection, CallMessage call);
    /** Refuses a call that was dropped; returns whether the connection stays open. */
    Task<bool> refuseDroppedCall(PeerConnection &connection);
    Task<bool> sendHeartbeats(PeerConnection &connection, std::uint64_t callId);

    asio::io_context &m_context;
    TargetService &m_target;
    Membership &m_membership;
    PolicyStore &m_policy;
    Gossip &m_gossip;
    KeyService *m_keys; ///< Null when callers have no idempotency keys.
    Log &m_log;
    BufferBudget &m_bodies;
    tcp::acceptor m_acceptor;
    std::optional<Error> m_lastError;
};

} // namespace ibiswell
