#include "ibiswell/decisions/policy_store.h"

#include "ibiswell/core/hash.h"
#include "ibiswell/decisions/lease_keeper.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace ibiswell {

namespace {

constexpr std::size_t deltasKept = 256;
constexpr std::size_t watchersInZone = 2;

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

bool PolicyStore::adopt(const PolicyResponse &answer)
{
    if (const auto *whole = std::get_if<PolicyDocument>(&answer.update))
        return adopt(*whole);
    const auto *deltas = std::get_if<std::vector<PolicyDelta>>(&answer.update);
    if (!deltas)
        return false;
    PolicyDocument next = m_document;
    for (const PolicyDelta &delta : *deltas) {
        if (delta.to > next.version && !applyDelta(next, delta)) {
            m_lastError = Error {ErrorKind::VersionConflict, "the deltas leave a gap"};
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
        m_deltas.push_back(difference(m_document, document));
        if (m_deltas.size() > deltasKept)
            m_deltas.pop_front();
    }
    m_document = std::move(document);
    m_policy = std::move(*policy);
    return true;
}

PolicyResponse PolicyStore::answerPull(const PolicyPull &pull) const
{
    PolicyResponse answer;
    if (pull.knownZonesRevision < m_zones.revision)
        answer.zones = m_zones;
    if (pull.knownVersion >= m_policy.version)
        return answer;
    auto first = std::find_if(m_deltas.begin(), m_deltas.end(), [&](const PolicyDelta &delta) {
        return delta.from == pull.knownVersion;
    });
    if (first == m_deltas.end())
        answer.update = m_document;
    else
        answer.update = std::vector<PolicyDelta>(first, m_deltas.end());
    return answer;
}

bool PolicyStore::adoptZones(const ZonesOut &zones)
{
    if (zones.revision <= m_zones.revision)
        return false;
    m_zones = zones;
    return true;
}

bool PolicyStore::isZoneOut(std::string_view zone) const
{
    bool ordered =
        std::find(m_zones.zones.begin(), m_zones.zones.end(), zone) != m_zones.zones.end();
    return ordered || m_policy.isZoneOut(zone);
}

bool isPolicyWatcher(const Member &self, const std::vector<const Member *> &present)
{
    auto rank = [](const Member &member) { return stableHash(member.node, stableHash("watcher")); };
    std::uint64_t own = rank(self);
    std::size_t higher = 0;
    for (const Member *member : present) {
        if (member->zone == self.zone && member->node != self.node && rank(*member) > own)
            ++higher;
    }
    return higher < watchersInZone;
}

std::vector<std::uint32_t> leasesToTake(const Member &self,
                                        const std::vector<const Member *> &present,
                                        std::uint32_t leaseCount)
{
    // A ring: a lease goes to the first member at or behind its place. One pass over the members
    // finds the range of this one, so the cost is members plus leases, not their product.
    std::uint64_t own = stableHash(self.node);
    std::uint64_t widest = std::numeric_limits<std::uint64_t>::max();
    for (const Member *member : present) {
        if (member->node != self.node)
            widest = std::min(widest, own - stableHash(member->node) - 1);
    }
    std::vector<std::uint32_t> wanted;
    for (std::uint32_t lease = 0; lease < leaseCount; ++lease) {
        std::uint64_t place = stableHash(leaseObjectName(lease));
        if (own - place <= widest)
            wanted.push_back(lease);
    }
    return wanted;
}

} // namespace ibiswell
