#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/member.h"
#include "ibiswell/core/messages.h"
#include "ibiswell/policy/policy.h"
#include "ibiswell/policy/policy_document.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace ibiswell {

/**
 * The policy that a node has in force. It is replaced only by a greater version, so an accepted
 * policy never reverts, in whatever order versions arrive.
 */
class PolicyStore
{
public:
    /** Takes a document in. False when it is not newer or not valid; lastError() tells. */
    bool adopt(PolicyDocument document);
    /** Takes the news of another node in. */
    bool adopt(const PolicyResponse &answer);

    /** What the asking node lacks: deltas when they are known, else the whole. */
    PolicyResponse answerPull(const PolicyPull &pull) const;
    /** Takes in zones that are out; false when they are not newer or the same. */
    bool adoptZones(const ZonesOut &zones);

    bool isReady() const { return m_policy.version > 0; }
    std::uint64_t version() const { return m_policy.version; }
    const Policy &policy() const { return m_policy; }
    const ZonesOut &zonesOut() const { return m_zones; }
    /** Whether the policy or an order in the platform's store takes a zone out of service. */
    bool isZoneOut(std::string_view zone) const;
    const PolicyDocument &document() const { return m_document; }
    const std::optional<Error> &lastError() const { return m_lastError; }

private:
    bool replace(PolicyDocument document);

    PolicyDocument m_document;
    Policy m_policy;
    ZonesOut m_zones;
    std::deque<PolicyDelta> m_deltas; ///< Without a gap, the newest last.
    std::optional<Error> m_lastError;
};

/**
 * Whether @p self is one of the few nodes of its zone that watch the platform for the policy.
 * All nodes that know the same members agree on it without a message.
 */
bool isPolicyWatcher(const Member &self, const std::vector<const Member *> &present);

/**
 * Leases that @p self should take: each lease goes to one present member by its place on
 * a hash ring, so that few nodes ask the platform for the same one.
 */
std::vector<std::uint32_t> leasesToTake(const Member &self,
                                        const std::vector<const Member *> &present,
                                        std::uint32_t leaseCount);

} // namespace ibiswell
