#include "ibiswell/decisions/policy_store.h"

#include "ibiswell/core/hash.h"
#include "ibiswell/decisions/lease_manager.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <limits>
#include <map>

namespace ibiswell {

namespace {

constexpr std::size_t maximumDeltas = 256;

/** Never 0, which stands for a list that was not read. */
std::uint64_t digestOf(const std::vector<std::string> &zones)
{
    std::uint64_t digest = stableHash("zones");
    for (const std::string &zone : zones)
        digest = stableHash(zone, digest);
    return digest | 1;
}

} // namespace

bool PolicyStore::adopt(PolicyDocument document)
{
    if (document.version <= m_policy.version) {
        m_lastError = Error {
            ErrorKind::VersionConflict,
            fmt::format("version {} is not newer than {}", document.version, m_policy.version)};
        return false;
    }
    return replace(std::move(document));
}

bool PolicyStore::adopt(const PolicyResponse &response)
{
    if (const auto *received = std::get_if<PolicyDocument>(&response.update))
        return adopt(*received);
    const auto *deltas = std::get_if<std::vector<PolicyDelta>>(&response.update);
    if (!deltas)
        return false;
    PolicyDocument next = m_document;
    for (const PolicyDelta &delta : *deltas) {
        if (delta.to > next.version && !applyDelta(next, delta)) {
            m_lastError = Error {ErrorKind::VersionConflict,
                                 "the received deltas do not follow on the version in force"};
            return false;
        }
    }
    return next.version > m_policy.version && replace(std::move(next));
}

bool PolicyStore::replace(PolicyDocument document)
{
    Error error;
    std::optional<Policy> policy = compilePolicy(document, error);
    if (!policy) {
        m_lastError = error;
        return false;
    }
    if (m_policy.version > 0) {
        m_deltas.push_back(computeDelta(m_document, document));
        if (m_deltas.size() > maximumDeltas)
            m_deltas.pop_front();
    }
    m_document = std::move(document);
    m_policy = std::move(*policy);
    return true;
}

PolicyResponse PolicyStore::respondToPull(const PolicyPull &pull) const
{
    PolicyResponse response;
    if (pull.knownZones < m_zones.position)
        response.zones = m_zones;
    if (pull.knownVersion >= m_policy.version)
        return response;
    auto first = std::find_if(m_deltas.begin(), m_deltas.end(), [&](const PolicyDelta &delta) {
        return delta.from == pull.knownVersion;
    });
    if (first == m_deltas.end())
        response.update = m_document;
    else
        response.update = std::vector<PolicyDelta>(first, m_deltas.end());
    return response;
}

bool PolicyStore::losesZones(const ZonesOut &zones) const
{
    bool isSameEra = zones.position.era == m_zones.position.era;
    return !isSameEra
        && !std::includes(zones.zones.begin(), zones.zones.end(), m_zones.zones.begin(),
                          m_zones.zones.end());
}

void PolicyStore::onStoreEra(TimePoint now, std::uint64_t era)
{
    if (era <= m_storeEra)
        return;
    m_storeEra = era;
    m_storeEraSince = now;
}

ZonesUpdate PolicyStore::adoptZones(TimePoint now, const ZonesOut &zones)
{
    if (zones.position <= m_zones.position)
        return ZonesUpdate::Older;
    onStoreEra(now, zones.position.era);
    if (losesZones(zones) && now - m_storeEraSince < lostZonesHold)
        return ZonesUpdate::Held;
    bool isChanged = zones.zones != m_zones.zones || !m_zones.position.isKnown();
    m_zones = zones;
    m_zonesDigest = digestOf(zones.zones);
    return isChanged ? ZonesUpdate::Changed : ZonesUpdate::Confirmed;
}

bool PolicyStore::isBehind(StorePosition position, std::uint64_t digest) const
{
    return position > m_zones.position && digest != m_zonesDigest;
}

bool PolicyStore::confirmZones(StorePosition position, std::uint64_t digest)
{
    if (position <= m_zones.position || digest != m_zonesDigest)
        return false;
    m_zones.position = position;
    return true;
}

bool PolicyStore::isZoneOut(std::string_view zone) const
{
    bool isOutByStore =
        std::find(m_zones.zones.begin(), m_zones.zones.end(), zone) != m_zones.zones.end();
    return isOutByStore || m_policy.isZoneOut(zone);
}

namespace {

std::uint64_t watcherRank(const Member &member)
{
    return stableHash(member.node, stableHash("watcher"));
}

} // namespace

bool isPolicyWatcher(const Member &self, const std::vector<const Member *> &activeMembers,
                     std::size_t watchersPerZone)
{
    std::uint64_t ownRank = watcherRank(self);
    std::size_t higherRanked = 0;
    for (const Member *member : activeMembers) {
        if (member->zone == self.zone && member->node != self.node
            && watcherRank(*member) > ownRank)
            ++higherRanked;
    }
    return higherRanked < watchersPerZone;
}

std::vector<const Member *> policyWatchers(const std::vector<const Member *> &activeMembers,
                                           std::size_t watchersPerZone)
{
    std::map<std::string_view, std::vector<std::pair<std::uint64_t, const Member *>>> zones;
    for (const Member *member : activeMembers)
        zones[member->zone].push_back({watcherRank(*member), member});
    std::vector<const Member *> watchers;
    for (auto &[zone, ranked] : zones) {
        std::size_t count = std::min(watchersPerZone, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                          ranked.end(), std::greater {});
        for (std::size_t i = 0; i < count; ++i)
            watchers.push_back(ranked[i].second);
    }
    return watchers;
}

std::vector<std::uint32_t> leasesToAcquire(const Member &self,
                                           const std::vector<const Member *> &activeMembers,
                                           std::uint32_t leaseCount)
{
    // On the hash ring a lease goes to the first member at or after its position. One pass over
    // the members finds the range of this one, so the cost is members plus leases, not their
    // product.
    std::uint64_t ownPosition = stableHash(self.node);
    std::uint64_t rangeLength = std::numeric_limits<std::uint64_t>::max();
    for (const Member *member : activeMembers) {
        if (member->node != self.node)
            rangeLength = std::min(rangeLength, ownPosition - stableHash(member->node) - 1);
    }
    std::vector<std::uint32_t> wanted;
    for (std::uint32_t lease = 0; lease < leaseCount; ++lease) {
        std::uint64_t position = stableHash(leaseObjectName(lease));
        if (ownPosition - position <= rangeLength)
            wanted.push_back(lease);
    }
    return wanted;
}

} // namespace ibiswell
