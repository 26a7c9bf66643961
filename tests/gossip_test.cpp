#include "gossip.h"

#include "busy_loop.h"

#include "ibiswell/wire/codec.h"

#include <doctest/doctest.h>

using namespace ibiswell;

namespace {

/** The gossip of one node, and the services that it looks up. */
struct GossipNode
{
    GossipNode()
        : context(kernel.add<asio::io_context>("io", 1))
    {
        kernel.add<Log>("log", LogLevel::Error);
        kernel.add<NodeState>("node");
        kernel.add<Membership>("membership", Member {});
        kernel.add<Router>("router", std::string("a"), Duration {});
        kernel.add<ConnectivityMonitor>("contact");
        kernel.add<PolicyStore>("policy");
        kernel.add<PeerConnectionPool>("peer-links");
        kernel.add<Metrics>("metrics");
        Gossip &gossip = kernel.add<Gossip>("gossip", kernel, context);
        udp::socket portFinder(context, udp::endpoint(asio::ip::address_v4::loopback(), 0));
        endpoint = portFinder.local_endpoint();
        portFinder.close();
        gossip.setTokenHandler([this](const Datagram &) { ++received; });
        REQUIRE(gossip.listen({"127.0.0.1", endpoint.port()}));
    }

    Kernel kernel;
    asio::io_context &context;
    udp::endpoint endpoint;
    int received = 0;
};

} // namespace

TEST_CASE("datagrams that arrive together do not wait a pass of the event loop for each")
{
    constexpr int count = 60;
    GossipNode node;
    asio::io_context senderContext;
    udp::socket sender(senderContext, udp::v4());
    Datagram datagram;
    datagram.sender = "node-2";
    datagram.senderEndpoint = {"127.0.0.1", sender.local_endpoint().port()};
    datagram.body = TokenRequest {};
    for (int i = 0; i < count; ++i)
        sender.send_to(asio::buffer(encode(datagram)), node.endpoint);
    int passes = passesUntil(
        node.context, [&] { return node.received == count; }, 200);
    CHECK(passes > 0);
    CHECK(passes < count / 4);
}
