#pragma once

#include "asio.h"
#include "peer_connection.h"

#include "ibiswell/core/messages.h"

#include <deque>
#include <map>

namespace ibiswell {

/** How often a node that runs a call says so on its connection. */
inline constexpr Duration workingInterval = std::chrono::milliseconds(400);

/** Without a message for this long, a connection with a call counts as silent. */
inline constexpr Duration silenceLimit = std::chrono::milliseconds(1500);

/** How an exchange with a peer ended: its reply, or why there is none. */
using PeerReply = std::variant<PeerMessage, Refusal>;

/** Connections to other nodes, kept for reuse. A cancelled exchange closes its connection. */
class PeerLinks
{
public:
    /** Sends a request and waits for its reply, at most @p limit. */
    Task<PeerReply> exchange(Endpoint peer, PeerMessage request, Duration limit);

    /** Sends a call. A connection that stays silent ends it as lost, long before the deadline. */
    Task<PeerReply> call(Endpoint peer, CallMessage call);

private:
    Task<std::optional<PeerConnection>> connection(const Endpoint &peer, Duration limit);
    Task<PeerReply> awaitReply(PeerConnection &link, PeerMessage request);
    Task<PeerReply> awaitAnswer(PeerConnection &link, CallMessage call);
    Task<PeerReply> run(Endpoint peer, PeerMessage request, Duration limit);
    void keep(const Endpoint &peer, PeerConnection link);

    std::map<Endpoint, std::deque<PeerConnection>> m_idle;
};

} // namespace ibiswell
