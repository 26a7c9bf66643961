#pragma once

#include "http_client.h"

#include "ibiswell/transport/log.h"
#include "ibiswell/transport/metrics.h"
#include "ibiswell/transport/store_format.h"

namespace ibiswell {

/**
 * The one client of the platform's object store.
 *
 * An Error after a write leaves open whether it took effect. The loss and the return of the store
 * are logged once each.
 */
class ObjectStoreClient
{
public:
    ObjectStoreClient(const StoreFormat &format, Endpoint store, Log &log, Metrics &metrics);

    /** All objects of a kind. */
    Task<StoreReply> list(std::string kind, Freshness freshness);
    /** Changes of a kind after revision @p after, as soon as there are any, at most @p wait. */
    Task<StoreReply> watch(std::string kind, std::uint64_t after, Duration wait);
    Task<StoreReply> create(std::string kind, std::string name, boost::json::value value);
    Task<StoreReply> replace(std::string kind, std::string name, boost::json::value value);
    Task<StoreReply> remove(std::string kind, std::string name);

    const StoreFormat &format() const { return m_format; }

private:
    using Reader = StoreReply (*)(const HttpAnswer &answer);

    Task<StoreReply> call(HttpRequest request, Duration limit, Reader read);
    void logAvailabilityChange(const StoreReply &reply);

    StoreFormat m_format;
    HttpClient m_client;
    Log &m_log;
    Metrics &m_metrics;
    /** Whether the last call was answered; nothing before the first. */
    std::optional<bool> m_isAvailable;
};

} // namespace ibiswell
