/** End-to-end tests of the front for the users' platform, with real processes on loopback. */

#include "platform_deployment.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <list>
#include <thread>

using namespace ibiswell;
using namespace ibiswell::test;

namespace {

using namespace std::chrono_literals;

constexpr auto twoReports = 500ms; // two report intervals of the target stand-in

int countOccurrences(const std::string &text, const std::string &part)
{
    int count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

void startDefaultTargets(PlatformDeployment &platform)
{
    for (const char *service : {"shop", "shop", "desk"})
        platform.addTarget(service);
    for (int node = 0; node < 3; ++node) {
        REQUIRE(eventually([&] { return platform.isReady(node); }));
        REQUIRE(eventually([&] { return platform.isServing(node); }));
        REQUIRE(eventually(
            [&] { return platform.sendRequest(node, "GET", "/d/1", "probe").status == 200; }));
    }
}

} // namespace

TEST_CASE(
    "platform: a request reaches its target with the fields that it needs and without its key")
{
    PlatformDeployment platform(19000);
    startDefaultTargets(platform);
    Reply reply = platform.sendRequest(2, "GET", "/x/tiles?n=1", "whole-1");
    CHECK(reply.status == 200);
    CHECK(reply.execution == "sig-whole-1");
    CHECK(reply.contains(R"("path":"/x/tiles?n=1")"));
    CHECK(reply.contains(R"("host":"a.example")"));
    CHECK(reply.contains(R"("tenant":"club")"));
    CHECK(reply.contains(R"("caller":"desk")"));
    CHECK(reply.contains(R"("key":"")"));
    CHECK(platform.sendRequest(0, "GET", "/x/1", "r-1", "unknown").status == 401);
    CHECK(platform.sendRequest(0, "GET", "/z/1", "r-2").status == 404);
    CHECK(platform.countExecutions("whole-1") == 1);
}

TEST_CASE("platform: a new configuration, an evacuation and a withdrawn key take effect")
{
    PlatformDeployment platform(19100);
    startDefaultTargets(platform);
    platform.writeStore("PUT", "/api/objects/config/main", makeConfig(7, "desk", R"("key-2")"));
    for (int node = 0; node < 3; ++node) {
        CHECK(eventually(
            [&] { return platform.sendRequest(node, "GET", "/x/1", "k").status == 401; }));
        Reply moved = platform.sendRequest(node, "GET", "/x/1", "moved", "key-2");
        CHECK_MESSAGE(moved.contains(R"("instance":"i-2")"), moved.status << " " << moved.body);
    }
    // The store discards its history: nodes list all objects again, and an older version has no
    // effect.
    platform.setStoreFault(R"({"forget": true})");
    platform.writeStore("PUT", "/api/objects/config/main", makeConfig(5, "shop", R"("key-1")"));
    platform.writeStore("POST", "/api/objects/evacuations",
                        R"({"metadata": {"name": "a"}, "spec": {}})");
    CHECK(eventually(
        [&] { return platform.sendRequest(0, "GET", "/x/1", "gone", "key-2").status == 503; }));
    CHECK(platform.sendRequest(0, "GET", "/x/1", "old", "key-1").status == 401);
    platform.writeStore("DELETE", "/api/objects/evacuations/a");
    CHECK(eventually(
        [&] { return platform.sendRequest(0, "GET", "/x/1", "back", "key-2").status == 200; }));
}

TEST_CASE("platform: a draining target gets no request after its report, and the others serve")
{
    PlatformDeployment platform(19200);
    startDefaultTargets(platform);
    platform.controlTarget(0, R"({"state": "draining"})");
    std::this_thread::sleep_for(twoReports);
    for (int i = 0; i < 30; ++i) {
        Reply reply = platform.sendRequest(i % 3, "GET", "/x/1", fmt::format("d-{}", i));
        CHECK_MESSAGE(reply.contains(R"("instance":"i-1")"), reply.status << " " << reply.body);
    }
    // The node of the draining target restarts without memory, while its target sends no reports.
    platform.controlTarget(0, R"({"report": false})");
    platform.node(0).signal(SIGKILL);
    platform.removeNode(0);
    platform.startNode(0);
    REQUIRE(eventually([&] { return platform.isServing(0); }));
    for (int i = 0; i < 30; ++i)
        CHECK(platform.sendRequest(i % 3, "GET", "/x/1", fmt::format("e-{}", i))
                  .contains(R"("instance":"i-1")"));
}

TEST_CASE("platform: a request that is not idempotent runs at most once, and 503 means not run")
{
    PlatformDeployment platform(19300);
    startDefaultTargets(platform);
    // Targets reject requests that they have not run, which may then run at another target.
    platform.controlTarget(0, R"({"shed": 3})");
    platform.controlTarget(1, R"({"shed": 3})");
    for (int i = 0; i < 20; ++i) {
        std::string id = fmt::format("shed-{}", i);
        int status = platform.sendRequest(0, "POST", "/y/1", id).status;
        CHECK(platform.countExecutions(id) == (status == 200 ? 1 : 0));
    }
    // Responses are lost after the requests ran: none runs again, and none is called not run.
    platform.controlTarget(0, R"({"shed": 0, "lose": 1})");
    platform.controlTarget(1, R"({"shed": 0, "lose": 1})");
    for (int i = 0; i < 4; ++i) {
        std::string id = fmt::format("lost-{}", i);
        int status = platform.sendRequest(0, "POST", "/y/1", id).status;
        CHECK_MESSAGE((status == 200 || status == 502 || status == 504), status);
        CHECK(platform.countExecutions(id) <= 1);
    }
}

TEST_CASE("platform: requests succeed while the store is down, refuses calls or loses responses")
{
    PlatformDeployment platform(19400);
    startDefaultTargets(platform);
    for (const char *mode : {"busy", "many", "silent"}) {
        platform.setStoreFault(fmt::format(R"({{"mode": "{}"}})", mode));
        for (int i = 0; i < 10; ++i)
            CHECK(platform.isServing(i % 3));
        platform.setStoreFault(R"({"mode": ""})");
    }
    // A node starts, and its first write takes effect although the response is lost.
    platform.setStoreFault(R"({"lose_writes": 1})");
    platform.node(1).signal(SIGKILL);
    platform.removeNode(1);
    platform.startNode(1);
    CHECK(eventually([&] { return platform.isServing(1); }));
    CHECK(eventually([&] { return platform.isReady(1); }));
}

// Another writer's entry that cannot be parsed must not end a node or stop it from following.
TEST_CASE("platform: nodes start and follow the store beside an entry that cannot be parsed")
{
    PlatformDeployment platform(20100);
    startDefaultTargets(platform);
    std::string deep = std::string(40, '[') + std::string(40, ']');
    auto setOddEntry = [&](const std::string &spec) {
        std::string entry = fmt::format(R"({{"metadata": {{"name": "odd"}}, "spec": {}}})", spec);
        boost::json::object fault {{"odd_entry", spec.empty() ? "" : entry}};
        platform.setStoreFault(boost::json::serialize(fault));
    };
    setOddEntry(deep);
    platform.node(0).signal(SIGKILL);
    platform.removeNode(0);
    platform.startNode(0);
    REQUIRE(eventually([&] { return platform.isReady(0); }));
    CHECK(eventually([&] { return platform.isServing(0); }));
    CHECK(eventually([&] { return platform.countLogLines(0, "store-object-unreadable") > 0; }));
    int version = 7;
    for (const std::string &spec : {deep, std::string("{\"port\": 70000}"), std::string()}) {
        setOddEntry(spec);
        std::string service = version % 2 == 0 ? "shop" : "desk";
        platform.writeStore("PUT", "/api/objects/config/main",
                            makeConfig(version++, service, R"("key-1")"));
        for (int node = 0; node < 3; ++node)
            CHECK(eventually([&] {
                return platform.sendRequest(node, "GET", "/x/1", "k")
                    .contains(service == "desk" ? R"("instance":"i-2")" : R"("instance":"i-)");
            }));
    }
    CHECK(platform.isServing(0));
}

TEST_CASE("platform: a node that is stopped reports not ready, serves arriving requests, and ends")
{
    PlatformDeployment platform(19500);
    startDefaultTargets(platform);
    // Its own target takes nothing once the node stops, so it must know the other one. The router
    // goes to the other one once its own is the slower one.
    platform.controlTarget(0, R"({"work_ms": 100})");
    REQUIRE(eventually([&] {
        return platform.sendRequest(0, "GET", "/x/1", "other").contains(R"("instance":"i-1")");
    }));
    platform.controlTarget(0, R"({"work_ms": 0})");
    platform.node(0).signal(SIGTERM);
    CHECK(eventually([&] { return !platform.isReady(0); }));
    Reply reply = platform.sendRequest(0, "GET", "/x/1", "while-stopping");
    CHECK_MESSAGE(reply.status == 200, reply.body);
    CHECK(platform.node(0).wait() == 0);
    CHECK(platform.isServing(1));
    platform.node(1).signal(SIGHUP);
    CHECK(platform.isServing(1));
}

// A request that is taken late in a stop and cut at its end has an unknown outcome for its caller.
TEST_CASE("platform: through a whole planned stop each request that runs is answered")
{
    PlatformDeployment platform(20200);
    startDefaultTargets(platform);
    constexpr int stopping = 2; // beside the only target of its service
    for (int target = 0; target < 3; ++target)
        platform.controlTarget(target, R"({"work_ms": 700})");
    for (int i = 0; i < 3; ++i) {
        REQUIRE(platform.sendRequest(stopping, "POST", "/y/1", "usual").status == 200);
        REQUIRE(platform.sendRequest(stopping, "GET", "/x/1", "usual").status == 200);
    }
    struct Sent
    {
        std::string id;
        Reply reply;
        std::string pipelined; ///< Bytes received for two requests that were sent at once.
    };
    std::list<Sent> sent;
    std::list<std::thread> senders;
    platform.node(stopping).signal(SIGTERM);
    auto end = std::chrono::steady_clock::now() + 6s;
    for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
        Sent &request = sent.emplace_back(Sent {fmt::format("stop-{}", i), {}, {}});
        senders.emplace_back([&platform, &request, i] {
            std::string get =
                fmt::format("GET /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {}\r\n"
                            "Deadline-Ms: 3000\r\nCredential: key-1\r\n\r\n",
                            request.id);
            if (i % 3 == 0)
                request.pipelined = sendRaw(platform.callerPort(stopping), get + get);
            else
                request.reply = platform.sendRequest(stopping, "POST", "/y/1", request.id);
        });
        std::this_thread::sleep_for(50ms);
    }
    for (std::thread &sender : senders)
        sender.join();
    CHECK(platform.node(stopping).wait() == 0);
    int served = 0;
    for (const Sent &request : sent) {
        int executions = platform.countExecutions(request.id);
        bool isPipelined = !request.pipelined.empty() || request.reply.status == 0;
        int answers = isPipelined ? countOccurrences(request.pipelined, "HTTP/1.1 200")
                                  : (request.reply.status == 200 ? 1 : 0);
        CHECK_MESSAGE(executions == answers,
                      request.id << ": " << executions << " executions, " << answers << " answers");
        served += answers;
    }
    CHECK(served > 20);
}

