/** The whole path behind the front for the users' platform, with real processes on loopback. */

#include "deployment.h"

#include "http_client.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <thread>

using namespace ibiswell;
using namespace ibiswell::test;

namespace {

using namespace std::chrono_literals;

constexpr int portsOfNode = 6;
constexpr auto twoReports = 500ms; // of a target stand-in

std::string programFolder()
{
    const char *folder = std::getenv("IBISWELL_BIN");
    return folder ? folder : "build";
}

std::string configOf(int version, const std::string &service, const std::string &keys)
{
    return fmt::format(
        R"({{"metadata": {{"name": "main"}}, "spec": {{"version": "{:08x}",
        "services": [{{"name": "shop", "cold-per-s": 30}}, {{"name": "desk", "cold-per-s": 30}}],
        "tenants": [{{"name": "club", "api-keys": [{}], "rate-per-s": 500, "burst": 500}}],
        "virtual-hosts": [{{"host": "a.example", "paths": [
          {{"name": "browse", "path-prefix": "/x/", "kind": "safe", "timeout-s": 3,
            "service": "{}", "max-attempts": 2, "priority": 2}},
          {{"name": "desk", "path-prefix": "/d/", "kind": "safe", "timeout-s": 3,
            "service": "desk", "max-attempts": 2, "priority": 2}},
          {{"name": "order", "path-prefix": "/y/", "kind": "unsafe", "timeout-s": 3,
            "service": "{}", "max-attempts": 2, "priority": 0}}]}}]}}}})",
        version, keys, service, service);
}

/** A store, and targets with their nodes. */
class Platform
{
public:
    explicit Platform(int firstPort)
        : m_firstPort(firstPort)
        , m_folder(fmt::format("{}/platform-test-{}",
                               std::filesystem::temp_directory_path().string(), firstPort))
    {
        std::filesystem::create_directories(m_folder);
        m_store = std::make_unique<Process>(
            programFolder() + "/store_standin",
            std::vector<std::string> {"--port", std::to_string(firstPort)}, log("store"));
        REQUIRE(eventually([&] { return request(m_firstPort, "GET", "/").status == 404; }));
        write("POST", "/api/objects/config", configOf(1, "shop", R"("key-1", "key-2")"));
    }
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;
    ~Platform() { std::filesystem::remove_all(m_folder); }

    int callers(int node) const { return portOf(node, 0); }
    int readiness(int node) const { return portOf(node, 2); }
    int reports(int node) const { return portOf(node, 3); }
    int target(int node) const { return portOf(node, 4); }
    int store() const { return m_firstPort; }

    void add(const std::string &service)
    {
        int node = static_cast<int>(m_nodes.size());
        std::ofstream settings(file(node));
        settings << fmt::format(
            R"({{"node": "node-{}", "service": "{}", "zone": "a", "address": "127.0.0.1",
                "http": "127.0.0.1:{}", "peer_port": {}, "backend": "127.0.0.1:{}",
                "platform": "127.0.0.1:{}", "front": {{"readiness": "127.0.0.1:{}",
                "reports": "127.0.0.1:{}", "metrics": "127.0.0.1:{}", "bounds": "grace-s=6"}}}})",
            node, service, callers(node), portOf(node, 1), target(node), m_firstPort,
            readiness(node), reports(node), portOf(node, 5));
        settings.close();
        m_nodes.emplace_back();
        start(node);
        m_targets.push_back(std::make_unique<Process>(
            programFolder() + "/target_standin",
            std::vector<std::string> {"--port", std::to_string(target(node)), "--node",
                                      std::to_string(reports(node)), "--instance",
                                      fmt::format("i-{}", node), "--service", service},
            log(fmt::format("target-{}", node))));
    }
    void start(int node)
    {
        m_nodes[static_cast<std::size_t>(node)] = std::make_unique<Process>(
            programFolder() + "/ibiswelld_platform",
            std::vector<std::string> {"--settings", file(node)}, log(fmt::format("node-{}", node)));
    }
    Process &node(int node) { return *m_nodes[static_cast<std::size_t>(node)]; }
    void remove(int node) { m_nodes[static_cast<std::size_t>(node)].reset(); }

    Reply write(const std::string &method, const std::string &path, const std::string &body = "")
    {
        return request(m_firstPort, method, path, {}, body);
    }
    void fault(const std::string &body) { request(m_firstPort, "POST", "/faults", {}, body); }
    void say(int node, const std::string &body) { request(target(node), "POST", "/say", {}, body); }
    Reply ask(int node, const std::string &method, const std::string &path, const std::string &id,
              const std::string &key = "key-1")
    {
        HttpClientOptions options;
        options.preserveHost = true;
        asio::io_context context;
        HttpClient client({"127.0.0.1", static_cast<std::uint16_t>(callers(node))}, options);
        HttpRequest message {method,
                             path,
                             {{"Host", "a.example"},
                              {"Attempt-Id", id},
                              {"Deadline-Ms", "3000"},
                              {"Credential", key}},
                             {}};
        Reply reply;
        auto keep = [&](const std::exception_ptr &, CallResult result) {
            const HttpAnswer *answer = std::get_if<HttpAnswer>(&result);
            if (answer)
                reply = {answer->status, answer->body,
                         std::string(answer->header("Response-Signature"))};
        };
        asio::co_spawn(context, client.exchange(message, 5s), keep);
        context.run();
        return reply;
    }
    bool serves(int node) { return ask(node, "GET", "/x/1", "probe").status == 200; }
    /** Lines with @p event in what a node has written so far. */
    int linesOf(int node, const std::string &event) const
    {
        std::ifstream file(log(fmt::format("node-{}", node)));
        int count = 0;
        for (std::string line; std::getline(file, line);)
            count += line.find(" " + event + " ") != std::string::npos ? 1 : 0;
        return count;
    }
    bool isReady(int node) const
    {
        return request(readiness(node), "GET", "/api/readyz").status == 200;
    }
    int ran(const std::string &id) const
    {
        int sum = 0;
        for (int node = 0; node < static_cast<int>(m_nodes.size()); ++node)
            sum += std::atoi(request(target(node), "GET", "/ran?" + id).body.c_str());
        return sum;
    }

