/**
 * Stand-in for the users' object store: lists, watches, revisions and conditional creation, with
 * faults that a test sets.
 *
 * POST /faults   {"mode": "" | "busy" | "many" | "silent", "lose_writes": N, "forget": true,
 *                 "odd_entry": TEXT, "copy": true, "restore": true, "keep_watches": BOOL,
 *                 "endless_pages": BOOL, "silent_doors": [N], "silent_kind": TEXT,
 *                 "watch_delay_ms": N}
 *                "busy", "many" and "silent": all requests get 503, 429 or no response,
 *                but for those with a header field Operator;
 *                "lose_writes": the next N writes take effect but get no response;
 *                "odd_entry": text that each listing and each watch holds as one more entry, as it
 *                is, valid or not; empty: none
 *                "forget": the recorded changes are discarded, so that a watch from an older
 *                revision gets 410
 *                "copy": keeps a copy of all objects and the revision
 *                "restore": the store goes back to the copy, with an empty history and the next
 *                era: revisions since are given out again, a watch from a later one gets 410
 *                "keep_watches": whether watches that wait during a restore go on waiting; by
 *                default they end with 503
 *                "endless_pages": each listing is a page of about a megabyte that another one
 *                follows
 *                "silent_doors": responses at these doors are lost, those of requests that arrive
 *                meanwhile for good; "silent_kind": only those on this kind. Nodes reach the store
 *                through different doors: consecutive ports from the given one.
 *                "watch_delay_ms": responses to watches arrive so much later
 *
 * Each response states the era in Store-Era.
 */

#include "serve_standin.h"

#include "ibiswell/policy/object_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <charconv>
#include <deque>
#include <map>
#include <set>

namespace ibiswell {

namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr std::string_view objectsPath = "/api/objects/";
/** Header field of the operator's calls, which are served in any mode. */
constexpr std::string_view operatorField = "Operator";
constexpr Duration silentDelay = 60s; // longer than any client waits

std::uint64_t parseNumberAfter(std::string_view text, std::string_view name)
{
    std::size_t at = text.find(name);
    std::uint64_t number = 0;
    if (at != std::string_view::npos)
        std::from_chars(text.data() + at + name.size(), text.data() + text.size(), number);
    return number;
}

HttpResponse makeResponse(int status, const json::value &body = json::object())
{
    return {status, {{"content-type", "application/json"}}, json::serialize(body)};
}

class Store
{
public:
    explicit Store(asio::io_context &context)
        : m_changeSignal(context, std::chrono::steady_clock::time_point::max())
    {
    }

    Task<HttpResponse> handle(std::size_t door, HttpRequest request)
    {
        std::string path = request.path;
        bool isOperator = !request.header(operatorField).empty();
        bool isWatch = path.find("watch=") != std::string::npos;
        bool isLost = isSilent(door, path) && !isOperator;
        HttpResponse response = co_await respond(std::move(request));
        isLost = isLost || (isSilent(door, path) && !isOperator);
        if (isLost)
            co_await sleepFor(silentDelay);
        if (isWatch)
            co_await sleepFor(m_watchDelay);
        response.headers.push_back({"Store-Era", std::to_string(m_current.era)});
        co_return response;
    }

private:
    using ObjectsByKind = std::map<std::string, std::map<std::string, json::value>>;
    struct RevisionEvent
    {
        std::uint64_t revision;
        std::string kind;
        json::value event;
    };
    /** What a copy of the store holds; the era rises with each restore of one. */
    struct State
    {
        ObjectsByKind objects;
        std::uint64_t revision = 1;
        std::uint64_t era = 1;
    };

