#pragma once

#include "asio.h"
#include "gossip.h"
#include "node_state.h"
#include "object_store_client.h"

#include "ibiswell/decisions/connectivity_monitor.h"
#include "ibiswell/decisions/membership.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/store_backoff.h"
#include "ibiswell/decisions/store_cursor.h"
#include "ibiswell/decisions/store_era.h"
#include "ibiswell/decisions/watch_trust.h"
#include "ibiswell/kernel/kernel.h"

#include <array>

namespace ibiswell {

/**
 * Synchronises a node with an object store: the policy and the zones out of service.
 */
class StoreSync
{
public:
    /**
     * Looks up "node", "policy", "membership", "contact", "store-confirmation",
     * "store-era", "object-store", "gossip" and "log".
     */
    StoreSync(Kernel &kernel, asio::io_context &context);

    /** Adopts each policy that the store holds; runs until the node stops. */
    Task<void> followPolicy();
    /** Adopts the store's list of the zones out of service; runs until the node stops. */
    Task<void> followZones();
    /**
     * Asks the store whether the waiting watches have told all changes, when it is this node's turn
     * (see store_check.h); runs until the node stops.
     */
    Task<void> checkPeriodically();
    /**
     * A call of the store other than a watch has ended, with a response or without: this shows how
     * far the waiting watches can be trusted.
     */
    void onCallEnded(bool isAnswered);
    /** Waits until a later era of the store than @p era is known; false when cancelled before. */
    Task<bool> waitForEraAfter(std::uint64_t era);

    /** What this node knows of the store, for the metrics. */
    std::map<std::string, double> gauges(TimePoint now) const;

private:
    /** Objects of one kind as of a position. */
    struct StoreRead
    {
        const std::vector<StoredObject> &objects;
        bool isComplete = false; ///< All objects, not only those that changed.
        StorePosition position;
    };
    /** Applies what was read; returns false when it must be listed again a little later. */
    using ApplyFunction = bool (StoreSync::*)(const StoreRead &read);
    /** What a node follows: the objects of one kind. */
    struct Followed
    {
        Followed(asio::io_context &context, StoreTopic topic, std::string kind, ApplyFunction apply)
            : topic(topic)
            , kind(std::move(kind))
            , apply(apply)
            , trustEnds(context, std::chrono::steady_clock::time_point::max())
        {
        }

        StoreTopic topic;
        std::string kind;
        ApplyFunction apply;
        StoreCursor cursor {};
        StoreBackoff backoff {};
        WatchTrust trust {}; ///< In the watch that waits.
        bool isWatching = false;
        asio::steady_timer trustEnds; ///< Expires when the trust in the watch ends.
    };

    Task<void> follow(Followed &followed);
    /** Makes the call that follows on what was read so far. */
    Task<StoreReply> readNext(Followed &followed);
    /** Watches until the store has changed, or the watch cannot be relied on any more. */
    Task<StoreReply> watch(Followed &followed, StorePosition after);
    /** Waits until the watch from @p after is to be given up. */
    Task<bool> waitForDistrust(Followed &followed, StorePosition after);
    /**
     * Applies a reply to a request that was sent at @p sentAt; returns false when the next call is
     * a listing, after a while.
     */
    bool applyReply(Followed &followed, const StoreReply &reply, TimePoint sentAt);
    /** Logs why the objects are listed again. */
    void logInterruption(const Followed &followed, const StoreReply &reply);
    void onEraChanged(std::uint64_t previous);
    /** Waits until this node is to watch the store by itself. */
    Task<void> awaitWatcherRole();
    bool isWatcher() const;

    bool isCheckDue();
    /** The members that are to watch the store, as this node sees them. */
    std::vector<const Member *> watchers() const;
    /** Asks the store for what it holds, and tells others that this node has it. */
    Task<void> check();
    /** Asks for the objects of one kind; returns false when the store did not respond. */
    Task<bool> checkTopic(Followed &followed);
    /** Applies the response to a check that was sent at @p sentAt. */
    void applyCheck(Followed &followed, const StoreListing &listing, TimePoint sentAt);
    /** Another node knows of a change of @p topic that this one has not read. */
    void onChangeElsewhere(StoreTopic topic);
    /** Has the watch of @p followed given up when its trust ends. */
    void applyTrust(Followed &followed);
    Followed &followed(StoreTopic topic) { return m_followed[static_cast<std::size_t>(topic)]; }

    bool applyPolicy(const StoreRead &read);
    bool applyZones(const StoreRead &read);

    NodeState &m_node;
    PolicyStore &m_policy;
    Membership &m_membership;
    ConnectivityMonitor &m_connectivity;
    StoreConfirmation &m_confirmation;
    StoreEra &m_era;
    ObjectStoreClient &m_store;
    Gossip &m_gossip;
    Log &m_log;
    std::array<Followed, storeTopicCount> m_followed; ///< By topic.
    std::size_t m_checkRank = 0; ///< Among the watchers.
    TimePoint m_rankedAt; ///< When the rank was worked out.
    TimePoint m_nextCheckAt; ///< Not before, since the last one failed.
    std::uint64_t m_checks = 0; ///< Requests to the store.
    std::uint64_t m_watchesGivenUp = 0;
    asio::steady_timer m_eraChanged; ///< Never expires; cancelled when a newer era is known.
    std::uint64_t m_listings = 0; ///< Of what is followed.
    TimePoint m_startedAt = steadyNow();
};

} // namespace ibiswell