private:
    int portOf(int node, int offset) const { return m_firstPort + 1 + node * portsOfNode + offset; }
    std::string file(int node) const { return fmt::format("{}/node-{}.jsonc", m_folder, node); }
    std::string log(const std::string &name) const { return m_folder + "/" + name + ".log"; }

    int m_firstPort;
    std::string m_folder;
    std::unique_ptr<Process> m_store;
    std::vector<std::unique_ptr<Process>> m_targets;
    std::vector<std::unique_ptr<Process>> m_nodes;
};

void startUsual(Platform &platform)
{
    for (const char *service : {"shop", "shop", "desk"})
        platform.add(service);
    for (int node = 0; node < 3; ++node) {
        REQUIRE(eventually([&] { return platform.isReady(node); }));
        REQUIRE(eventually([&] { return platform.serves(node); }));
        REQUIRE(
            eventually([&] { return platform.ask(node, "GET", "/d/1", "probe").status == 200; }));
    }
}

} // namespace

TEST_CASE("platform: a request is served whole, with what the target must see and without its key")
{
    Platform platform(19000);
    startUsual(platform);
    Reply reply = platform.ask(2, "GET", "/x/tiles?n=1", "whole-1");
    CHECK(reply.status == 200);
    CHECK(reply.execution == "sig-whole-1");
    CHECK(reply.contains(R"("path":"/x/tiles?n=1")"));
    CHECK(reply.contains(R"("host":"a.example")"));
    CHECK(reply.contains(R"("tenant":"club")"));
    CHECK(reply.contains(R"("caller":"desk")"));
    CHECK(reply.contains(R"("key":"")"));
    CHECK(platform.ask(0, "GET", "/x/1", "r-1", "unknown").status == 401);
    CHECK(platform.ask(0, "GET", "/z/1", "r-2").status == 404);
    CHECK(platform.ran("whole-1") == 1);
}

TEST_CASE("platform: a new configuration, an evacuation and a withdrawn key come into force")
{
    Platform platform(19100);
    startUsual(platform);
    platform.write("PUT", "/api/objects/config/main", configOf(7, "desk", R"("key-2")"));
    for (int node = 0; node < 3; ++node) {
        CHECK(eventually([&] { return platform.ask(node, "GET", "/x/1", "k").status == 401; }));
        Reply moved = platform.ask(node, "GET", "/x/1", "moved", "key-2");
        CHECK_MESSAGE(moved.contains(R"("instance":"i-2")"), moved.status << " " << moved.body);
    }
    // The history is forgotten: nodes list anew, and an older version changes nothing.
    platform.fault(R"({"forget": true})");
    platform.write("PUT", "/api/objects/config/main", configOf(5, "shop", R"("key-1")"));
    platform.write("POST", "/api/objects/evacuations",
                   R"({"metadata": {"name": "a"}, "spec": {}})");
    CHECK(
        eventually([&] { return platform.ask(0, "GET", "/x/1", "gone", "key-2").status == 503; }));
    CHECK(platform.ask(0, "GET", "/x/1", "old", "key-1").status == 401);
    platform.write("DELETE", "/api/objects/evacuations/a");
    CHECK(
        eventually([&] { return platform.ask(0, "GET", "/x/1", "back", "key-2").status == 200; }));
}

