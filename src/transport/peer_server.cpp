#include "peer_server.h"

#include "acceptor.h"
#include "gossip.h"
#include "key_service.h"
#include "peer_connection_pool.h"
#include "service_loop.h"
#include "target_service.h"

#include "ibiswell/decisions/membership.h"
#include "ibiswell/decisions/policy_store.h"

#include <fmt/format.h>

namespace ibiswell {

PeerServer::PeerServer(Kernel &kernel, asio::io_context &context)
    : m_context(context)
    , m_target(kernel.get<TargetService>("target"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_gossip(kernel.get<Gossip>("gossip"))
    , m_keys(kernel.find<KeyService>("keys"))
    , m_log(kernel.get<Log>("log"))
    , m_bodies(kernel.get<BufferBudget>("body-buffers"))
    , m_acceptor(context)
{
}

bool PeerServer::listen(const Endpoint &endpoint)
{
    m_lastError = openAcceptor(m_acceptor, endpoint);
    if (m_lastError)
        return false;
    startServiceLoop(m_context, m_log, "accept-peers", [this] { return acceptLoop(); });
    return true;
}

void PeerServer::stop()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

Task<void> PeerServer::acceptLoop()
{
    while (m_acceptor.is_open()) {
        std::vector<tcp::socket> accepted = co_await acceptPending(m_acceptor);
        for (tcp::socket &socket : accepted) {
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            asio::co_spawn(m_context, serve(PeerConnection(std::move(socket), &m_bodies)),
                           asio::detached);
        }
    }
}

Task<void> PeerServer::serve(PeerConnection connection)
{
    for (;;) {
        std::optional<PeerMessage> message = co_await connection.receive(std::nullopt);
        if (!message && connection.lastError()->kind == ErrorKind::QueueFull) {
            bool keepOpen = co_await refuseDroppedCall(connection);
            if (!keepOpen)
                co_return;
            continue;
        }
        if (!message) {
            if (connection.lastError()->kind == ErrorKind::MalformedMessage)
                m_log.write(steadyNow(), LogLevel::Warning, "peer-message-malformed",
                            {{"detail", connection.lastError()->detail}});
            co_return;
        }
        bool keepOpen = co_await serveMessage(connection, std::move(*message));
        if (!keepOpen)
            co_return;
    }
}

Task<bool> PeerServer::serveMessage(PeerConnection &connection, PeerMessage message)
{
    PeerMessage reply;
    if (CallMessage *call = std::get_if<CallMessage>(&message))
        co_return co_await serveCall(connection, std::move(*call));
    if (const RosterRequest *roster = std::get_if<RosterRequest>(&message)) {
        m_gossip.mergeMembers({roster->joiningNode});
        reply = RosterResponse {m_membership.roster()};
    } else if (const PolicyPull *pull = std::get_if<PolicyPull>(&message))
        reply = m_policy.respondToPull(*pull);
    else if (const KeyClaim *claim = std::get_if<KeyClaim>(&message); claim && m_keys)
        reply = m_keys->claimLocally(*claim);
    else if (const KeySettlement *settlement = std::get_if<KeySettlement>(&message);
             settlement && m_keys)
        reply = m_keys->settleLocally(*settlement);
    else
        co_return false; // not a request, or not served here
    co_return co_await connection.send(reply, peerInactivityTimeout);
}

Task<bool> PeerServer::serveCall(PeerConnection &connection, CallMessage call)
{
    using namespace asio::experimental::awaitable_operators;
    std::uint64_t callId = call.callId;
    CallerConnection caller(connection.socket());
    auto ended = co_await (m_target.run(std::move(call), caller)
                           || sendHeartbeats(connection, callId) || caller.waitUntilLeft());
    if (ended.index() != 0)
        co_return false;
    PeerMessage reply(std::move(std::get<0>(ended)));
    co_return co_await connection.send(reply, peerInactivityTimeout);
}

Task<bool> PeerServer::refuseDroppedCall(PeerConnection &connection)
{
    ResponseMessage response;
    response.callId = connection.droppedCallId();
    response.result =
        Refusal {ErrorKind::QueueFull, connection.lastError()->detail, Execution::NotRun};
    PeerMessage reply(std::move(response));
    co_return co_await connection.send(reply, peerInactivityTimeout);
}

/** Sends heartbeats to the caller's node while the call runs; ends when the connection fails. */
Task<bool> PeerServer::sendHeartbeats(PeerConnection &connection, std::uint64_t callId)
{
    for (;;) {
        bool elapsed = co_await sleepUnlessCancelled(callHeartbeatInterval);
        if (!elapsed)
            co_return false;
        PeerMessage message = HeartbeatMessage {callId};
        bool sent = co_await connection.send(message, peerInactivityTimeout);
        if (!sent)
            co_return false;
    }
}

} // namespace ibiswell
