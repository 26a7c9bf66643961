#include "peer_connection_pool.h"

#include "socket_deadline.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maximumIdlePerPeer = 16;
/** A live node accepts at once; the system resends a lost SYN only after a second. */
constexpr Duration connectTimeout = 250ms;

Refusal connectionLost(std::string detail)
{
    return {ErrorKind::ConnectionLost, std::move(detail), Execution::Unknown};
}

} // namespace

Task<std::optional<PeerConnection>> PeerConnectionPool::acquire(const Endpoint &peer,
                                                                Duration limit)
{
    auto found = m_idle.find(peer);
    while (found != m_idle.end() && !found->second.empty()) {
        PeerConnection connection = std::move(found->second.back());
        found->second.pop_back();
        if (!connection.isStale())
            co_return std::optional<PeerConnection>(std::move(connection));
    }
    std::optional<tcp::socket> socket = co_await connectTo(peer, std::min(limit, connectTimeout));
    if (!socket)
        co_return std::nullopt;
    co_return std::optional<PeerConnection>(PeerConnection(std::move(*socket), m_bodies));
}

void PeerConnectionPool::release(const Endpoint &peer, PeerConnection connection)
{
    connection.releaseBuffers();
    std::deque<PeerConnection> &idle = m_idle[peer];
    if (idle.size() < maximumIdlePerPeer)
        idle.push_back(std::move(connection));
}

Task<PeerReply> PeerConnectionPool::exchange(Endpoint peer, PeerMessage request, Duration limit)
{
    return exchangeWithin(std::move(peer), std::move(request), limit, nullptr);
}

Task<PeerReply> PeerConnectionPool::call(Endpoint peer, CallMessage call,
                                         const CallerConnection &caller)
{
    Duration limit = call.context.remainingTime;
    return exchangeWithin(std::move(peer), PeerMessage(std::move(call)), limit, &caller);
}

Task<PeerReply> PeerConnectionPool::exchangeWithin(Endpoint peer, PeerMessage request,
                                                   Duration limit, const CallerConnection *caller)
{
    TimePoint deadline = steadyNow() + limit;
    std::optional<PeerConnection> connection = co_await acquire(peer, limit);
    if (!connection)
        co_return Refusal {ErrorKind::ConnectFailed,
                           fmt::format("no connection to {}", toString(peer)), Execution::NotRun};
    if (caller && caller->hasLeft()) {
        release(peer, std::move(*connection));
        co_return callerHasLeft();
    }
    PeerReply reply = connectionLost("");
    {
        SocketDeadline timeout(connection->socket(), deadline - steadyNow());
        if (CallMessage *call = std::get_if<CallMessage>(&request))
            reply = co_await awaitCallResponse(*connection, std::move(*call));
        else
            reply = co_await awaitReply(*connection, std::move(request));
        if (timeout.hasPassed() && std::holds_alternative<Refusal>(reply))
            reply = Refusal {ErrorKind::DeadlineExceeded, "no complete response in time",
                             Execution::Unknown};
    }
    if (std::holds_alternative<PeerMessage>(reply))
        release(peer, std::move(*connection));
    co_return reply;
}

Task<PeerReply> PeerConnectionPool::awaitReply(PeerConnection &connection, PeerMessage request)
{
    bool sent = co_await connection.send(request, peerInactivityTimeout);
    if (!sent)
        co_return connectionLost(connection.lastError()->detail);
    std::optional<PeerMessage> message = co_await connection.receive(std::nullopt);
    if (!message)
        co_return connectionLost(connection.lastError()->detail);
    co_return std::move(*message);
}

Task<PeerReply> PeerConnectionPool::awaitCallResponse(PeerConnection &connection, CallMessage call)
{
    std::uint64_t callId = call.callId;
    PeerMessage request(std::move(call));
    bool sent = co_await connection.send(request, peerInactivityTimeout);
    if (!sent)
        co_return connectionLost(connection.lastError()->detail);
    for (;;) {
        std::optional<PeerMessage> received = co_await connection.receive(peerInactivityTimeout);
        if (!received)
            co_return connectionLost(connection.lastError()->detail);
        PeerMessage &message = *received;
        if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&message)) {
            if (heartbeat->callId != callId)
                co_return connectionLost("received a heartbeat of another call");
            continue;
        }
        ResponseMessage *response = std::get_if<ResponseMessage>(&message);
        if (!response || response->callId != callId)
            co_return connectionLost("received a response to another call");
        co_return std::move(message);
    }
}

} // namespace ibiswell