TEST_CASE("platform: a draining target gets nothing after its report, and the others serve")
{
    Platform platform(19200);
    startUsual(platform);
    platform.say(0, R"({"state": "draining"})");
    std::this_thread::sleep_for(twoReports);
    for (int i = 0; i < 30; ++i) {
        Reply reply = platform.ask(i % 3, "GET", "/x/1", fmt::format("d-{}", i));
        CHECK_MESSAGE(reply.contains(R"("instance":"i-1")"), reply.status << " " << reply.body);
    }
    // The node beside it starts again with nothing remembered, while its target says nothing.
    platform.say(0, R"({"report": false})");
    platform.node(0).signal(SIGKILL);
    platform.remove(0);
    platform.start(0);
    REQUIRE(eventually([&] { return platform.serves(0); }));
    for (int i = 0; i < 30; ++i)
        CHECK(platform.ask(i % 3, "GET", "/x/1", fmt::format("e-{}", i))
                  .contains(R"("instance":"i-1")"));
}

TEST_CASE("platform: a request that is not idempotent runs at most once, and 503 means not run")
{
    Platform platform(19300);
    startUsual(platform);
    // A target rejects what it has not run: it runs elsewhere.
    platform.say(0, R"({"shed": 3})");
    platform.say(1, R"({"shed": 3})");
    for (int i = 0; i < 20; ++i) {
        std::string id = fmt::format("shed-{}", i);
        int status = platform.ask(0, "POST", "/y/1", id).status;
        CHECK(platform.ran(id) == (status == 200 ? 1 : 0));
    }
    // An answer is lost after the request ran: no second run, and no promise.
    platform.say(0, R"({"shed": 0, "lose": 1})");
    platform.say(1, R"({"shed": 0, "lose": 1})");
    for (int i = 0; i < 4; ++i) {
        std::string id = fmt::format("lost-{}", i);
        int status = platform.ask(0, "POST", "/y/1", id).status;
        CHECK_MESSAGE((status == 200 || status == 502 || status == 504), status);
        CHECK(platform.ran(id) <= 1);
    }
}

TEST_CASE("platform: the store is down, turns calls away or loses answers, and requests are served")
{
    Platform platform(19400);
    startUsual(platform);
    for (const char *mode : {"busy", "many", "silent"}) {
        platform.fault(fmt::format(R"({{"mode": "{}"}})", mode));
        for (int i = 0; i < 10; ++i)
            CHECK(platform.serves(i % 3));
        platform.fault(R"({"mode": ""})");
    }
    // A node starts whose first write takes effect while the answer is lost.
    platform.fault(R"({"lose_writes": 1})");
    platform.node(1).signal(SIGKILL);
    platform.remove(1);
    platform.start(1);
    CHECK(eventually([&] { return platform.serves(1); }));
    CHECK(eventually([&] { return platform.isReady(1); }));
}

TEST_CASE("platform: a node that is stopped says so, serves what comes, and ends")
{
    Platform platform(19500);
    startUsual(platform);
    platform.node(0).signal(SIGTERM);
    CHECK(eventually([&] { return !platform.isReady(0); }));
    CHECK(platform.ask(0, "GET", "/x/1", "while-stopping").status == 200);
    CHECK(platform.node(0).wait() == 0);
    CHECK(platform.serves(1));
    platform.node(1).signal(SIGHUP);
    CHECK(platform.serves(1));
}

TEST_CASE("platform: reports that cannot be read change nothing and are told once")
{
    Platform platform(19600);
    startUsual(platform);
    // The target's own reports stop, since each that is read ends the repetition.
    platform.say(0, R"({"report": false})");
    std::this_thread::sleep_for(twoReports);
    for (int i = 0; i < 5; ++i)
        CHECK(request(platform.reports(0), "POST", "/api/instances/i-0/heartbeat", {}, "{").status
              == 400);
    CHECK(eventually([&] { return platform.linesOf(0, "target-report-unreadable") > 0; }));
    request(platform.reports(0), "POST", "/api/instances/i-0/heartbeat", {}, "[]");
    CHECK(eventually([&] { return platform.linesOf(0, "target-report-unreadable") == 2; }));
    CHECK(platform.serves(0));
    CHECK(platform.isReady(0));
}