    Task<HttpResponse> respond(HttpRequest request)
    {
        if (request.path == "/faults")
            co_return setFaults(request.body);
        bool isRefused = request.header(operatorField).empty();
        if (isRefused && m_mode == "busy")
            co_return makeResponse(503);
        if (isRefused && m_mode == "many")
            co_return makeResponse(429);
        if (isRefused && m_mode == "silent")
            co_await sleepFor(silentDelay);
        if (!request.path.starts_with(objectsPath))
            co_return makeResponse(404);
        std::string rest = request.path.substr(objectsPath.size());
        std::string query = rest.find('?') == std::string::npos ? "" : rest.substr(rest.find('?'));
        std::string path = rest.substr(0, rest.find('?'));
        std::string kind = path.substr(0, path.find('/'));
        std::string name = path.size() > kind.size() ? path.substr(kind.size() + 1) : "";
        if (request.method != "GET") {
            HttpResponse response = write(request, kind, name);
            if (m_writesToLose > 0 && --m_writesToLose >= 0)
                co_await sleepFor(silentDelay);
            co_return response;
        }
        if (query.find("watch=") == std::string::npos)
            co_return list(kind);
        auto wait = std::chrono::milliseconds(parseNumberAfter(query, "wait-ms="));
        co_return co_await watch(kind, parseNumberAfter(query, "watch="), wait);
    }

    /** Whether a response that is due now at @p door would be lost. */
    bool isSilent(std::size_t door, std::string_view path) const
    {
        return m_silentDoors.contains(door)
            && path.starts_with(std::string(objectsPath) + m_silentKind);
    }

    void discardHistory()
    {
        m_events.clear();
        m_discardedUntil = m_current.revision;
        m_changeSignal.cancel();
    }

    void restoreCopy()
    {
        std::uint64_t era = m_current.era + 1;
        m_current = m_copy;
        m_current.era = era;
        discardHistory();
    }

