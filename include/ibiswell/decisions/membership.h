#pragma once

#include "ibiswell/core/member.h"
#include "ibiswell/core/messages.h"
#include "ibiswell/core/random.h"
#include "ibiswell/core/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace ibiswell {

/** What is known of a member has changed. */
struct MemberChanged
{
    Member member;
};

using MembershipEffect = std::variant<SendDatagram, MemberChanged>;
using MembershipEffects = std::vector<MembershipEffect>;

/**
 * Knows the nodes of the fleet by probing and gossip, without a platform call for a heartbeat.
 *
 * Each period a node probes one other, directly and then through third nodes; one that does not
 * answer is suspected, may refute by a higher incarnation, and is declared dead after a time.
 * News travels on the probes. Dead members are probed now and then, so that regions that lost
 * each other find each other again. See Das, Gupta, Motivala: SWIM (2002).
 */
class Membership
{
public:
    explicit Membership(Member self);

    /** Runs one probe period; call it each probePeriod(). */
    MembershipEffects tick(TimePoint now, Random &random);
    MembershipEffects onDatagram(TimePoint now, const Datagram &datagram);
    /** Takes in a roster from another node or first contacts from the platform. */
    MembershipEffects onRoster(TimePoint now, const std::vector<Member> &members);

    /** Announces whether the target beside this node takes work, at once to a few. */
    MembershipEffects announceTakesWork(bool takesWork, Random &random);
    /** Announces that the load reported by the target here no longer holds, at once to a few. */
    MembershipEffects announceUpdate(Random &random);
    /** Announces that this node itself leaves, at once to a few. */
    MembershipEffects announceState(MemberState state, Random &random);
    /** Announces the leases that this node holds. */
    MembershipEffects announceLeases(std::vector<std::uint32_t> leases, Random &random);
    /** Sends @p body to a few random members. */
    MembershipEffects sendToRandomMembers(const GossipBody &body, std::size_t count,
                                          Random &random);

    /** A datagram with this node's address and the latest news. */
    Datagram makeDatagram(GossipBody body);

    const Member &self() const { return m_self; }
    const Member *find(const std::string &node) const;
    /** The node that holds a lease, as far as is known, or null. */
    const Member *holderOf(std::uint32_t lease) const;
    std::vector<Member> roster() const;
    /** Members that take part now: alive or suspected, this node included. */
    std::vector<const Member *> activeMembers() const;
    std::size_t size() const { return m_members.size() + 1; }

    void setPolicyVersion(std::uint64_t version) { m_policyVersion = version; }
    void setZonesRevision(std::uint64_t revision) { m_zonesRevision = revision; }

    static Duration probePeriod();

private:
    struct KnownMember
    {
        Member member;
        TimePoint changedAt;
    };
    struct PendingProbe
    {
        std::string node;
        std::uint64_t sequence = 0;
        bool isIndirect = false;
    };
    /** A probe made for another node, whose ack is passed back. */
    struct RelayedProbe
    {
        Endpoint origin;
        std::uint64_t originSequence = 0;
        TimePoint expiresAt;
    };

    void merge(TimePoint now, const Member &news, MembershipEffects &effects);
    void mergeSelf(const Member &news);
    void enqueueUpdate(const Member &member);
    std::vector<Member> takeUpdates();
    void finishProbe(TimePoint now, MembershipEffects &effects);
    void startIndirectProbe(MembershipEffects &effects, Random &random);
    void startProbe(Random &random, MembershipEffects &effects);
    void expireSuspects(TimePoint now, MembershipEffects &effects);
    const Member *nextToProbe(Random &random);
    std::vector<const Member *> pickRandomActive(std::size_t count, Random &random,
                                                 std::string_view except) const;
    void handle(TimePoint now, const Datagram &from, const Probe &probe, MembershipEffects &out);
    void handle(TimePoint now, const Datagram &from, const ProbeAck &ack, MembershipEffects &out);
    void handle(TimePoint now, const Datagram &from, const ProbeRequest &ask,
                MembershipEffects &out);
    template<class Other>
    void handle(TimePoint, const Datagram &, const Other &, MembershipEffects &)
    {
    }

    Member m_self;
    std::map<std::string, KnownMember, std::less<>> m_members;
    std::set<std::string> m_suspects;
    std::unordered_map<std::uint32_t, std::string> m_leaseHolders;
    std::vector<std::string> m_probeOrder;
    std::size_t m_probeIndex = 0;
    std::optional<PendingProbe> m_pending;
    std::unordered_map<std::uint64_t, RelayedProbe> m_relayed;
    std::map<std::string, int> m_pendingUpdates; ///< Node to how often its news may still be sent.
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_policyVersion = 0;
    std::uint64_t m_zonesRevision = 0;
    std::uint64_t m_ticks = 0;
};

} // namespace ibiswell
