/**
 * Stand-in for a backend server, for tests and the example.
 *
 * A request to any path but those below is a piece of work: it occupies a slot for the service
 * time, calls the services given by --call through the local node, and returns JSON that names the
 * request.
 *
 * GET /health        {"state": ...}, as set by POST /control, whether true or not
 * GET /observed      the executions, cancellations, header names and overloads seen so far
 * POST /control      {"health", "shed", "cold", "slow_ms"}
 *                    sets the state for /health, whether all work is refused with 503, whether a
 *                    cold start begins, and a time that is added to the service time
 */

#include "http_client.h"
#include "serve_standin.h"

#include "ibiswell/policy/object_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <charconv>
#include <iostream>
#include <map>
#include <set>

namespace ibiswell {

namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

struct BackendOptions
{
    std::string name = "backend";
    std::uint16_t port = 0;
    int slots = 8;
    int connections = 64;
    int serviceMs = 5;
    int coldWork = 0; ///< Pieces of work until the server is warm.
    int coldSlots = 4; ///< Pieces of work at once while the server is cold.
    std::uint16_t nodePort = 0;
    std::vector<std::string> calls; ///< "METHOD /service/path" of each downstream call.
};

std::size_t parseNumberAfter(std::string_view text, std::string_view name)
{
    std::size_t at = text.find(name);
    std::size_t number = 0;
    if (at != std::string_view::npos)
        std::from_chars(text.data() + at + name.size(), text.data() + text.size(), number);
    return number;
}

class Backend
{
public:
    Backend(asio::io_context &context, BackendOptions options)
        : m_context(context)
        , m_options(std::move(options))
        , m_node({"127.0.0.1", m_options.nodePort})
        , m_remainingColdWork(m_options.coldWork)
        , m_slotFreed(context, std::chrono::steady_clock::time_point::max())
    {
    }

    Task<HttpResponse> handle(HttpRequest request)
    {
        if (request.path == "/health")
            co_return HttpResponse {200, {}, fmt::format("{{\"state\":\"{}\"}}", m_health)};
        if (request.path == "/observed")
            co_return observations();
        if (request.path == "/control")
            co_return applyControl(request.body);
        co_return co_await work(std::move(request));
    }

private:
    /** Releases the slot of a piece of work, and counts it as cancelled unless it is done. */
    struct WorkGuard
    {
        Backend &backend;
        bool isDone = false;
        bool isRunning = false;
        ~WorkGuard()
        {
            --backend.m_inFlight;
            backend.m_running -= isRunning ? 1 : 0;
            backend.m_cancelled += isDone ? 0 : 1;
            backend.m_slotFreed.cancel();
        }
    };

    int slots() const { return m_remainingColdWork > 0 ? m_options.coldSlots : m_options.slots; }

    Task<HttpResponse> work(HttpRequest request)
    {
        std::string requestId {request.header("x-request-id")};
        for (const HeaderField &field : request.headers)
            m_headerNames.insert(field.name);
        int maximumInFlight = m_remainingColdWork > 0 ? m_options.coldSlots : m_options.connections;
        if (m_isShedding || m_inFlight >= maximumInFlight) {
            m_coldOverloads += m_remainingColdWork > 0 ? 1 : 0;
            co_return HttpResponse {503, {}, "shed\n"};
        }
        ++m_inFlight;
        WorkGuard guard {*this};
        ++m_executions[requestId];
        while (m_inFlight > slots() && m_running >= slots()) {
            auto slotFreed = m_slotFreed.async_wait(asResult);
            co_await withTimeout(std::move(slotFreed), 50ms);
        }
        ++m_running;
        guard.isRunning = true;
        co_await sleepFor(std::chrono::milliseconds(m_options.serviceMs) + m_addedServiceTime);
        json::array downstream;
        bool downstreamFailed = false;
        std::string token {request.header("x-ibiswell-call")};
        for (const std::string &call : m_options.calls) {
            int status = co_await callDownstream(call, token);
            downstream.emplace_back(fmt::format("{} {}", status, call));
            downstreamFailed = downstreamFailed || status >= 500;
        }
        m_remainingColdWork -= m_remainingColdWork > 0 ? 1 : 0;
        guard.isDone = true;
        json::object body {{"server", m_options.name},
                           {"request", requestId},
                           {"team", std::string(request.header("x-ibiswell-team"))},
                           {"path", request.path},
                           {"below", downstream}};
        HttpResponse response {downstreamFailed ? 502 : 200,
                               {{"content-type", "application/json"}},
                               json::serialize(body) + "\n"};
        std::size_t bytes = parseNumberAfter(request.path, "bytes=");
        while (response.body.size() < bytes)
            response.body += requestId + "\n";
        co_return response;
    }