    HttpResponse setFaults(const std::string &text)
    {
        Error error;
        auto value = parseJson(text, ErrorKind::BadRequest, error);
        if (!value)
            return makeResponse(400);
        ErrorList errors;
        ObjectReader reader(*value, "", errors);
        bool discardsChanges = false;
        bool takesCopy = false;
        bool restores = false;
        reader.readText("mode", m_mode);
        reader.readInteger("lose_writes", {0, 1000}, m_writesToLose);
        reader.readText("odd_entry", m_oddEntry);
        reader.readBoolean("forget", discardsChanges);
        reader.readBoolean("copy", takesCopy);
        reader.readBoolean("restore", restores);
        reader.readBoolean("keep_watches", m_keepsWatches);
        reader.readBoolean("endless_pages", m_hasEndlessPages);
        reader.readText("silent_kind", m_silentKind);
        reader.readMilliseconds("watch_delay_ms", {0, 60'000}, m_watchDelay);
        if (const json::value *doors = reader.readChild("silent_doors"))
            setSilentDoors(*doors);
        if (discardsChanges)
            discardHistory();
        if (takesCopy)
            m_copy = m_current;
        if (restores)
            restoreCopy();
        return makeResponse(errors.isEmpty() ? 200 : 400);
    }

    void setSilentDoors(const json::value &doors)
    {
        m_silentDoors.clear();
        for (const json::value &door : doors.as_array())
            m_silentDoors.insert(door.to_number<std::size_t>());
    }

    HttpResponse write(const HttpRequest &request, const std::string &kind, std::string name)
    {
        if (request.method == "DELETE") {
            auto found = m_current.objects[kind].find(name);
            if (found == m_current.objects[kind].end())
                return makeResponse(404);
            json::value object = found->second;
            m_current.objects[kind].erase(found);
            recordChange(kind, object, true);
            return makeResponse(200, object);
        }
        Error error;
        auto body = parseJson(request.body, ErrorKind::BadRequest, error);
        if (!body || !body->is_object())
            return makeResponse(400);
        if (name.empty())
            name = std::string(body->at("metadata").at("name").as_string());
        bool exists = m_current.objects[kind].contains(name);
        if (request.method == "POST" && exists)
            return makeResponse(409, m_current.objects[kind][name]);
        if (request.method == "PUT" && !exists)
            return makeResponse(404);
        json::object object {
            {"metadata", json::object {{"name", name}, {"revision", m_current.revision + 1}}},
            {"spec", body->as_object()["spec"]},
            {"status", nullptr}};
        m_current.objects[kind][name] = object;
        recordChange(kind, object, false);
        return makeResponse(200, object);
    }

    void recordChange(const std::string &kind, const json::value &object, bool removed)
    {
        ++m_current.revision;
        m_events.push_back(
            {m_current.revision, kind, json::object {{"removed", removed}, {"object", object}}});
        m_changeSignal.cancel();
    }

    /** A response with @p entries and, as another writer left it, the odd one. */
    HttpResponse makeListResponse(std::string_view field, const json::array &entries,
                                  const std::string &oddEntry) const
    {
        std::string list = json::serialize(entries);
        if (!oddEntry.empty())
            list.insert(1, oddEntry + (entries.empty() ? "" : ","));
        return {200,
                {{"content-type", "application/json"}},
                fmt::format(R"({{"{}":{},"more":false,"current-rev":{}}})", field, list,
                            m_current.revision)};
    }

    HttpResponse endlessPage()
    {
        constexpr std::size_t valueBytes = 1u << 20;
        json::array items;
        items.push_back(json::object {
            {"metadata",
             json::object {{"name", fmt::format("page-{}", m_pages++)}, {"revision", 1}}},
            {"spec", std::string(valueBytes, 'v')}});
        return {200,
                {{"content-type", "application/json"}},
                fmt::format(R"({{"items":{},"more":true,"current-rev":{}}})",
                            json::serialize(items), m_current.revision)};
    }

    HttpResponse list(const std::string &kind)
    {
        if (m_hasEndlessPages)
            return endlessPage();
        json::array items;
        for (const auto &[name, object] : m_current.objects[kind])
            items.push_back(object);
        return makeListResponse("items", items, m_oddEntry);
    }

    std::string oddEvent() const
    {
        return m_oddEntry.empty() ? "" : R"({"removed":false,"object":)" + m_oddEntry + "}";
    }

    Task<HttpResponse> watch(std::string kind, std::uint64_t after, Duration wait)
    {
        TimePoint end = steadyNow() + wait;
        if (after < m_discardedUntil || after > m_current.revision)
            co_return makeResponse(410);
        std::uint64_t era = m_current.era;
        for (;;) {
            if (m_current.era != era && !m_keepsWatches)
                co_return makeResponse(503);
            if (m_current.era == era && after < m_discardedUntil)
                co_return makeResponse(410);
            json::array events;
            for (const RevisionEvent &change : m_events) {
                if (change.revision > after && change.kind == kind)
                    events.push_back(change.event);
            }
            if (!events.empty() || steadyNow() >= end || m_mode == "busy")
                co_return makeListResponse("events", events, oddEvent());
            auto changed = m_changeSignal.async_wait(asResult);
            co_await withTimeout(std::move(changed), std::min<Duration>(end - steadyNow(), 100ms));
        }
    }

    State m_current;
    State m_copy;
    std::deque<RevisionEvent> m_events;
    bool m_keepsWatches = false;
    bool m_hasEndlessPages = false;
    int m_pages = 0;
    std::uint64_t m_discardedUntil = 0;
    std::string m_mode;
    std::string m_oddEntry;
    std::set<std::size_t> m_silentDoors;
    std::string m_silentKind; ///< Empty: all kinds.
    Duration m_watchDelay {};
    int m_writesToLose = 0;
    asio::steady_timer m_changeSignal;
};

} // namespace

} // namespace ibiswell

int main(int argc, char **argv)
{
    using namespace ibiswell;
    namespace po = boost::program_options;
    std::uint16_t port = 0;
    std::size_t doors = 1;
    po::options_description options("Options");
    options.add_options()("port", po::value(&port)->required(), "first TCP port on loopback")(
        "doors", po::value(&doors), "number of ports");
    po::variables_map given;
    po::store(po::parse_command_line(argc, argv, options), given);
    po::notify(given);
    asio::io_context context;
    Store store(context);
    return serveStandin(context, port, doors, [&](std::size_t door, HttpRequest request) {
        return store.handle(door, std::move(request));
    });
}
