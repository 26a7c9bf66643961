// Tests of the guarantees that always hold, with real processes that are frozen, killed or sent
// malformed input.

#include "deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <thread>

using namespace ibiswell::test;

namespace {

std::vector<ibiswell::HeaderField> orderHeaders(const std::string &id,
                                                const std::string &idempotencyKey, bool first)
{
    return {{"x-ibiswell-key", "the-key"},
            {"x-request-id", id},
            {"idempotency-key", idempotencyKey},
            {"x-ibiswell-attempt", first ? "1" : "2"}};
}

} // namespace

TEST_CASE("a repeated order runs once and gets the same response at every entry node")
{
    Deployment deployment(17700);
    for (const char *zone : {"a", "b", "c"})
        deployment.addTarget("catalogue", zone);
    deployment.applyPolicy();
    Reply first = request(deployment.httpPort(0), "POST", "/catalogue/orders",
                          orderHeaders("order-1", "key-1", true), "tile Q");
    REQUIRE(first.status == 200);
    for (int target = 0; target < 3; ++target) {
        Reply again = request(deployment.httpPort(target), "POST", "/catalogue/orders",
                              orderHeaders("order-again", "key-1", false), "tile Q");
        CHECK(again.status == 200);
        CHECK(again.body == first.body);
    }
    CHECK(deployment.totalExecutions("order-1") == 1);
    CHECK(deployment.totalExecutions("order-again") == 0);
}

TEST_CASE("an order repeated after the owner of its key lost its memory gets an unknown outcome")
{
    Deployment deployment(17800);
    for (const char *zone : {"a", "b", "c"})
        deployment.addTarget("catalogue", zone);
    deployment.applyPolicy();
    Reply first = request(deployment.httpPort(0), "POST", "/catalogue/orders",
                          orderHeaders("order-2", "key-2", true), "tile Z");
    REQUIRE(first.status == 200);
    // All owners lose their memory: every node is restarted in turn, so each lease changes its
    // holder.
    for (int target = 0; target < 3; ++target) {
        deployment.node(target).signal(SIGTERM);
        CHECK(deployment.node(target).wait() == 0);
        deployment.removeNode(target);
        deployment.startNode(target);
        Reply reply;
        CHECK(eventually([&] {
            reply = request(deployment.httpPort(target), "GET", "/catalogue/sheets/1",
                            {{"x-ibiswell-key", "the-key"}});
            return reply.status == 200;
        }));
        CAPTURE(reply.body);
        CHECK(reply.status == 200);
    }
    Reply again;
    CHECK(eventually([&] {
        again = request(deployment.httpPort(0), "POST", "/catalogue/orders",
                        orderHeaders("order-2-again", "key-2", false), "tile Z");
        return again.contains("outcome-unknown");
    }));
    CHECK(again.execution == "unknown");
    CHECK(deployment.totalExecutions("order-2-again") == 0);
}

