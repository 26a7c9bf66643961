/**
 * Stand-in for a target of the users' platform: sends heartbeats to the node beside it, responds
 * to requests with a signature and their ids, and counts how often each ran.
 *
 * GET /ran?ID            how often the request with this id ran here
 * GET /heartbeat         takes the next heartbeat, which the caller may deliver late
 * GET /healthz           health: 200, or 503 while the target is draining or leaving
 * GET /asked             how often the health was asked
 * POST /say {"state": "ready" | "draining", "report": false, "lose": N, "shed": N,
 *            "limit": N, "leaving": true, "work_ms": N, "warmup_ms": N, "silent_health": N}
 *                        sets the state in the heartbeats, whether to send heartbeats, how many of
 *                        the next requests to leave without a response and to reject, and the rate
 *                        (0: none) and the leaving that its responses state, how long a request
 *                        takes, how long it stays cold, and how many of the next questions for its
 *                        health to leave without a response
 */

#include "http_client.h"
#include "serve_standin.h"

#include "ibiswell/policy/object_reader.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <map>

namespace ibiswell {

namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr Duration heartbeatInterval = 200ms;
constexpr Duration heartbeatTimeout = 1s;

struct Options
{
    std::uint16_t port = 0;
    std::uint16_t nodePort = 0; ///< Where the node receives heartbeats.
    std::string instance;
    std::string service;
    int slots = 20;
};

class Target
{
public:
    Target(asio::io_context &context, Options options)
        : m_options(std::move(options))
        , m_node({"127.0.0.1", m_options.nodePort})
    {
        auto now = std::chrono::system_clock::now().time_since_epoch();
        m_startedAtMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
        asio::co_spawn(context, sendHeartbeats(), asio::detached);
    }

    Task<HttpResponse> handle(HttpRequest request)
    {
        if (request.path == "/say")
            co_return applyState(request.body);
        if (request.path.starts_with("/ran?"))
            co_return HttpResponse {200, {}, std::to_string(m_executions[request.path.substr(5)])};
        if (request.path == "/heartbeat")
            co_return HttpResponse {200, {}, json::serialize(makeHeartbeat())};
        if (request.path == "/asked")
            co_return HttpResponse {200, {}, std::to_string(m_healthQuestions)};
        if (request.path == "/healthz")
            co_return co_await health();
        std::string id {request.header("Attempt-Id")};
        if (request.header("Expected-Instance") != m_options.instance)
            co_return HttpResponse {
                421, {{"Attempt-Id", id}, {"Instance-Id", m_options.instance}}, {}};
        if (m_requestsToShed > 0 && m_requestsToShed-- > 0)
            co_return HttpResponse {503, {{"Attempt-Id", id}, {"Not-Executed", "1"}}, {}};
        ++m_executions[id];
        co_await sleepFor(m_workTime);
        if (m_responsesToLose > 0 && m_responsesToLose-- > 0)
            co_await sleepFor(60s);
        json::object body {{"instance", m_options.instance},
                           {"path", request.path},
                           {"host", std::string(request.header("Host"))},
                           {"tenant", std::string(request.header("Tenant"))},
                           {"caller", std::string(request.header("Caller-Service"))},
                           {"key", std::string(request.header("Credential"))},
                           {"body", request.body}};
        HttpResponse response {
            200, {{"Attempt-Id", id}, {"Response-Signature", "sig-" + id}}, json::serialize(body)};
        addStatements(response);
        co_return response;
    }

private:
    void addStatements(HttpResponse &response) const
    {
        if (m_statedRate > 0)
            response.headers.push_back({"Server-Limit", fmt::format("{}.0", m_statedRate)});
        if (m_statesLeaving)
            response.headers.push_back({"Server-Leaving", "1"});
    }

    Task<HttpResponse> health()
    {
        ++m_healthQuestions;
        if (m_silentHealthResponses > 0 && m_silentHealthResponses-- > 0)
            co_await sleepFor(60s);
        bool isHealthy = m_state == "ready" && !m_statesLeaving;
        HttpResponse response {isHealthy ? 200 : 503, {{"Instance-Id", m_options.instance}}, {}};
        if (m_remainingWarmup > Duration::zero())
            response.headers.push_back(
                {"Warmup-Ms", fmt::format("{:.0f}", inSeconds(m_remainingWarmup) * 1000)});
        addStatements(response);
        co_return response;
    }

    json::object makeHeartbeat()
    {
        return {{"address", fmt::format("127.0.0.1:{}", m_options.port)},
                {"born", m_startedAtMs},
                {"info", json::object {{"service", m_options.service}, {"slots", m_options.slots}}},
                {"status",
                 json::object {{"state", m_state},
                               {"seq", ++m_sequence},
                               {"warmup-left-s", inSeconds(m_remainingWarmup)}}}};
    }

    HttpResponse applyState(const std::string &text)
    {
        Error error;
        auto value = parseJson(text, ErrorKind::BadRequest, error);
        if (!value)
            return {400, {}, error.detail};
        ErrorList errors;
        ObjectReader reader(*value, "", errors);
        reader.readText("state", m_state);
        reader.readBoolean("report", m_sendsHeartbeats);
        reader.readInteger("lose", {0, 1000}, m_responsesToLose);
        reader.readInteger("shed", {0, 1000}, m_requestsToShed);
        reader.readInteger("limit", {0, 1000}, m_statedRate);
        reader.readBoolean("leaving", m_statesLeaving);
        reader.readMilliseconds("work_ms", {0, 60'000}, m_workTime);
        reader.readMilliseconds("warmup_ms", {0, 60'000}, m_remainingWarmup);
        reader.readInteger("silent_health", {0, 1000}, m_silentHealthResponses);
        return {errors.isEmpty() ? 200 : 400, {}, errors.text()};
    }

    Task<void> sendHeartbeats()
    {
        for (;;) {
            if (m_sendsHeartbeats) {
                HttpRequest request {"POST",
                                     fmt::format("/api/instances/{}/heartbeat", m_options.instance),
                                     {{"content-type", "application/json"}},
                                     json::serialize(makeHeartbeat())};
                CallResult result = co_await m_node.exchange(std::move(request), heartbeatTimeout);
                static_cast<void>(result); // the next heartbeat is sent in any case
            }
            co_await sleepFor(heartbeatInterval);
        }
    }

    Options m_options;
    HttpClient m_node;
    std::int64_t m_startedAtMs = 0;
    std::uint64_t m_sequence = 0;
    std::string m_state = "ready";
    bool m_sendsHeartbeats = true;
    int m_responsesToLose = 0;
    int m_requestsToShed = 0;
    int m_statedRate = 0; ///< Requests a second; 0: the responses state none.
    bool m_statesLeaving = false;
    Duration m_workTime = 5ms;
    Duration m_remainingWarmup {}; ///< As stated; it does not count down.
    int m_healthQuestions = 0;
    int m_silentHealthResponses = 0;
    std::map<std::string, int> m_executions;
};

} // namespace

} // namespace ibiswell

int main(int argc, char **argv)
{
    using namespace ibiswell;
    namespace po = boost::program_options;
    Options given;
    po::options_description options("Options");
    options.add_options()("port", po::value(&given.port)->required(), "TCP port on loopback")(
        "node", po::value(&given.nodePort)->required(), "port where the node receives heartbeats")(
        "instance", po::value(&given.instance)->required(),
        "id")("service", po::value(&given.service)->required(), "name of the service");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    asio::io_context context;
    std::uint16_t port = given.port;
    Target target(context, std::move(given));
    return serveStandin(context, port,
                        [&](HttpRequest request) { return target.handle(std::move(request)); });
}