// Guards against the incident LATE: requests of a quick route that took long were cut at the end of
// a planned stop, with no answer.
TEST_CASE("LATE: requests that outlast a planned stop are refused or told of its end")
{
    PlatformDeployment platform(20300);
    startDefaultTargets(platform);
    constexpr int stopping = 2;
    constexpr auto afterCallersKnow = 2700ms;
    for (int i = 0; i < 20; ++i)
        REQUIRE(platform.sendRequest(stopping, "POST", "/y/1", "usual").status == 200);
    for (int target = 0; target < 3; ++target)
        platform.controlTarget(target, R"({"work_ms": 3200})");
    struct Sent
    {
        std::chrono::milliseconds at; ///< After SIGTERM.
        Reply reply;
    };
    std::list<Sent> sent;
    for (auto at = 0ms; at <= 4500ms; at += 100ms)
        sent.push_back({at, {}});
    auto idOf = [](const Sent &request) { return fmt::format("late-{}", request.at.count()); };
    std::list<std::thread> senders;
    // The target beside the stopping node is at work, so that the node goes on taking requests.
    senders.emplace_back([&] { platform.sendRequest(0, "GET", "/d/1", "long"); });
    std::this_thread::sleep_for(100ms);
    platform.node(stopping).signal(SIGTERM);
    for (Sent &request : sent) {
        senders.emplace_back([&platform, &request, id = idOf(request)] {
            std::this_thread::sleep_for(request.at);
            request.reply = platform.sendRequest(stopping, "POST", "/y/1", id);
        });
    }
    for (std::thread &sender : senders)
        sender.join();
    CHECK(platform.node(stopping).wait() == 0);
    for (const Sent &request : sent) {
        std::string id = idOf(request);
        int executions = platform.countExecutions(id);
        bool isLost = executions > 0 && request.reply.status == 0;
        bool isBrokenPromise = executions > 0 && request.reply.status == 503;
        CHECK_MESSAGE(!isLost, id);
        CHECK_MESSAGE(!isBrokenPromise, id);
        if (request.at >= afterCallersKnow)
            CHECK_MESSAGE(executions == 0, id);
    }
}

