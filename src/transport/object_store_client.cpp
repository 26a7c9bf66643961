#include "object_store_client.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** A store that is slow but available responds within this time. */
constexpr Duration callTimeout = 2s;
/** A check that is not answered by then is repeated, here or by another node. */
constexpr Duration checkTimeout = 1s;
/** A page holds about a megabyte, or one object more. */
constexpr std::size_t maximumPageBytes = 4u << 20;
/** Many times what the store holds of one kind at the size of the largest fleet. */
constexpr std::size_t maximumListingBytes = 24u << 20;
/** Names that are remembered, so that an unreadable object is logged once and not at each look. */
constexpr std::size_t maximumLoggedUnreadable = 64;

HttpClientOptions storeOptions()
{
    HttpClientOptions options;
    options.enableKeepAliveProbes = true;
    options.maximumBodyBytes = maximumPageBytes;
    return options;
}

} // namespace

ObjectStoreClient::ObjectStoreClient(const StoreFormat &format, Endpoint store, StoreEra &era,
                                     Log &log, Metrics &metrics)
    : m_format(format)
    , m_client(std::move(store), storeOptions())
    , m_era(era)
    , m_log(log)
    , m_metrics(metrics)
{
}

Task<StoreReply> ObjectStoreClient::call(HttpRequest request, Duration limit, ResponseParser parse)
{
    m_metrics.recordPlatformCall();
    CallResult result = co_await m_client.exchange(std::move(request), limit);
    StoreReply reply;
    if (const Refusal *refusal = std::get_if<Refusal>(&result))
        reply = Error {ErrorKind::PlatformUnavailable, refusal->detail};
    else
        reply = parseInEra(std::get<HttpResponse>(result), parse);
    logAvailabilityChange(reply);
    co_return reply;
}

StoreReply ObjectStoreClient::parseInEra(const HttpResponse &response, ResponseParser parse)
{
    std::uint64_t era = m_format.readEra(response).value_or(m_era.latest());
    m_era.onStated(era);
    StoreReply reply = parse(response);
    if (StoreListing *listing = std::get_if<StoreListing>(&reply))
        listing->position.era = era;
    if (StoreChanges *changes = std::get_if<StoreChanges>(&reply))
        changes->position.era = era;
    if (era < m_era.latest())
        return Error {ErrorKind::PlatformUnavailable, "the store responded from an earlier era"};
    return reply;
}

void ObjectStoreClient::logAvailabilityChange(const StoreReply &reply)
{
    const Error *error = std::get_if<Error>(&reply);
    bool isAvailable = !error;
    if (m_isAvailable == isAvailable)
        return;
    m_isAvailable = isAvailable;
    if (error)
        m_log.write(steadyNow(), LogLevel::Warning, "store-lost", {{"reason", error->detail}});
    else
        m_log.write(steadyNow(), LogLevel::Info, "store-answers",
                    {{"address", toString(m_client.server())}});
}

void ObjectStoreClient::logUnreadable(const std::string &kind,
                                      const std::vector<UnreadableObject> &objects)
{
    for (const UnreadableObject &object : objects) {
        std::string path = kind + "/" + object.name;
        if (m_loggedUnreadable.size() >= maximumLoggedUnreadable)
            m_loggedUnreadable.clear();
        bool isNew = m_loggedUnreadable.insert(path).second;
        if (isNew)
            m_log.write(steadyNow(), LogLevel::Warning, "store-object-unreadable",
                        {{"object", path}, {"reason", object.reason}});
    }
}

Task<StoreReply> ObjectStoreClient::list(std::string kind, Freshness freshness)
{
    return listPages(std::move(kind), freshness, callTimeout);
}

Task<StoreReply> ObjectStoreClient::check(std::string kind)
{
    return listPages(std::move(kind), Freshness::Current, checkTimeout);
}

Task<StoreReply> ObjectStoreClient::listPages(std::string kind, Freshness freshness,
                                              Duration limitOfPage)
{
    StoreListing all;
    std::size_t bytes = 0;
    for (;;) {
        HttpRequest request = m_format.listRequest(kind, all.lastName, freshness);
        StoreReply reply = co_await call(std::move(request), limitOfPage, m_format.parseListing);
        StoreListing *page = std::get_if<StoreListing>(&reply);
        if (!page)
            co_return reply;
        logUnreadable(kind, page->unreadable);
        bool hasNextPage = page->hasMore && !page->lastName.empty();
        bool isRepeated = page->lastName == all.lastName;
        bytes += page->bytes;
        if (hasNextPage && (isRepeated || bytes > maximumListingBytes))
            co_return Error {ErrorKind::PlatformUnavailable, "the listing does not end"};
        // A watch from the first page's position reports all changes during the later pages.
        if (!all.position.isKnown())
            all.position = page->position;
        if (page->position.era != all.position.era)
            co_return Error {ErrorKind::PlatformUnavailable, "the store went back meanwhile"};
        all.lastName = page->lastName;
        std::move(page->objects.begin(), page->objects.end(), std::back_inserter(all.objects));
        if (!hasNextPage)
            co_return StoreReply(std::move(all));
    }
}

Task<StoreReply> ObjectStoreClient::watch(std::string kind, StorePosition after, Duration wait)
{
    HttpRequest request = m_format.watchRequest(kind, after.revision, wait);
    StoreReply reply = co_await call(std::move(request), wait + callTimeout, m_format.parseChanges);
    const StoreChanges *changes = std::get_if<StoreChanges>(&reply);
    if (!changes)
        co_return reply;
    // The revision is another point in the history of a store that has come back.
    if (changes->position.era != after.era)
        co_return StoreHistoryGone {};
    logUnreadable(kind, changes->unreadable);
    co_return reply;
}

Task<StoreReply> ObjectStoreClient::create(std::string kind, std::string name,
                                           boost::json::value value)
{
    HttpRequest request = m_format.createRequest(kind, name, value);
    co_return co_await call(std::move(request), callTimeout, m_format.parseWriteResponse);
}

Task<StoreReply> ObjectStoreClient::replace(std::string kind, std::string name,
                                            boost::json::value value)
{
    HttpRequest request = m_format.replaceRequest(kind, name, value);
    co_return co_await call(std::move(request), callTimeout, m_format.parseWriteResponse);
}

Task<StoreReply> ObjectStoreClient::remove(std::string kind, std::string name)
{
    HttpRequest request = m_format.removeRequest(kind, name);
    co_return co_await call(std::move(request), callTimeout, m_format.parseWriteResponse);
}

} // namespace ibiswell
