#include "node_discovery.h"

#include "ibiswell/decisions/node_discovery.h"
#include "ibiswell/decisions/store_backoff.h"
#include "ibiswell/policy/object_reader.h"

#include <algorithm>

namespace ibiswell {

namespace json = boost::json;

namespace {

using namespace std::chrono_literals;

constexpr std::string_view nodesKind = "ibiswell-nodes";
/** Nodes that start together list only those that registered earlier; a second listing has all. */
constexpr Duration secondDiscoveryDelay = 1s;
/** The interval of looks follows the members in sight, which may become few meanwhile. */
constexpr Duration discoveryCheckInterval = 1s;
/** Of a listing that may be stale; it may lack an object that was written since. */
constexpr Duration maximumStaleness = 5s;
/** All nodes together, when they write their objects again: the store's other writers do so too. */
constexpr double registrationsPerSecond = 100;
constexpr std::size_t maximumJoinsPerRound = 12; // new nodes that one listing makes this one join

json::value makeNodeObject(const Member &member)
{
    return json::object {{"address", member.endpoint.address},
                         {"port", member.endpoint.port},
                         {"service", member.service},
                         {"zone", member.zone}};
}

/** The endpoint in a node's object; nothing when another writer stored a different value there. */
std::optional<Endpoint> endpointFrom(const StoredObject &object)
{
    ErrorList errors;
    Endpoint endpoint;
    int port = 0;
    ObjectReader reader(object.value, object.name, errors);
    reader.readRequiredText("address", endpoint.address);
    reader.readInteger("port", {1, 65535}, port);
    endpoint.port = static_cast<std::uint16_t>(port);
    if (!errors.isEmpty() || port == 0)
        return std::nullopt;
    return endpoint;
}

} // namespace

NodeDiscovery::NodeDiscovery(Kernel &kernel)
    : m_node(kernel.get<NodeState>("node"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_era(kernel.get<StoreEra>("store-era"))
    , m_store(kernel.get<ObjectStoreClient>("object-store"))
    , m_sync(kernel.get<StoreSync>("store-sync"))
    , m_gossip(kernel.get<Gossip>("gossip"))
    , m_log(kernel.get<Log>("log"))
{
}

Task<void> NodeDiscovery::registerSelf()
{
    std::string kind {nodesKind};
    json::value self = makeNodeObject(m_membership.self());
    StoreReply reply = co_await m_store.create(kind, m_node.settings.node, self);
    // The object is from an earlier start, or from a call of this start whose response was lost.
    if (std::holds_alternative<StoreConflict>(reply))
        reply = co_await m_store.replace(kind, m_node.settings.node, self);
    if (!std::holds_alternative<StoreWritten>(reply))
        co_return;
    m_registeredAt = steadyNow();
    m_registeredEra = m_era.latest();
}

Task<bool> NodeDiscovery::joinListedNodes(Freshness freshness)
{
    std::string kind {nodesKind};
    StoreReply reply = co_await m_store.list(kind, freshness);
    m_sync.onCallEnded(!std::holds_alternative<Error>(reply));
    StoreListing *listing = std::get_if<StoreListing>(&reply);
    if (!listing)
        co_return false;
    std::shuffle(listing->objects.begin(), listing->objects.end(), m_node.random);
    auto executor = co_await asio::this_coro::executor;
    std::size_t joinCount = 0;
    bool isListedItself = false;
    for (const StoredObject &object : listing->objects) {
        std::optional<Endpoint> endpoint = endpointFrom(object);
        if (!endpoint)
            m_log.write(steadyNow(), LogLevel::Warning, "node-object-unreadable",
                        {{"object", object.name}});
        const Member *known = m_membership.find(object.name);
        bool isKnown = known && known->endpoint == endpoint.value_or(Endpoint {});
        isListedItself = isListedItself || (isKnown && known == &m_membership.self());
        if (!endpoint || isKnown || ++joinCount > maximumJoinsPerRound)
            continue;
        asio::co_spawn(executor, joinNode(*endpoint), asio::detached);
    }
    m_node.nodesListed = true;
    // The store may have lost the object, or a late removal by an earlier start has taken effect.
    bool mayBeOlder =
        freshness == Freshness::MayBeStale && steadyNow() - m_registeredAt < maximumStaleness;
    if (isListedItself)
        m_registeredEra = listing->position.era;
    else if (!mayBeOlder)
        m_registeredEra.reset();
    co_return true;
}

Task<void> NodeDiscovery::joinNode(Endpoint endpoint)
{
    bool responded = co_await m_gossip.joinVia(endpoint);
    if (!responded)
        m_log.write(steadyNow(), LogLevel::Info, "contact-silent",
                    {{"contact", toString(endpoint)}});
}

bool NodeDiscovery::isRegistered() const
{
    return m_registeredEra == m_era.latest();
}

Task<void> NodeDiscovery::awaitNextDiscovery()
{
    TimePoint begin = steadyNow();
    auto isDue = [&] {
        return steadyNow() - begin >= nodeDiscoveryInterval(m_membership.activeMembers().size());
    };
    std::uint64_t era = m_era.latest();
    while (!isDue()) {
        auto waiting = withTimeout(m_sync.waitForEraAfter(era), discoveryCheckInterval);
        std::optional<bool> isNewEra = co_await std::move(waiting);
        if (isNewEra.value_or(false))
            break;
    }
    if (isRegistered())
        co_return;
    double spread = static_cast<double>(m_membership.size()) / registrationsPerSecond;
    co_await sleepFor(fromSeconds(spread * uniform(m_node.random)));
}

Task<void> NodeDiscovery::discoverNodes()
{
    StoreBackoff backoff;
    Freshness freshness = Freshness::Current;
    bool isFirst = true;
    for (;;) {
        if (!isRegistered())
            co_await registerSelf();
        bool isListed = co_await joinListedNodes(freshness);
        if (!isRegistered() || !isListed) {
            co_await sleepFor(backoff.onFailure(m_node.random));
            continue;
        }
        backoff.onSuccess();
        freshness = Freshness::MayBeStale;
        if (std::exchange(isFirst, false))
            co_await sleepFor(secondDiscoveryDelay);
        else
            co_await awaitNextDiscovery();
    }
}

Task<bool> NodeDiscovery::deregister()
{
    std::string kind {nodesKind};
    StoreReply reply = co_await m_store.remove(kind, m_node.settings.node);
    co_return std::holds_alternative<StoreWritten>(reply);
}

} // namespace ibiswell
