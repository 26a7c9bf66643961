#include "store_sync.h"

#include "ibiswell/decisions/store_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/**
 * The platform charges a watch as one call, however long it waits. Keep-alive probes detect a
 * half-open connection during the wait.
 */
constexpr Duration watchWait = 30s;
/** More than die together on an ordinary day; in a small fleet all nodes watch. */
constexpr std::size_t watchersPerZone = 6;
constexpr Duration watcherCheckInterval = 250ms;
/** How often a node looks whether a check of the store is due; no call. */
constexpr Duration checkDueInterval = 50ms;
/** How long the own rank among the watchers is used; a change of the members shows by then. */
constexpr Duration rankValidity = 500ms;
/** Until then a node that starts hears of the other members and of what they know. */
constexpr Duration settlingTime = 1500ms;
} // namespace

StoreSync::StoreSync(Kernel &kernel, asio::io_context &context)
    : m_node(kernel.get<NodeState>("node"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_connectivity(kernel.get<ConnectivityMonitor>("contact"))
    , m_confirmation(kernel.get<StoreConfirmation>("store-confirmation"))
    , m_era(kernel.get<StoreEra>("store-era"))
    , m_store(kernel.get<ObjectStoreClient>("object-store"))
    , m_gossip(kernel.get<Gossip>("gossip"))
    , m_log(kernel.get<Log>("log"))
    , m_followed {Followed(context, StoreTopic::Policy, m_store.format().policyKind,
                           &StoreSync::applyPolicy),
                  Followed(context, StoreTopic::ZonesOut, m_store.format().zonesOutKind,
                           &StoreSync::applyZones)}
    , m_eraChanged(context, std::chrono::steady_clock::time_point::max())
{
    m_era.setListener([this](std::uint64_t previous) { onEraChanged(previous); });
    m_gossip.setChangeListener([this](StoreTopic topic) { onChangeElsewhere(topic); });
}

Task<void> StoreSync::followPolicy()
{
    return follow(followed(StoreTopic::Policy));
}

Task<void> StoreSync::followZones()
{
    return follow(followed(StoreTopic::ZonesOut));
}

bool StoreSync::isWatcher() const
{
    TimePoint now = steadyNow();
    if (now - m_startedAt < settlingTime)
        return false;
    return !m_confirmation.isCurrent(now)
        || isPolicyWatcher(m_membership.self(), m_membership.activeMembers(), watchersPerZone);
}

Task<void> StoreSync::awaitWatcherRole()
{
    while (!isWatcher())
        co_await sleepFor(watcherCheckInterval);
}

void StoreSync::onEraChanged(std::uint64_t previous)
{
    m_log.write(
        steadyNow(), LogLevel::Info, "store-era",
        {{"latest", fmt::to_string(m_era.latest())}, {"previous", fmt::to_string(previous)}});
    m_policy.onStoreEra(steadyNow(), m_era.latest());
    m_eraChanged.cancel();
    for (Followed &followed : m_followed)
        followed.trustEnds.cancel();
}

Task<void> StoreSync::follow(Followed &followed)
{
    followed.cursor = {};
    for (;;) {
        if (followed.cursor.hasRead())
            co_await awaitWatcherRole();
        TimePoint sentAt = steadyNow();
        StoreReply reply = co_await readNext(followed);
        bool isApplied = applyReply(followed, reply, sentAt);
        if (isApplied)
            continue;
        followed.cursor.onInterrupted();
        co_await sleepFor(followed.backoff.onFailure(m_node.random));
    }
}

Task<StoreReply> StoreSync::readNext(Followed &followed)
{
    NextStoreCall next = followed.cursor.next(steadyNow(), m_era.latest());
    if (const WatchObjects *watched = std::get_if<WatchObjects>(&next)) {
        auto watching = watch(followed, watched->after);
        co_return co_await std::move(watching);
    }
    ++m_listings;
    StoreReply reply = co_await m_store.list(followed.kind, Freshness::Current);
    co_return reply;
}

Task<bool> StoreSync::waitForEraAfter(std::uint64_t era)
{
    asio::cancellation_state state = co_await asio::this_coro::cancellation_state;
    while (m_era.latest() <= era && state.cancelled() == asio::cancellation_type::none) {
        co_await m_eraChanged.async_wait(asResult);
        state = co_await asio::this_coro::cancellation_state;
    }
    co_return m_era.latest() > era;
}

Task<bool> StoreSync::waitForDistrust(Followed &followed, StorePosition after)
{
    asio::cancellation_state state = co_await asio::this_coro::cancellation_state;
    auto isTrusted = [&] {
        return m_era.latest() <= after.era && !followed.trust.hasEnded(steadyNow());
    };
    while (isTrusted() && state.cancelled() == asio::cancellation_type::none) {
        co_await followed.trustEnds.async_wait(asResult);
        state = co_await asio::this_coro::cancellation_state;
    }
    co_return !isTrusted();
}

Task<StoreReply> StoreSync::watch(Followed &followed, StorePosition after)
{
    using namespace asio::experimental::awaitable_operators;
    struct WaitGuard
    {
        Followed &followed;
        explicit WaitGuard(Followed &followed)
            : followed(followed)
        {
            followed.trust.onOpened();
            followed.trustEnds.expires_at(std::chrono::steady_clock::time_point::max());
            followed.isWatching = true;
        }
        ~WaitGuard() { followed.isWatching = false; }
    } guard {followed};
    auto watching = wrapInOptional(m_store.watch(followed.kind, after, watchWait));
    auto ended = co_await (std::move(watching) || waitForDistrust(followed, after));
    co_await throwIfCancelled();
    if (ended.index() == 0)
        co_return std::move(*std::get<0>(ended));
    ++m_watchesGivenUp;
    m_log.write(steadyNow(), LogLevel::Info, "store-watch-given-up",
                {{"kind", followed.kind},
                 {"reason",
                  m_era.latest() > after.era ? "the store came back from a copy"
                                             : "it did not tell what is known otherwise"}});
    co_return StoreHistoryGone {};
}

bool StoreSync::applyReply(Followed &followed, const StoreReply &reply, TimePoint sentAt)
{
    bool isAvailable = !std::holds_alternative<Error>(reply);
    if (isAvailable)
        m_connectivity.onPlatformResponse(steadyNow());
    bool isApplied = false;
    if (const StoreListing *listing = std::get_if<StoreListing>(&reply)) {
        followed.cursor.onRead(steadyNow(), listing->position);
        isApplied = (this->*followed.apply)({listing->objects, true, listing->position});
    } else if (const StoreChanges *changes = std::get_if<StoreChanges>(&reply)) {
        followed.backoff.onSuccess();
        followed.cursor.onRead(steadyNow(), changes->position);
        isApplied = (this->*followed.apply)({changes->objects, false, changes->position});
    } else {
        logInterruption(followed, reply);
    }
    if (isApplied)
        m_confirmation.onResponse(followed.topic, sentAt);
    return isApplied;
}

std::vector<const Member *> StoreSync::watchers() const
{
    return policyWatchers(m_membership.activeMembers(), watchersPerZone);
}

bool StoreSync::isCheckDue()
{
    TimePoint now = steadyNow();
    Duration age = m_confirmation.age(now);
    if (age < firstStoreCheckAge || now < m_nextCheckAt)
        return false;
    for (const Followed &followed : m_followed) {
        if (!followed.isWatching)
            return false; // the store is asked anyway, or another node watches
    }
    // The rank follows from all members, of which there may be many.
    if (now - m_rankedAt >= rankValidity) {
        m_checkRank = storeCheckRank(m_membership.self(), watchers());
        m_rankedAt = now;
    }
    return age >= storeCheckAge(m_checkRank);
}

Task<void> StoreSync::checkPeriodically()
{
    for (;;) {
        if (isCheckDue())
            co_await check();
        co_await sleepFor(checkDueInterval);
    }
}

Task<void> StoreSync::check()
{
    TimePoint startedAt = steadyNow();
    for (Followed *followed : {&m_followed[1], &m_followed[0]}) { // the shorter list first
        // The response about the other kind may have told that nothing at all has changed.
        if (m_confirmation.confirmedAt(followed->topic) >= startedAt)
            continue;
        bool isAnswered = co_await checkTopic(*followed);
        onCallEnded(isAnswered);
        if (!isAnswered) {
            m_nextCheckAt = steadyNow() + storeCheckRetryDelay;
            co_return;
        }
    }
    std::vector<Endpoint> told;
    for (const Member *watcher : watchers()) {
        if (watcher->node != m_membership.self().node)
            told.push_back(watcher->endpoint);
    }
    m_gossip.spreadStoreKnowledge(told);
}

Task<bool> StoreSync::checkTopic(Followed &followed)
{
    ++m_checks;
    TimePoint sentAt = steadyNow();
    StoreReply reply = co_await m_store.check(followed.kind);
    if (const StoreListing *listing = std::get_if<StoreListing>(&reply))
        applyCheck(followed, *listing, sentAt);
    applyTrust(followed);
    co_return std::holds_alternative<StoreListing>(reply);
}

void StoreSync::applyCheck(Followed &followed, const StoreListing &listing, TimePoint sentAt)
{
    TimePoint now = steadyNow();
    m_connectivity.onPlatformResponse(now);
    bool isApplied = (this->*followed.apply)({listing.objects, true, listing.position});
    if (!isApplied) {
        followed.trust.onListingNeeded(now);
        return;
    }
    m_confirmation.onResponse(followed.topic, sentAt);
    followed.cursor.onChecked(listing.position);
    // The revision is that of the whole store: kinds that were read up to it have not changed.
    for (Followed &other : m_followed) {
        if (other.cursor.position() == listing.position)
            m_confirmation.onResponse(other.topic, sentAt);
    }
}

void StoreSync::onChangeElsewhere(StoreTopic topic)
{
    Followed &changed = followed(topic);
    if (!changed.isWatching)
        return;
    changed.trust.onChangeLearned(steadyNow());
    applyTrust(changed);
}

void StoreSync::onCallEnded(bool isAnswered)
{
    for (Followed &followed : m_followed) {
        if (!followed.isWatching)
            continue;
        if (isAnswered)
            followed.trust.onRequestAnswered(steadyNow());
        else
            followed.trust.onRequestLost();
        applyTrust(followed);
    }
}

void StoreSync::applyTrust(Followed &followed)
{
    std::optional<TimePoint> endsAt = followed.trust.endsAt();
    if (endsAt && followed.isWatching)
        followed.trustEnds.expires_after(std::max<Duration>(*endsAt - steadyNow(), {}) + 1ms);
}

void StoreSync::logInterruption(const Followed &followed, const StoreReply &reply)
{
    if (!followed.cursor.hasPosition())
        return; // it was logged when the position was given up
    const Error *error = std::get_if<Error>(&reply);
    m_log.write(steadyNow(), LogLevel::Info, "store-position-given-up",
                {{"kind", followed.kind},
                 {"era", fmt::to_string(m_era.latest())},
                 {"reason", error ? error->detail : "the history since then is gone"}});
}

bool StoreSync::applyPolicy(const StoreRead &read)
{
    for (const StoredObject &object : read.objects) {
        if (object.name != m_store.format().policyName || object.removed)
            continue;
        Error error;
        std::optional<PolicyDocument> document = m_store.format().parsePolicy(object.value, error);
        std::uint64_t version = document ? document->version : 0;
        if (version > 0 && version <= m_policy.version())
            continue; // already received from another node, or from an older copy of the store
        if (document && m_policy.adopt(std::move(*document)))
            m_gossip.onPolicyAdopted();
        else
            m_log.write(steadyNow(), LogLevel::Error, "policy-rejected",
                        {{"revision", fmt::to_string(read.position.revision)},
                         {"detail", document ? m_policy.lastError()->detail : error.detail}});
    }
    return true;
}

bool StoreSync::applyZones(const StoreRead &read)
{
    std::set<std::string> zones;
    const std::vector<std::string> &before = m_policy.zonesOut().zones;
    if (!read.isComplete)
        zones.insert(before.begin(), before.end());
    for (const StoredObject &object : read.objects) {
        if (object.removed)
            zones.erase(object.name);
        else
            zones.insert(object.name);
    }
    ZonesUpdate update = m_gossip.adoptZones({read.position, {zones.begin(), zones.end()}});
    return update != ZonesUpdate::Held;
}

std::map<std::string, double> StoreSync::gauges(TimePoint now) const
{
    const StorePosition &zones = m_policy.zonesOut().position;
    return {{"ibiswell_policy_version", static_cast<double>(m_policy.version())},
            {"ibiswell_store_era", static_cast<double>(m_era.latest())},
            {"ibiswell_store_listings", static_cast<double>(m_listings)},
            {"ibiswell_store_checks", static_cast<double>(m_checks)},
            {"ibiswell_store_watches_given_up", static_cast<double>(m_watchesGivenUp)},
            {"ibiswell_store_knowledge_age_seconds", inSeconds(m_confirmation.age(now))},
            {"ibiswell_zones_era", static_cast<double>(zones.era)},
            {"ibiswell_zones_revision", static_cast<double>(zones.revision)}};
}

} // namespace ibiswell
