#include "object_store.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** A store that is slow but alive answers within this time. */
constexpr Duration callLimit = 2s;

HttpClientOptions storeOptions()
{
    HttpClientOptions options;
    options.enableKeepAliveProbes = true;
    return options;
}

} // namespace

ObjectStore::ObjectStore(const StoreFormat &format, Endpoint store, Log &log, Metrics &metrics)
    : m_format(format)
    , m_client(std::move(store), storeOptions())
    , m_log(log)
    , m_metrics(metrics)
{
}

Task<StoreReply> ObjectStore::call(HttpRequest request, Duration limit, Reader read)
{
    m_metrics.recordPlatformCall();
    CallResult result = co_await m_client.exchange(std::move(request), limit);
    StoreReply reply;
    if (const Refusal *refusal = std::get_if<Refusal>(&result))
        reply = Error {ErrorKind::PlatformUnavailable, refusal->detail};
    else
        reply = read(std::get<HttpAnswer>(result));
    noteOutcome(reply);
    co_return reply;
}

void ObjectStore::noteOutcome(const StoreReply &reply)
{
    const Error *error = std::get_if<Error>(&reply);
    bool answers = !error;
    if (m_answers == answers)
        return;
    m_answers = answers;
    if (error)
        m_log.write(steadyNow(), LogLevel::Warning, "store-lost", {{"reason", error->detail}});
    else
        m_log.write(steadyNow(), LogLevel::Info, "store-answers",
                    {{"address", toString(m_client.server())}});
}

Task<StoreReply> ObjectStore::list(std::string kind, Freshness freshness)
{
    StoreListing all;
    for (;;) {
        std::string after = all.objects.empty() ? "" : all.objects.back().name;
        HttpRequest request = m_format.list(kind, after, freshness);
        StoreReply reply = co_await call(std::move(request), callLimit, m_format.listing);
        StoreListing *part = std::get_if<StoreListing>(&reply);
        if (!part)
            co_return reply;
        bool goesOn = part->more && !part->objects.empty();
        // Changes after the first part was read are seen again by a watch from its revision.
        if (all.revision == 0)
            all.revision = part->revision;
        std::move(part->objects.begin(), part->objects.end(), std::back_inserter(all.objects));
        if (!goesOn)
            co_return StoreReply(std::move(all));
    }
}

Task<StoreReply> ObjectStore::watch(std::string kind, std::uint64_t after, Duration wait)
{
    HttpRequest request = m_format.watch(kind, after, wait);
    co_return co_await call(std::move(request), wait + callLimit, m_format.changes);
}

Task<StoreReply> ObjectStore::create(std::string kind, std::string name, boost::json::value value)
{
    HttpRequest request = m_format.create(kind, name, value);
    co_return co_await call(std::move(request), callLimit, m_format.written);
}

Task<StoreReply> ObjectStore::replace(std::string kind, std::string name, boost::json::value value)
{
    HttpRequest request = m_format.replace(kind, name, value);
    co_return co_await call(std::move(request), callLimit, m_format.written);
}

Task<StoreReply> ObjectStore::remove(std::string kind, std::string name)
{
    HttpRequest request = m_format.remove(kind, name);
    co_return co_await call(std::move(request), callLimit, m_format.written);
}

} // namespace ibiswell
