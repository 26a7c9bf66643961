#pragma once

#include "deployment.h"

#include "http_client.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ibiswell::test {

/** Rates in the configuration, in requests a second. */
struct ConfigRates
{
    int ofTeam = 500; ///< Also its burst.
    int ofColdTarget = 30;
};

/** A configuration of the users' platform with the services "shop" and "desk". */
inline std::string makeConfig(int version, const std::string &service, const std::string &keys,
                              const ConfigRates &rates = {})
{
    return fmt::format(
        R"({{"metadata": {{"name": "main"}}, "spec": {{"version": "{0:08x}",
        "services": [{{"name": "shop", "health-path": "/healthz", "cold-per-s": {1}}},
                     {{"name": "desk", "health-path": "/healthz", "cold-per-s": {1}}}],
        "tenants": [{{"name": "club", "api-keys": [{2}], "rate-per-s": {3}, "burst": {3}}}],
        "virtual-hosts": [{{"host": "a.example", "paths": [
          {{"name": "browse", "path-prefix": "/x/", "kind": "safe", "timeout-s": 3,
            "service": "{4}", "max-attempts": 2, "priority": 2}},
          {{"name": "desk", "path-prefix": "/d/", "kind": "safe", "timeout-s": 3,
            "service": "desk", "max-attempts": 2, "priority": 2}},
          {{"name": "order", "path-prefix": "/y/", "kind": "unsafe", "timeout-s": 3,
            "service": "{4}", "max-attempts": 2, "priority": 0}}]}}]}}}})",
        version, rates.ofColdTarget, keys, rates.ofTeam, service);
}

/** An object store, and nodes with or without their targets, on loopback. */
class PlatformDeployment
{
public:
    /** @param doors ports of the store, from @p firstPort; if several, each node has its own. */
    explicit PlatformDeployment(int firstPort, int doors = 1)
        : m_firstPort(firstPort)
        , m_doors(doors)
        , m_storePortOfNodes(firstPort)
        , m_folder(fmt::format("{}/platform-test-{}",
                               std::filesystem::temp_directory_path().string(), firstPort))
    {
        std::filesystem::create_directories(m_folder);
        m_store =
            std::make_unique<Process>(programFolder() + "/store_standin",
                                      std::vector<std::string> {"--port", std::to_string(firstPort),
                                                                "--doors", std::to_string(doors)},
                                      logPath("store"));
        REQUIRE(eventually([&] { return request(m_firstPort, "GET", "/").status == 404; }));
        writeStore("POST", "/api/objects/config", makeConfig(1, "shop", R"("key-1", "key-2")"));
    }
    PlatformDeployment(const PlatformDeployment &) = delete;
    PlatformDeployment &operator=(const PlatformDeployment &) = delete;
    ~PlatformDeployment()
    {
        if (!m_keepsLogs)
            std::filesystem::remove_all(m_folder);
    }
    void keepLogs() { m_keepsLogs = true; }

    int callerPort(int node) const { return portOf(node, 0); }
    int readinessPort(int node) const { return portOf(node, 2); }
    int reportPort(int node) const { return portOf(node, 3); }
    int targetPort(int node) const { return portOf(node, 4); }
    int peerPort(int node) const { return portOf(node, 1); }
    int metricsPort(int node) const { return portOf(node, 5); }
    int storePort() const { return m_firstPort; }
    /** Nodes that are added from now on use another store. */
    void useStore(int port) { m_storePortOfNodes = port; }

