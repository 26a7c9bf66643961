#include "http_server.h"

#include "busy_loop.h"

#include <doctest/doctest.h>

#include <vector>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

/** A server in this process, whose event loop the test runs pass by pass. */
struct BusyServer
{
    BusyServer()
        : server(
            context, [] { return CallerLimits {}; },
            [](HttpRequest, const CallerConnection &) -> Task<HttpResponse> {
                co_return HttpResponse {200, {}, "ok"};
            })
    {
        tcp::acceptor portFinder(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        endpoint = portFinder.local_endpoint();
        portFinder.close();
        REQUIRE(server.listen({"127.0.0.1", endpoint.port()}));
    }

    asio::io_context context {1};
    HttpServer server;
    tcp::endpoint endpoint;
};

} // namespace

// Guards against the incident GONE: requests waited behind each other to be accepted.
TEST_CASE("GONE: connections that arrive together do not wait a pass of the event loop for each")
{
    constexpr int callers = 60;
    BusyServer busy;
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < callers; ++i) {
        sockets.emplace_back(busy.context);
        sockets.back().connect(busy.endpoint);
    }
    int passes = passesUntil(
        busy.context, [&] { return busy.server.connectionCount() == callers; }, 200);
    CHECK(passes > 0);
    CHECK(passes < callers / 4);
}