    Task<int> callDownstream(std::string call, std::string token)
    {
        std::size_t space = call.find(' ');
        HttpRequest request {
            call.substr(0, space), call.substr(space + 1), {{"x-ibiswell-call", token}}, ""};
        CallResult result = co_await m_node.exchange(std::move(request), 10s);
        const HttpResponse *response = std::get_if<HttpResponse>(&result);
        co_return response ? response->status : 502;
    }

    HttpResponse applyControl(const std::string &body)
    {
        Error error;
        auto value = parseJson(body, ErrorKind::BadRequest, error);
        if (!value)
            return {400, {}, error.detail};
        ErrorList errors;
        bool startsCold = false;
        ObjectReader reader(*value, "", errors);
        reader.readText("health", m_health);
        reader.readBoolean("shed", m_isShedding);
        reader.readBoolean("cold", startsCold);
        reader.readMilliseconds("slow_ms", {0, 60'000}, m_addedServiceTime);
        reader.finish();
        if (startsCold)
            m_remainingColdWork = m_options.coldWork;
        return {errors.isEmpty() ? 200 : 400, {}, errors.text()};
    }

    HttpResponse observations() const
    {
        json::object executions;
        for (const auto &[id, count] : m_executions)
            executions[id] = count;
        json::array names;
        for (const std::string &name : m_headerNames)
            names.emplace_back(name);
        json::object object {{"executions", executions},
                             {"cancelled", m_cancelled},
                             {"header_names", names},
                             {"overloads_while_cold", m_coldOverloads}};
        return {200, {}, json::serialize(object) + "\n"};
    }

    asio::io_context &m_context;
    BackendOptions m_options;
    HttpClient m_node;
    std::string m_health = "ok";
    bool m_isShedding = false;
    Duration m_addedServiceTime {};
    int m_remainingColdWork = 0;
    int m_inFlight = 0;
    int m_running = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_coldOverloads = 0;
    std::map<std::string, int> m_executions;
    std::set<std::string> m_headerNames;
    asio::steady_timer m_slotFreed;
};

} // namespace

} // namespace ibiswell

int main(int argc, char **argv)
{
    using namespace ibiswell;
    namespace po = boost::program_options;
    BackendOptions given;
    po::options_description options("Usage: backend_standin --port PORT [options]");
    options.add_options()("help", "print this text and exit")("port", po::value(&given.port),
                                                              "port on loopback")(
        "name", po::value(&given.name), "name in the responses")("slots", po::value(&given.slots),
                                                                 "pieces of work at once")(
        "connections", po::value(&given.connections),
        "pieces of work in progress or queued before it sheds")(
        "service-ms", po::value(&given.serviceMs), "length of a piece of work")(
        "cold-work", po::value(&given.coldWork), "pieces of work until the server is warm")(
        "cold-slots", po::value(&given.coldSlots), "pieces of work at once while it is cold")(
        "node-port", po::value(&given.nodePort), "HTTP port of the local node")(
        "call", po::value(&given.calls), "\"METHOD /service/path\" to call for each request");
    po::variables_map read;
    po::store(po::parse_command_line(argc, argv, options), read);
    po::notify(read);
    if (read.count("help") != 0) {
        std::cout << options;
        return 0;
    }
    asio::io_context context;
    std::uint16_t port = given.port;
    Backend backend(context, std::move(given));
    return serveStandin(context, port,
                        [&](HttpRequest request) { return backend.handle(std::move(request)); });
}