TEST_CASE("platform: reports that cannot be read change nothing and are logged once")
{
    PlatformDeployment platform(19600);
    startDefaultTargets(platform);
    // The target's own reports are stopped, because after a readable report the same cause is
    // logged again.
    platform.controlTarget(0, R"({"report": false})");
    std::this_thread::sleep_for(twoReports);
    for (int i = 0; i < 5; ++i)
        CHECK(
            request(platform.reportPort(0), "POST", "/api/instances/i-0/heartbeat", {}, "{").status
            == 400);
    CHECK(eventually([&] { return platform.countLogLines(0, "target-report-unreadable") > 0; }));
    request(platform.reportPort(0), "POST", "/api/instances/i-0/heartbeat", {}, "[]");
    CHECK(eventually([&] { return platform.countLogLines(0, "target-report-unreadable") == 2; }));
    CHECK(platform.isServing(0));
    CHECK(platform.isReady(0));
}

// Guards against the incident GONE: a node that is behind reads calls and closes late.
TEST_CASE("GONE: a request that waited at a suspended node is not run after its caller left")
{
    PlatformDeployment platform(19700);
    startDefaultTargets(platform);
    constexpr int desk = 2; // the only target of its service
    auto sendAt = [&](int node, const std::string &id) {
        std::string bytes = fmt::format("GET /d/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {}\r\n"
                                        "Deadline-Ms: 3000\r\nCredential: key-1\r\n\r\n",
                                        id);
        sendAndLeave(platform.callerPort(node), {bytes}, 50ms);
    };
    platform.node(desk).signal(SIGSTOP);
    sendAt(desk, "gone-same-node");
    sendAt(0, "gone-other-node");
    std::this_thread::sleep_for(300ms);
    platform.node(desk).signal(SIGCONT);
    REQUIRE(eventually(
        [&] { return platform.sendRequest(desk, "GET", "/d/1", "after").status == 200; }));
    CHECK(platform.countExecutions("gone-same-node") == 0);
    CHECK(platform.countExecutions("gone-other-node") == 0);
}

