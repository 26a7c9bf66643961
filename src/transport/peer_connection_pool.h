#pragma once

#include "asio.h"
#include "peer_connection.h"

#include "ibiswell/core/messages.h"

#include <deque>
#include <map>

namespace ibiswell {

/** How often a node that runs a call says so on its connection. */
inline constexpr Duration callHeartbeatInterval = std::chrono::milliseconds(400);

/** Without a message for this long, a connection with a call counts as silent. */
inline constexpr Duration peerInactivityTimeout = std::chrono::milliseconds(1500);

/** How an exchange with a peer ended: its reply, or why there is none. */
using PeerReply = std::variant<PeerMessage, Refusal>;

/** Connections to other nodes, kept for reuse. A cancelled exchange closes its connection. */
class PeerConnectionPool
{
public:
    /** Sends a request and waits for its reply, at most @p limit. */
    Task<PeerReply> exchange(Endpoint peer, PeerMessage request, Duration limit);

    /** Sends a call. A connection that stays silent ends it as lost, long before the deadline. */
    Task<PeerReply> call(Endpoint peer, CallMessage call);

private:
    Task<std::optional<PeerConnection>> acquire(const Endpoint &peer, Duration limit);
    Task<PeerReply> awaitReply(PeerConnection &connection, PeerMessage request);
    Task<PeerReply> awaitCallResponse(PeerConnection &connection, CallMessage call);
    Task<PeerReply> exchangeWithin(Endpoint peer, PeerMessage request, Duration limit);
    void release(const Endpoint &peer, PeerConnection connection);

    std::map<Endpoint, std::deque<PeerConnection>> m_idle;
};

} // namespace ibiswell
