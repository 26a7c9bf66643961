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

/** Effect: the known state of a member has changed. */
struct MemberChanged
{
    Member member;
};

using MembershipEffect = std::variant<SendDatagram, MemberChanged>;
using MembershipEffects = std::vector<MembershipEffect>;

/**
 * Tracks the nodes of the fleet by probing and gossip, without heartbeat calls to the platform.
 *
 * Each period a node probes one other, directly and then through third nodes. A node that does not
 * respond is suspected; it can refute the suspicion by a higher incarnation, and is declared dead
 * after a timeout. Updates are piggybacked on the probes. Dead members are still probed from time
 * to time, so that the two sides of a network partition find each other again afterwards. See Das,
 * Gupta, Motivala: SWIM (2002).
 */
class Membership
{
public:
    explicit Membership(Member self);

    /**
     * Starts the next probe, or continues one without a response through third nodes. To be called
     * every probePeriod().
     */
    MembershipEffects tick(TimePoint now, Random &random);
    MembershipEffects onDatagram(TimePoint now, const Datagram &datagram);
    /** Merges a roster received from another node, or the seed nodes listed by the platform. */
    MembershipEffects onRoster(TimePoint now, const std::vector<Member> &members);

    // Unless nothing has changed, an announcement raises this node's incarnation, is sent to a few
    // random members immediately, and then spreads with the probes.

    /** Announces whether the target beside this node takes work. */
    MembershipEffects announceTakesWork(bool takesWork, Random &random);
    /** Announces this node again, for example because the load that others know is outdated. */
    MembershipEffects announceUpdate(Random &random);
    /** Announces this node's own state, for example that it is leaving. */
    MembershipEffects announceState(MemberState state, Random &random);
    /** Announces the leases that this node holds. */
    MembershipEffects announceLeases(std::vector<std::uint32_t> leases, Random &random);
    /** Sends @p body to up to @p count random active members. */
    MembershipEffects sendToRandomMembers(const GossipBody &body, std::size_t count,
                                          Random &random);

    /** Creates a datagram with this node's address and the most recent updates. */
    Datagram makeDatagram(GossipBody body);

    const Member &self() const { return m_self; }
    const Member *find(const std::string &node) const;
    /** The member that is known to hold a lease, or null. */
    const Member *holderOf(std::uint32_t lease) const;
    /** All known members in any state, this node included. */
    std::vector<Member> roster() const;
    /** The members that are alive or suspected, this node included. */
    std::vector<const Member *> activeMembers() const;
    std::size_t size() const { return m_members.size() + 1; }

    void setPolicyVersion(std::uint64_t version) { m_policyVersion = version; }

    static Duration probePeriod();

private:
    struct KnownMember
    {
        Member member;
        TimePoint changedAt;
    };
    /** The current probe of this node, until it is acknowledged or fails. */
    struct PendingProbe
    {
        std::string node;
        std::uint64_t sequence = 0;
        bool isIndirect = false;
    };
    /** A probe made on behalf of another node, to which the ack is forwarded. */
    struct RelayedProbe
    {
        Endpoint origin;
        std::uint64_t originSequence = 0;
        TimePoint expiresAt;
    };

    void merge(TimePoint now, const Member &update, MembershipEffects &effects);
    /**
     * Handles an update about this node: one with a higher incarnation or a worse state is refuted
     * by a still higher incarnation.
     */
    void mergeSelf(const Member &update);
    void enqueueUpdate(const Member &member);
    std::vector<Member> takeUpdates();
    void finishProbe(TimePoint now, MembershipEffects &effects);
    void startIndirectProbe(MembershipEffects &effects, Random &random);
    void startProbe(Random &random, MembershipEffects &effects);
    /** Declares suspects dead after a timeout; at times also removes members that left long ago. */
    void expireSuspects(TimePoint now, MembershipEffects &effects);
    /** The next member in random order, at times also a dead one; null when there is none. */
    const Member *nextToProbe(Random &random);
    std::vector<const Member *> pickRandomActive(std::size_t count, Random &random,
                                                 std::string_view except) const;
    void handle(TimePoint now, const Datagram &datagram, const Probe &probe,
                MembershipEffects &effects);
    void handle(TimePoint now, const Datagram &datagram, const ProbeAck &ack,
                MembershipEffects &effects);
    void handle(TimePoint now, const Datagram &datagram, const ProbeRequest &request,
                MembershipEffects &effects);
    template<class Other>
    void handle(TimePoint, const Datagram &, const Other &, MembershipEffects &)
    {
    }

    Member m_self;
    std::map<std::string, KnownMember, std::less<>> m_members;
    std::set<std::string> m_suspects;
    std::unordered_map<std::uint32_t, std::string> m_leaseHolders;
    std::vector<std::string> m_probeOrder; ///< Shuffled again after each round.
    std::size_t m_probeIndex = 0;
    std::optional<PendingProbe> m_pendingProbe;
    std::unordered_map<std::uint64_t, RelayedProbe> m_relayedProbes;
    std::map<std::string, int> m_pendingUpdates; ///< Node to remaining transmissions.
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_policyVersion = 0;
    std::uint64_t m_probeCount = 0; ///< Includes attempts that found no member to probe.
};

} // namespace ibiswell