// Guards against the incident REOPEN: a late heartbeat opened the gate of a node that had started
// again shortly before its target left.
TEST_CASE("REOPEN: a heartbeat from before the departure of a target sends it no requests")
{
    PlatformDeployment platform(20400);
    startDefaultTargets(platform);
    constexpr int leaving = 0;
    platform.controlTarget(leaving, R"({"report": false})");
    std::this_thread::sleep_for(twoReports);
    platform.node(leaving).signal(SIGKILL);
    platform.removeNode(leaving);
    platform.startNode(leaving);
    REQUIRE(eventually([&] { return platform.isReady(leaving); }));
    auto report = [&](const std::string &call, const std::string &body) {
        return request(platform.reportPort(leaving), "POST", "/api/instances/i-0/" + call,
                       {{"Content-Type", "application/json"}}, body)
            .status;
    };
    CHECK(report("deregister", "") == 200);
    CHECK(report("heartbeat", R"({"address": "127.0.0.1:1", "born": 1000, "info":
        {"service": "shop", "slots": 19}, "status": {"state": "ready", "seq": 9999}})")
          == 200);
    std::this_thread::sleep_for(twoReports);
    for (int i = 0; i < 60; ++i) {
        Reply reply = platform.sendRequest(i % 3, "GET", "/x/1", fmt::format("reopen-{}", i));
        CHECK_FALSE(reply.contains(R"("instance":"i-0")"));
    }
}