TEST_CASE("while a target is frozen, lookups succeed, and no order runs twice or is wrongly called "
          "not run")
{
    Deployment deployment(17900);
    for (const char *zone : {"a", "b"})
        deployment.addTarget("catalogue", zone, {"--service-ms", "50"});
    deployment.addTarget("entry", "c");
    deployment.applyPolicy();
    std::vector<Reply> orders(12);
    std::vector<Reply> lookups(12);
    std::vector<std::thread> callers;
    callers.reserve(orders.size());
    for (int i = 0; i < 12; ++i) {
        callers.emplace_back([&, i] {
            std::this_thread::sleep_for(std::chrono::milliseconds(20 * i));
            std::string id = fmt::format("frozen-{}", i);
            orders[static_cast<std::size_t>(i)] =
                request(deployment.httpPort(2), "POST", "/catalogue/orders",
                        orderHeaders(id, id, true), "tile");
            lookups[static_cast<std::size_t>(i)] =
                request(deployment.httpPort(2), "GET", "/catalogue/tiles");
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    deployment.node(0).signal(SIGSTOP);
    for (std::thread &caller : callers)
        caller.join();
    deployment.node(0).signal(SIGCONT);
    for (int i = 0; i < 12; ++i) {
        const Reply &reply = orders[static_cast<std::size_t>(i)];
        int runs = deployment.totalExecutions(fmt::format("frozen-{}", i));
        CHECK(runs <= 1);
        if (reply.status == 200)
            CHECK(runs == 1);
        if (reply.execution == "not-run")
            CHECK(runs == 0);
        const Reply &lookup = lookups[static_cast<std::size_t>(i)];
        CHECK_MESSAGE(lookup.status == 200, lookup.body);
    }
}

TEST_CASE("an isolated node refuses routes that need a key until it is connected again")
{
    Deployment deployment(18400);
    deployment.addTarget("catalogue", "a");
    deployment.addTarget("catalogue", "b");
    deployment.applyPolicy();
    std::vector<ibiswell::HeaderField> key {{"x-ibiswell-key", "the-key"}};
    request(deployment.platformPort(), "POST", "/faults", {}, R"({"down": true})");
    deployment.node(1).signal(SIGSTOP);
    CHECK(eventually([&] {
        return request(deployment.httpPort(0), "GET", "/catalogue/sheets/1", key)
            .contains("the node is isolated");
    }));
    CHECK(request(deployment.httpPort(0), "GET", "/catalogue/tiles").status == 200);
    deployment.node(1).signal(SIGCONT);
    CHECK(eventually([&] {
        return request(deployment.httpPort(0), "GET", "/catalogue/sheets/1", key).status == 200;
    }));
}

TEST_CASE("a change whose response was lost is made once, and concurrent changes are all kept")
{
    Deployment deployment(18000);
    deployment.addTarget("catalogue", "a");
    deployment.applyPolicy();
    request(deployment.platformPort(), "POST", "/faults", {}, R"({"lose_answers": 1})");
    auto lost = deployment.runOperatorCommand({"key", "grant", "key-lost", "--team", "school"});
    CHECK(lost.exitCode == 0);
    CHECK(lost.output.find("version 3 in force") != std::string::npos);
    std::vector<CommandResult> results(4);
    std::vector<std::thread> operators;
    operators.reserve(results.size());
    for (int i = 0; i < 4; ++i)
        operators.emplace_back([&, i] {
            results[static_cast<std::size_t>(i)] = deployment.runOperatorCommand(
                {"key", "grant", fmt::format("key-{}", i), "--team", "school"});
        });
    for (std::thread &thread : operators)
        thread.join();
    for (const CommandResult &result : results)
        CHECK_MESSAGE(result.exitCode == 0, result.output);
    for (const char *key : {"key-lost", "key-0", "key-1", "key-2", "key-3"})
        CHECK(
            request(deployment.httpPort(0), "GET", "/catalogue/sheets/1", {{"x-ibiswell-key", key}})
                .status
            == 200);
}

TEST_CASE(
    "no team exceeds its rate and burst over all nodes, even while holders are frozen and killed")
{
    Deployment deployment(18500);
    for (const char *zone : {"a", "b", "c"})
        deployment.addTarget("catalogue", zone, {"--service-ms", "1", "--slots", "32"});
    deployment.applyPolicy();
    constexpr double rate = 20;
    constexpr double burst = 20;
    REQUIRE(
        deployment
            .runOperatorCommand({"exception", "add", "small", "--applies-to", "team:school",
                                 "--set", R"({"rate_per_s": 20, "burst": 20})", "--reason", "test"})
            .exitCode
        == 0);
    // Tokens granted under the previous rate expire before the count begins.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    auto start = std::chrono::steady_clock::now();
    std::atomic<int> admitted = 0;
    std::atomic<bool> ended = false;
    std::vector<std::thread> callers;
    callers.reserve(6);
    for (int i = 0; i < 6; ++i)
        callers.emplace_back([&, i] {
            while (!ended)
                admitted += request(deployment.httpPort(i % 3), "GET", "/catalogue/sheets/1",
                                    {{"x-ibiswell-key", "the-key"}})
                                .status
                    == 200;
        });
    std::this_thread::sleep_for(std::chrono::seconds(2));
    deployment.node(1).signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    deployment.node(1).signal(SIGCONT);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    deployment.node(2).signal(SIGKILL);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    ended = true;
    for (std::thread &caller : callers)
        caller.join();
    std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    CHECK(admitted.load() > 0);
    CHECK(admitted.load() <= rate * elapsed.count() + burst);
}

TEST_CASE(
    "malformed, oversized and slow input is refused at every port, and the node keeps serving")
{
    Deployment deployment(18100);
    deployment.addTarget("catalogue", "a");
    deployment.applyPolicy();
    int port = deployment.httpPort(0);
    CHECK(sendRaw(port, "nonsense\r\n\r\n").find("400") != std::string::npos);
    std::string large = "GET /catalogue/tiles HTTP/1.1\r\nHost: x\r\nx-large: "
        + std::string(40'000, 'x') + "\r\n\r\n";
    CHECK(sendRaw(port, large).find("431") != std::string::npos);
    std::string body =
        "POST /catalogue/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n";
    CHECK(sendRaw(port, body).find("413") != std::string::npos);
    CHECK(sendRaw(port, "GET /catalogue/ti").find("408") != std::string::npos);
    std::string noise;
    for (int i = 0; i < 3000; ++i)
        noise += static_cast<char>((i * 7919) >> 3);
    sendRaw(deployment.peerPort(0), noise);
    sendRaw(deployment.peerPort(0), std::string("\x05\0\0\0junk!", 9));
    sendDatagram(deployment.peerPort(0), noise.substr(0, 1000));
    CHECK(request(port, "GET", "/catalogue/tiles").status == 200);
    CHECK(eventually(
        [&] { return deployment.log(0).find("datagram-malformed") != std::string::npos; }));
    CHECK(eventually(
        [&] { return deployment.log(0).find("peer-message-malformed") != std::string::npos; }));
}

TEST_CASE("a backend server in a cold start is overloaded by no more than a few requests")
{
    Deployment deployment(18200);
    deployment.addTarget("catalogue", "a",
                         {"--slots", "32", "--service-ms", "20", "--cold-work", "300",
                          "--cold-slots", "4", "--connections", "200"});
    deployment.applyPolicy();
    std::vector<std::thread> callers;
    callers.reserve(24);
    std::atomic<int> completed = 0;
    for (int i = 0; i < 24; ++i)
        callers.emplace_back([&] {
            for (int n = 0; n < 20; ++n)
                completed +=
                    request(deployment.httpPort(0), "GET", "/catalogue/tiles").status == 200;
        });
    for (std::thread &caller : callers)
        caller.join();
    CHECK(completed > 0);
    constexpr int fewRequests = 24;
    CHECK(deployment.observedCounter(0, "overloads_while_cold") <= fewRequests);
}

TEST_CASE("a large response arrives complete and belongs to its caller")
{
    Deployment deployment(18300);
    deployment.addTarget("catalogue", "a", {"--slots", "16"});
    deployment.addTarget("entry", "b");
    deployment.applyPolicy();
    std::vector<std::thread> callers;
    std::vector<Reply> replies(16);
    callers.reserve(replies.size());
    for (std::size_t i = 0; i < replies.size(); ++i)
        callers.emplace_back([&, i] {
            std::string id = fmt::format("large-{}", i);
            replies[i] = request(deployment.httpPort(1), "GET", "/catalogue/tiles?bytes=3000000",
                                 {{"x-request-id", id}});
        });
    for (std::thread &caller : callers)
        caller.join();
    int completed = 0;
    for (std::size_t i = 0; i < replies.size(); ++i) {
        if (replies[i].status != 200) {
            CHECK(replies[i].status == 503);
            continue;
        }
        ++completed;
        std::string id = fmt::format("large-{}\n", i);
        const std::string &body = replies[i].body;
        CHECK(body.size() >= 3000000);
        CHECK(body.substr(body.size() - id.size()) == id);
        CHECK(replies[i].contains("\"request\":\"large-" + fmt::to_string(i) + "\""));
    }
    CHECK(completed > 0);
}
