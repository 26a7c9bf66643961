/** Connections between nodes that go silent for good, without a reset, while new ones work. */

#include "peer_connection_pool.h"

#include <doctest/doctest.h>

#include <set>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr Duration callTime = 10s; ///< That a call has left.
constexpr int callsSideBySide = 3;

/** A node that responds to calls on each connection, until the connection goes silent. */
class FakePeer
{
public:
    explicit FakePeer(asio::io_context &context)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    /** What arrives on the connections of now is lost, and nothing is sent on them. */
    void silenceConnections() { m_firstAudible = m_connections; }
    int connections() const { return m_connections; }
    const std::set<std::uint64_t> &executed() const { return m_executed; }

private:
    Task<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await m_acceptor.async_accept(asResult);
            if (error)
                co_return;
            asio::co_spawn(m_acceptor.get_executor(),
                           serve(PeerConnection(std::move(socket)), m_connections++),
                           asio::detached);
        }
    }

    Task<void> serve(PeerConnection connection, int number)
    {
        for (;;) {
            std::optional<PeerMessage> message = co_await connection.receive(std::nullopt);
            if (!message)
                co_return;
            if (number < m_firstAudible)
                continue;
            std::uint64_t callId = std::get<CallMessage>(*message).callId;
            m_executed.insert(callId);
            co_await sleepFor(10ms); // calls side by side need a connection each
            ResponseMessage response;
            response.callId = callId;
            PeerMessage reply(std::move(response));
            co_await connection.send(reply, 1s);
        }
    }

    tcp::acceptor m_acceptor;
    int m_connections = 0;
    int m_firstAudible = 0; ///< Number of the first connection that is not silent.
    std::set<std::uint64_t> m_executed;
};

/** Calls a peer on pooled connections, as the node at which a request begins does. */
class FakeEntryNode
{
public:
    FakeEntryNode()
        : peer(context)
        , m_caller(context)
    {
        tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        m_callersEnd.connect(acceptor.local_endpoint());
        acceptor.accept(m_caller);
    }

    /** Sends calls side by side and waits for all of their replies. */
    std::vector<PeerReply> callSideBySide()
    {
        std::vector<PeerReply> replies;
        auto call = [&](std::uint64_t id) -> Task<void> {
            CallMessage message;
            message.callId = id;
            message.context.remainingTime = callTime;
            auto calling = m_pool.call(peer.endpoint(), std::move(message), m_callerConnection);
            PeerReply reply = co_await std::move(calling);
            replies.push_back(std::move(reply));
        };
        for (int i = 0; i < callsSideBySide; ++i)
            asio::co_spawn(context, call(++m_calls), asio::detached);
        TimePoint end = steadyNow() + callTime;
        while (replies.size() < callsSideBySide && steadyNow() < end)
            context.run_one_for(10ms);
        return replies;
    }

    asio::io_context context {1};
    FakePeer peer;

private:
    tcp::socket m_callersEnd {context};
    tcp::socket m_caller;
    CallerConnection m_callerConnection {m_caller};
    PeerConnectionPool m_pool;
    std::uint64_t m_calls = 0;
};

} // namespace

// The cause of what the day "severed" shows: a call that is sent on a silent connection reaches no
// target, and the node cannot know that.
TEST_CASE("SEVERED: a silent connection costs one call, which ends early with an unknown outcome")
{
    FakeEntryNode node;
    for (const PeerReply &reply : node.callSideBySide())
        CHECK(std::holds_alternative<PeerMessage>(reply));
    CHECK(node.peer.connections() == callsSideBySide);

    node.peer.silenceConnections();
    TimePoint start = steadyNow();
    std::vector<PeerReply> replies = node.callSideBySide();
    CHECK(steadyNow() - start < 2 * peerInactivityTimeout);
    REQUIRE(replies.size() == callsSideBySide);
    for (const PeerReply &reply : replies) {
        const Refusal *refusal = std::get_if<Refusal>(&reply);
        REQUIRE(refusal);
        bool isUnknown = refusal->execution == Execution::Unknown;
        CHECK(isUnknown);
        bool isLost = refusal->kind == ErrorKind::ConnectionLost;
        CHECK(isLost);
    }
    CHECK(node.peer.executed().size() == callsSideBySide); // those before

    for (const PeerReply &reply : node.callSideBySide())
        CHECK(std::holds_alternative<PeerMessage>(reply));
    CHECK(node.peer.connections() == 2 * callsSideBySide);
}
