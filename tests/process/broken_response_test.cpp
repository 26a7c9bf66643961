/** What callers get when a target sends broken responses, at its own node and at another one. */

#include "background_context.h"
#include "platform_deployment.h"
#include "response_cases.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace ibiswell;
using namespace ibiswell::test;

namespace {

using namespace std::chrono_literals;

/** More than the buffers of the connection between a node and its target take. */
constexpr std::size_t uploadBytes = 7u << 20;
constexpr int playsAtEachNode = 3;
constexpr Duration pauseBeforeEnding = 10ms;

/** A node beside a target with scripted responses, and a node of another service. */
class ScriptedTarget
{
public:
    explicit ScriptedTarget(int firstPort)
        : m_platform(firstPort)
    {
        m_platform.addNode("shop");
        m_platform.addNode("desk");
        m_server.emplace(m_servers.get(), static_cast<std::uint16_t>(m_platform.targetPort(0)),
                         ScriptedResponse {okWith("Content-Length: 0\r\n")});
        for (int node : {0, 1})
            REQUIRE(eventually([&] { return m_platform.isReady(node); }));
        m_platform.reportTarget(0, "shop");
        for (int node : {0, 1})
            REQUIRE(eventually([&] { return m_platform.isServing(node); }));
    }
    ScriptedTarget(const ScriptedTarget &) = delete;
    ScriptedTarget &operator=(const ScriptedTarget &) = delete;
    ~ScriptedTarget() { m_servers.stop(); }

    /** Sends an order that begins at @p node; returns the reply. */
    Reply playOnce(int node, ScriptedResponse response, std::size_t bodyBytes)
    {
        response.pauseBeforeEnding = pauseBeforeEnding;
        asio::post(m_servers.get(), [this, response] { m_server->setResponse(response); });
        m_platform.reportTarget(0, "shop");
        std::string id = fmt::format("order-{}", ++m_orders);
        std::string body(bodyBytes, 'x');
        return m_platform.sendRequest(node, "POST", "/y/1", id, "key-1", body);
    }

    std::vector<Reply> play(int node, const ScriptedResponse &response, std::size_t bodyBytes)
    {
        std::vector<Reply> replies;
        replies.reserve(playsAtEachNode);
        for (int play = 0; play < playsAtEachNode; ++play)
            replies.push_back(playOnce(node, response, bodyBytes));
        return replies;
    }

private:
    PlatformDeployment m_platform;
    BackgroundContext m_servers;
    std::optional<ScriptedServer> m_server;
    int m_orders = 0;
};

void checkFailed(const ResponseCase &broken, int node, const Reply &reply)
{
    CHECK_MESSAGE(reply.status == 502, broken.what << " at node " << node << ": " << reply.status);
}

void checkPassedOn(const ResponseCase &sound, int node, const Reply &reply)
{
    bool isWhole = reply.status == sound.status && reply.body == sound.body;
    CHECK_MESSAGE(isWhole,
                  sound.what << " at node " << node << ": " << reply.status << " with "
                             << reply.body.size() << " bytes");
    CHECK(reply.execution == "s");
}

} // namespace

TEST_CASE("BROKEN: responses during an upload are passed on whole or not at all")
{
    ScriptedTarget target(21000);
    for (int node : {0, 1}) {
        for (const ResponseCase &broken : brokenResponsesDuringUpload())
            for (const Reply &reply : target.play(node, broken.response, uploadBytes))
                checkFailed(broken, node, reply);
        for (const ResponseCase &sound : soundResponsesDuringUpload())
            for (const Reply &reply : target.play(node, sound.response, uploadBytes))
                checkPassedOn(sound, node, reply);
        for (const ResponseCase &refused : notRunDuringUpload())
            for (const Reply &reply : target.play(node, refused.response, uploadBytes))
                CHECK_MESSAGE(reply.status == 503, refused.what << ": " << reply.status);
    }
}

TEST_CASE("BROKEN: responses to short requests are passed on whole or not at all")
{
    ScriptedTarget target(21050);
    for (int node : {0, 1}) {
        for (const auto &cases : {brokenStatuses(), brokenInterimResponses(), brokenFields(),
                                  brokenFramings(), brokenEnds()})
            for (const ResponseCase &broken : cases)
                checkFailed(broken, node, target.playOnce(node, broken.response, 0));
        for (const auto &cases : {soundStatuses(), soundInterimResponses(), soundFields(),
                                  soundFramings(), soundEnds()})
            for (const ResponseCase &sound : cases)
                checkPassedOn(sound, node, target.playOnce(node, sound.response, 0));
    }
}

TEST_CASE("BROKEN: the operator's command says which page of a node it cannot read")
{
    Deployment deployment(21100);
    BackgroundContext servers;
    ScriptedServer node(servers.get(), static_cast<std::uint16_t>(deployment.httpPort(0)), {});
    auto page = [](const std::string &text) {
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", text.size(), text);
    };
    for (const std::string &bytes :
         {std::string("HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\n{}"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}"),
          std::string("HTTP/1.1 200 OK\r\n\r\n{}"), page("{}"), page("not JSON"), page(""),
          page(R"({"members": 7})"), page(R"({"members": [{"state": "alive"}]})")}) {
        asio::post(servers.get(), [&, bytes] { node.setResponse({bytes, Ending::CloseSending}); });
        for (const std::vector<std::string> &command :
             std::vector<std::vector<std::string>> {{"status"}, {"explain", "request-1"}}) {
            CommandResult result = deployment.runOperatorCommand(command);
            CHECK_MESSAGE(result.exitCode > 0, command.front() << " of " << bytes);
            std::string name = fmt::format("127.0.0.1:{}", deployment.httpPort(0));
            bool namesNode = result.output.find(name) != std::string::npos;
            CHECK_MESSAGE(namesNode, result.output);
        }
    }
    servers.stop();
}
