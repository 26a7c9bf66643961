/**
 * Stand-in for the platform's object API, for tests and the example.
 *
 * GET /objects/NAME                    the object, its version in the ETag; 404 when missing
 * PUT /objects/NAME?if_version=N       conditional write; 409 when the version differs
 * GET /watch/NAME?after=N&wait_ms=T    the object as soon as its version is above N
 * GET /counters                        number of calls of each kind
 * POST /faults                         {"down", "slow_ms", "lose_answers"}
 *                                      sets whether object calls get 503, how long they are
 *                                      delayed, and how many of the next writes get no response
 *                                      in time
 */

#include "serve_standin.h"

#include "ibiswell/policy/object_reader.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <charconv>
#include <map>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maximumValueBytes = 1u << 20;
constexpr Duration lostResponseDelay = 5s; // longer than clients wait

struct Faults
{
    bool isDown = false;
    Duration responseDelay {};
    /** How many of the next writes take effect but get no response in time. */
    int responsesToLose = 0;
};

struct Object
{
    std::uint64_t version = 0;
    std::string value;
};

std::uint64_t parseNumberAfter(std::string_view text, std::string_view name)
{
    std::size_t at = text.find(name);
    std::uint64_t number = 0;
    if (at != std::string_view::npos)
        std::from_chars(text.data() + at + name.size(), text.data() + text.size(), number);
    return number;
}

std::string parseName(std::string_view path, std::string_view prefix)
{
    std::string_view rest = path.substr(prefix.size());
    return std::string(rest.substr(0, rest.find('?')));
}

class Platform
{
public:
    explicit Platform(asio::io_context &context)
        : m_changeSignal(context, std::chrono::steady_clock::time_point::max())
    {
    }

    Task<HttpResponse> handle(HttpRequest request)
    {
        if (request.path == "/counters")
            co_return counters();
        if (request.path == "/faults")
            co_return setFaults(request.body);
        ++m_calls[request.path.starts_with("/watch/") ? "watch" : request.method];
        if (m_faults.responseDelay > Duration::zero())
            co_await sleepFor(m_faults.responseDelay);
        if (m_faults.isDown)
            co_return HttpResponse {503, {}, "down\n"};
        if (request.path.starts_with("/watch/"))
            co_return co_await watch(std::move(request));
        if (request.method == "PUT")
            co_return co_await put(std::move(request));
        co_return get(parseName(request.path, "/objects/"));
    }

private:
    static HttpResponse makeResponse(const Object &object)
    {
        return {200, {{"ETag", fmt::format("\"{}\"", object.version)}}, object.value};
    }

    HttpResponse get(const std::string &name) const
    {
        auto found = m_objects.find(name);
        return found == m_objects.end() ? HttpResponse {404, {}, ""} : makeResponse(found->second);
    }

    Task<HttpResponse> put(HttpRequest request)
    {
        Object &object = m_objects[parseName(request.path, "/objects/")];
        if (object.version != parseNumberAfter(request.path, "if_version="))
            co_return HttpResponse {409, {}, "conflict\n"};
        if (request.body.size() > maximumValueBytes)
            co_return HttpResponse {413, {}, "a value is at most a megabyte\n"};
        object.version += 1;
        object.value = std::move(request.body);
        HttpResponse response {200, {{"ETag", fmt::format("\"{}\"", object.version)}}, ""};
        m_changeSignal.cancel();
        if (m_faults.responsesToLose > 0) {
            --m_faults.responsesToLose;
            co_await sleepFor(lostResponseDelay);
        }
        co_return response;
    }

    Task<HttpResponse> watch(HttpRequest request)
    {
        std::string name = parseName(request.path, "/watch/");
        std::uint64_t after = parseNumberAfter(request.path, "after=");
        TimePoint until =
            steadyNow() + std::chrono::milliseconds(parseNumberAfter(request.path, "wait_ms="));
        while (steadyNow() < until && !m_faults.isDown && versionOf(name) <= after) {
            auto change = m_changeSignal.async_wait(asResult);
            co_await withTimeout(std::move(change), std::min<Duration>(100ms, until - steadyNow()));
        }
        co_return m_faults.isDown ? HttpResponse {503, {}, "down\n"} : get(name);
    }

    std::uint64_t versionOf(const std::string &name) const
    {
        auto found = m_objects.find(name);
        return found == m_objects.end() ? 0 : found->second.version;
    }

    HttpResponse setFaults(const std::string &body)
    {
        Error error;
        auto value = parseJson(body, ErrorKind::BadRequest, error);
        if (!value)
            return {400, {}, error.detail};
        ErrorList errors;
        ObjectReader reader(*value, "", errors);
        reader.readBoolean("down", m_faults.isDown);
        reader.readMilliseconds("slow_ms", {0, 60'000}, m_faults.responseDelay);
        reader.readInteger("lose_answers", {0, 1000}, m_faults.responsesToLose);
        reader.finish();
        return {errors.isEmpty() ? 200 : 400, {}, errors.text()};
    }

    HttpResponse counters() const
    {
        boost::json::object object;
        for (const auto &[kind, count] : m_calls)
            object[kind] = count;
        return {200, {}, boost::json::serialize(object)};
    }

    std::map<std::string, Object> m_objects;
    std::map<std::string, std::uint64_t> m_calls;
    Faults m_faults;
    asio::steady_timer m_changeSignal;
};

} // namespace

} // namespace ibiswell

int main(int argc, char **argv)
{
    using namespace ibiswell;
    namespace po = boost::program_options;
    std::uint16_t port = 0;
    po::options_description options("Usage: platform_standin --port PORT");
    options.add_options()("port", po::value(&port)->required(), "port on loopback");
    po::variables_map given;
    po::store(po::parse_command_line(argc, argv, options), given);
    po::notify(given);
    asio::io_context context;
    Platform platform(context);
    return serveStandin(context, port,
                        [&](HttpRequest request) { return platform.handle(std::move(request)); });
}
