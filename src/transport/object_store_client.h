#pragma once

#include "http_client.h"

#include "ibiswell/decisions/store_era.h"
#include "ibiswell/transport/log.h"
#include "ibiswell/transport/metrics.h"
#include "ibiswell/transport/store_format.h"

#include <set>
#include <string>
#include <vector>

namespace ibiswell {

/**
 * Client of the platform's object store; a node has one.
 *
 * After a write, an Error does not tell whether the write took effect. Each loss and each recovery
 * of the store is logged once. Each response tells the era of the store.
 */
class ObjectStoreClient
{
public:
    ObjectStoreClient(const StoreFormat &format, Endpoint store, StoreEra &era, Log &log,
                      Metrics &metrics);

    /** Lists all objects of a kind, page by page; all pages are of one era. */
    Task<StoreReply> list(std::string kind, Freshness freshness);
    /**
     * Waits for changes of a kind after @p after, at most @p wait. StoreHistoryGone when the store
     * responds in another era.
     */
    Task<StoreReply> watch(std::string kind, StorePosition after, Duration wait);
    /** Lists all objects of a kind as they are now, within a time that suits a repeated call. */
    Task<StoreReply> check(std::string kind);
    Task<StoreReply> create(std::string kind, std::string name, boost::json::value value);
    Task<StoreReply> replace(std::string kind, std::string name, boost::json::value value);
    Task<StoreReply> remove(std::string kind, std::string name);

    const StoreFormat &format() const { return m_format; }

private:
    using ResponseParser = StoreReply (*)(const HttpResponse &response);

    Task<StoreReply> call(HttpRequest request, Duration limit, ResponseParser parse);
    Task<StoreReply> listPages(std::string kind, Freshness freshness, Duration limitOfPage);
    /** Parses a response, and gives positions in it the era that it states. */
    StoreReply parseInEra(const HttpResponse &response, ResponseParser parse);
    void logAvailabilityChange(const StoreReply &reply);
    void logUnreadable(const std::string &kind, const std::vector<UnreadableObject> &objects);

    StoreFormat m_format;
    HttpClient m_client;
    StoreEra &m_era;
    Log &m_log;
    Metrics &m_metrics;
    /** Whether the last call got a valid response; nothing before the first call. */
    std::optional<bool> m_isAvailable;
    std::set<std::string> m_loggedUnreadable; ///< As "KIND/NAME".
};

} // namespace ibiswell
