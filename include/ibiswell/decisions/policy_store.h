#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/member.h"
#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"
#include "ibiswell/policy/policy.h"
#include "ibiswell/policy/policy_document.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace ibiswell {

/** What reading the zones that are out of service changed. */
enum class ZonesUpdate : std::uint8_t {
    Older, ///< Nothing: what is known is as new.
    Held, ///< Nothing yet: see PolicyStore::lostZonesHold.
    Confirmed, ///< The same zones, known at a newer position.
    Changed,
};

/**
 * Holds the policy that is in force on a node. Only a greater version replaces it, so the policy
 * never reverts, in whatever order versions arrive.
 */
class PolicyStore
{
public:
    /**
     * A store that came back from an older copy may have lost that a zone is out, until the
     * operator writes it again. The zone stays out for this time.
     */
    static constexpr Duration lostZonesHold = std::chrono::seconds(3);

    /**
     * Puts a document in force. Returns false and sets lastError() if the document is invalid or
     * not newer than the policy in force.
     */
    bool adopt(PolicyDocument document);
    /**
     * Applies the document or the deltas received from another node; returns false if the policy in
     * force stays as it is.
     */
    bool adopt(const PolicyResponse &response);

    /** What the requesting node lacks: the deltas if they are still stored, else the document. */
    PolicyResponse respondToPull(const PolicyPull &pull) const;
    /** An era of the store is known; see lostZonesHold. */
    void onStoreEra(TimePoint now, std::uint64_t era);
    /** Takes the zones that are out of service if they were read at a newer position. */
    ZonesUpdate adoptZones(TimePoint now, const ZonesOut &zones);
    /** Whether a node that states this position and digest knows newer zones, other than these. */
    bool isBehind(StorePosition position, std::uint64_t digest) const;
    /**
     * Takes the position of a node that knows the same zones by their digest. Returns false if
     * nothing changed.
     */
    bool confirmZones(StorePosition position, std::uint64_t digest);
    /** A number that is equal for equal lists of zones out of service. */
    std::uint64_t zonesDigest() const { return m_zonesDigest; }

    bool isReady() const { return m_policy.version > 0; }
    std::uint64_t version() const { return m_policy.version; }
    const Policy &policy() const { return m_policy; }
    const ZonesOut &zonesOut() const { return m_zones; }
    /** Whether the policy or the platform's store takes a zone out of service. */
    bool isZoneOut(std::string_view zone) const;
    const PolicyDocument &document() const { return m_document; }
    const std::optional<Error> &lastError() const { return m_lastError; }

private:
    bool replace(PolicyDocument document);

    PolicyDocument m_document;
    Policy m_policy;
    /** Whether zones that are out are missing in @p zones, which were read in a newer era. */
    bool losesZones(const ZonesOut &zones) const;

    ZonesOut m_zones;
    std::uint64_t m_zonesDigest = 0;
    std::uint64_t m_storeEra = 0; ///< The latest that is known.
    TimePoint m_storeEraSince;
    std::deque<PolicyDelta> m_deltas; ///< Consecutive, the newest last.
    std::optional<Error> m_lastError;
};

/**
 * Whether @p self is one of the few nodes of its zone that watch the platform for the policy.
 * All nodes that know the same members get the same result, without exchanging messages.
 */
bool isPolicyWatcher(const Member &self, const std::vector<const Member *> &activeMembers,
                     std::size_t watchersPerZone = 2);
/** Those of @p activeMembers that are such nodes. */
std::vector<const Member *> policyWatchers(const std::vector<const Member *> &activeMembers,
                                           std::size_t watchersPerZone);

/**
 * Returns the leases that @p self should acquire. Consistent hashing assigns each lease to one
 * active member, so that few nodes request the same lease from the platform.
 */
std::vector<std::uint32_t> leasesToAcquire(const Member &self,
                                           const std::vector<const Member *> &activeMembers,
                                           std::uint32_t leaseCount);

} // namespace ibiswell