// Guards against the incident LIMIT, also while the node beside the target restarts.
TEST_CASE("LIMIT: a target that states a rate gets no more from all nodes together")
{
    PlatformDeployment platform(19800);
    startDefaultTargets(platform);
    constexpr int desk = 2; // the only target of its service
    constexpr int rate = 5; // requests a second
    constexpr auto window = 4s;
    constexpr double maximumInWindow = 1.5 * rate * 4 + 5;
    auto countInWindow = [&](const std::string &id) {
        auto end = std::chrono::steady_clock::now() + window;
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i)
            platform.sendRequest(i % 2, "GET", "/d/1", id);
        return platform.countExecutions(id);
    };
    CHECK(countInWindow("not-limited") > maximumInWindow);
    platform.controlTarget(desk, R"({"limit": 5})");
    REQUIRE(platform.sendRequest(0, "GET", "/d/1", "states-limit").status == 200);
    int limited = countInWindow("limited");
    CHECK(limited <= maximumInWindow);
    CHECK(limited >= rate * 4 / 2);
    platform.node(desk).signal(SIGKILL);
    platform.removeNode(desk);
    platform.startNode(desk);
    CHECK(countInWindow("limited-after-restart") <= maximumInWindow);
    platform.controlTarget(desk, R"({"limit": 0})");
    REQUIRE(eventually(
        [&] { return platform.sendRequest(0, "GET", "/d/1", "states-none").status == 200; }));
    CHECK(countInWindow("not-limited-again") > maximumInWindow);
}

TEST_CASE("platform: a target whose response states that it leaves gets no further request")
{
    PlatformDeployment platform(19900);
    startDefaultTargets(platform);
    // Each node has found the other target of the service to be the slower one, so that its next
    // request goes to the one that leaves.
    auto reaches = [&](int node, const std::string &instance) {
        return eventually([&] {
            std::string body = platform.sendRequest(node, "GET", "/x/1", "before").body;
            return body.find(instance) != std::string::npos;
        });
    };
    platform.controlTarget(0, R"({"work_ms": 40})");
    for (int node = 0; node < 3; ++node)
        REQUIRE(reaches(node, R"("instance":"i-1")"));
    platform.controlTarget(0, R"({"work_ms": 0})");
    platform.controlTarget(1, R"({"work_ms": 300})");
    for (int node = 0; node < 3; ++node)
        REQUIRE(reaches(node, R"("instance":"i-0")"));
    platform.controlTarget(0, R"({"leaving": true})");
    auto servedBy = [&](int i) {
        return platform.sendRequest(i % 3, "GET", "/x/1", fmt::format("leaving-{}", i)).body;
    };
    std::string closing = R"("instance":"i-0")";
    int served = 0;
    for (int i = 0; i < 40; ++i)
        served += servedBy(i).find(closing) != std::string::npos ? 1 : 0;
    CHECK(served == 1);
}
