#pragma once

#include "asio.h"
#include "caller_connection.h"
#include "peer_connection.h"

#include "ibiswell/core/messages.h"

#include <deque>
#include <map>

namespace ibiswell {

/** Interval of the heartbeats that a node sends on a call's connection while the call runs. */
inline constexpr Duration callHeartbeatInterval = std::chrono::milliseconds(400);

/** Outcome of an exchange with a peer: its response, or why there is none. */
using PeerReply = std::variant<PeerMessage, Refusal>;

/** Pool of reusable connections to other nodes. A cancelled exchange closes its connection. */
class PeerConnectionPool
{
public:
    /** @param bodies what the messages that are received hold together; null: not counted. */
    explicit PeerConnectionPool(BufferBudget *bodies = nullptr)
        : m_bodies(bodies)
    {
    }

    /** Sends a request and waits for its response, at most @p limit. */
    Task<PeerReply> exchange(Endpoint peer, PeerMessage request, Duration limit);

    /**
     * Sends a call and waits for its response. Without heartbeats the call ends as lost, long
     * before its deadline. Nothing is sent once @p caller has left.
     */
    Task<PeerReply> call(Endpoint peer, CallMessage call, const CallerConnection &caller);

private:
    Task<std::optional<PeerConnection>> acquire(const Endpoint &peer, Duration limit);
    Task<PeerReply> awaitReply(PeerConnection &connection, PeerMessage request);
    Task<PeerReply> awaitCallResponse(PeerConnection &connection, CallMessage call);
    Task<PeerReply> exchangeWithin(Endpoint peer, PeerMessage request, Duration limit,
                                   const CallerConnection *caller);
    void release(const Endpoint &peer, PeerConnection connection);

    BufferBudget *m_bodies;
    std::map<Endpoint, std::deque<PeerConnection>> m_idle;
};

} // namespace ibiswell
