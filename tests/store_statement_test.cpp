#include "gossip.h"

#include "ibiswell/wire/codec.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

/** A node's gossip, and a socket that receives the datagrams that it sends. */
class GossipFixture
{
public:
    GossipFixture()
        : m_context(m_kernel.add<asio::io_context>("io", 1))
    {
        m_kernel.add<Log>("log", LogLevel::Error);
        m_kernel.add<NodeState>("node");
        m_kernel.add<PolicyStore>("policy");
        Member self;
        self.node = "node-a";
        m_kernel.add<Membership>("membership", self);
        m_kernel.add<Router>("router", "zone-a", 1ms);
        m_kernel.add<ConnectivityMonitor>("contact");
        m_kernel.add<StoreConfirmation>("store-confirmation");
        m_kernel.add<Metrics>("metrics");
        m_kernel.add<PeerConnectionPool>("peer-links", nullptr);
        m_gossip = &m_kernel.add<Gossip>("gossip", m_kernel, m_context);
        REQUIRE(m_gossip->listen({"127.0.0.1", 0}));
        m_receiver.emplace(m_context, udp::endpoint(asio::ip::address_v4::loopback(), 0));
    }

    StoreConfirmation &confirmation()
    {
        return m_kernel.get<StoreConfirmation>("store-confirmation");
    }
    Datagram makeDatagram()
    {
        return m_kernel.get<Membership>("membership").makeDatagram(Probe {});
    }

    /** Sends @p datagram, and returns what arrives. */
    Datagram exchange(Datagram datagram)
    {
        Endpoint to {"127.0.0.1", m_receiver->local_endpoint().port()};
        m_gossip->send({to, std::move(datagram)});
        std::string bytes(64u << 10, '\0');
        bytes.resize(m_receiver->receive(asio::buffer(bytes)));
        Error error;
        std::optional<Datagram> received = decodeDatagram(bytes, error);
        REQUIRE_MESSAGE(received, error.detail);
        return *received;
    }

private:
    Kernel m_kernel;
    asio::io_context &m_context;
    Gossip *m_gossip = nullptr;
    std::optional<udp::socket> m_receiver;
};

} // namespace

// Guards against ages that nodes state from a while ago: each node that passes one on makes the
// knowledge younger, so that a fleet which nobody confirms stays current for ever.
TEST_CASE("CONFIG: a datagram states the age of its sender's knowledge at the time of sending")
{
    GossipFixture node;
    TimePoint now = steadyNow();
    for (StoreTopic topic : {StoreTopic::Policy, StoreTopic::ZonesOut})
        node.confirmation().onResponse(topic, now - 2s);
    Duration first = node.exchange(node.makeDatagram()).store.confirmationAge;
    CHECK(first >= 2s);
    for (StoreTopic topic : {StoreTopic::Policy, StoreTopic::ZonesOut})
        node.confirmation().onResponse(topic, now - 1s);
    Datagram datagram = node.makeDatagram();
    Duration second = node.exchange(datagram).store.confirmationAge;
    CHECK(second >= 1s);
    CHECK(second < 2s);
    Duration third = node.exchange(datagram).store.confirmationAge;
    CHECK(third > second);
}