    void addTarget(const std::string &service)
    {
        int node = addNode(service);
        startTarget(node, service, fmt::format("i-{}", node));
    }
    /** Starts a target beside @p node, in place of the one that was there. */
    void startTarget(int node, const std::string &service, const std::string &instance)
    {
        m_targets.erase(node);
        m_targets.emplace(
            node,
            Process(programFolder() + "/target_standin",
                    std::vector<std::string> {"--port", std::to_string(targetPort(node)), "--node",
                                              std::to_string(reportPort(node)), "--instance",
                                              instance, "--service", service},
                    logPath(fmt::format("target-{}", node))));
    }
    void removeTarget(int node) { m_targets.erase(node); }
    /** Starts a node without a target; returns its number. */
    int addNode(const std::string &service, const std::string &zone = "a")
    {
        int node = static_cast<int>(m_nodes.size());
        std::ofstream settings(settingsPath(node));
        settings << fmt::format(
            R"({{"node": "node-{}", "service": "{}", "zone": "{}", "address": "127.0.0.1",
                "http": "127.0.0.1:{}", "peer_port": {}, "backend": "127.0.0.1:{}",
                "memory_mb": 160, "platform": "127.0.0.1:{}", "front": {{"readiness": "127.0.0.1:{}",
                "reports": "127.0.0.1:{}", "metrics": "127.0.0.1:{}", "bounds": "grace-s=6"}}}})",
            node, service, zone, callerPort(node), portOf(node, 1), targetPort(node),
            m_storePortOfNodes + (m_doors > 1 ? node : 0), readinessPort(node), reportPort(node),
            metricsPort(node));
        settings.close();
        m_nodes.emplace_back();
        startNode(node);
        return node;
    }
    void startNode(int node)
    {
        m_nodes[static_cast<std::size_t>(node)] =
            std::make_unique<Process>(programFolder() + "/ibiswelld_platform",
                                      std::vector<std::string> {"--settings", settingsPath(node)},
                                      logPath(fmt::format("node-{}", node)));
    }
    Process &node(int node) { return *m_nodes[static_cast<std::size_t>(node)]; }
    void removeNode(int node) { m_nodes[static_cast<std::size_t>(node)].reset(); }

    Reply writeStore(const std::string &method, const std::string &path,
                     const std::string &body = "")
    {
        return request(m_firstPort, method, path, {{"Operator", "yes"}}, body);
    }
    /** Writes @p count objects of a kind that nodes do not follow, so that the revision rises. */
    void raiseRevision(int count, const std::string &prefix)
    {
        for (int i = 0; i < count; ++i)
            writeStore(
                "POST", "/api/objects/other",
                fmt::format(R"({{"metadata": {{"name": "{}-{}"}}, "spec": {{}}}})", prefix, i));
    }
    void setStoreFault(const std::string &body)
    {
        request(m_firstPort, "POST", "/faults", {}, body);
    }
    void controlTarget(int node, const std::string &body)
    {
        request(targetPort(node), "POST", "/say", {}, body);
    }
    /** Reports the target beside @p node, for a test that is the target itself. */
    void reportTarget(int node, const std::string &service)
    {
        Reply reply = request(
            reportPort(node), "POST", fmt::format("/api/instances/i-{}/heartbeat", node),
            {{"Content-Type", "application/json"}},
            fmt::format(R"({{"address": "127.0.0.1:{}", "born": 1000, "info": {{"service": "{}",
                "slots": 19}}, "status": {{"state": "ready", "seq": {}}}}})",
                        targetPort(node), service, ++m_reports));
        REQUIRE(reply.status == 200);
    }
    Reply sendRequest(int node, const std::string &method, const std::string &path,
                      const std::string &id, const std::string &key = "key-1",
                      const std::string &body = "")
    {
        HttpClientOptions options;
        options.preserveHost = true;
        asio::io_context context;
        HttpClient client({"127.0.0.1", static_cast<std::uint16_t>(callerPort(node))}, options);
        HttpRequest message {method,
                             path,
                             {{"Host", "a.example"},
                              {"Attempt-Id", id},
                              {"Deadline-Ms", "3000"},
                              {"Credential", key}},
                             body};
        Reply reply;
        auto storeReply = [&](const std::exception_ptr &, CallResult result) {
            const HttpResponse *response = std::get_if<HttpResponse>(&result);
            if (response)
                reply = {response->status, response->body,
                         std::string(response->header("Response-Signature"))};
        };
        asio::co_spawn(context, client.exchange(message, std::chrono::seconds(5)), storeReply);
        context.run();
        return reply;
    }
    bool isServing(int node) { return sendRequest(node, "GET", "/x/1", "probe").status == 200; }
    /** Number of lines with @p event in the log of a node so far. */
    int countLogLines(int node, const std::string &event) const
    {
        std::ifstream file(logPath(fmt::format("node-{}", node)));
        int count = 0;
        for (std::string line; std::getline(file, line);)
            count += line.find(" " + event + " ") != std::string::npos ? 1 : 0;
        return count;
    }
    std::string logPath(const std::string &name) const { return m_folder + "/" + name + ".log"; }
    bool isReady(int node) const
    {
        return request(readinessPort(node), "GET", "/api/readyz").status == 200;
    }
    int countExecutions(const std::string &id) const
    {
        int sum = 0;
        for (int node = 0; node < static_cast<int>(m_nodes.size()); ++node)
            sum += std::atoi(request(targetPort(node), "GET", "/ran?" + id).body.c_str());
        return sum;
    }

private:
    static constexpr int portsPerNode = 6;

    int portOf(int node, int offset) const
    {
        return m_firstPort + m_doors + node * portsPerNode + offset;
    }
    std::string settingsPath(int node) const
    {
        return fmt::format("{}/node-{}.jsonc", m_folder, node);
    }

    int m_firstPort;
    int m_doors;
    int m_storePortOfNodes;
    std::string m_folder;
    int m_reports = 0; ///< That reportTarget() sent.
    bool m_keepsLogs = false; ///< For a look at a run that failed.
    std::unique_ptr<Process> m_store;
    std::map<int, Process> m_targets; ///< By node.
    std::vector<std::unique_ptr<Process>> m_nodes;
};

} // namespace ibiswell::test
