#include "ibiswell/decisions/membership.h"

#include <algorithm>
#include <cmath>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** A probe without a response takes two ticks: the direct probe, then the indirect ones. */
constexpr Duration tickPeriod = 500ms;
constexpr Duration suspicionTimeout = 4s;
constexpr Duration departedRetention = 30min;
constexpr Duration relayTimeout = 2s;
constexpr std::size_t indirectProbes = 3;
constexpr std::size_t updatesPerDatagram = 6;
constexpr std::size_t announcementFanout = 8;
constexpr int updateRepeats = 3; // times the logarithm of the number of members
constexpr std::uint64_t deadProbeInterval = 10; // every tenth probe may go to a dead member

/** Whether an update of the same incarnation replaces the known state. */
bool overrides(MemberState update, MemberState known)
{
    return static_cast<int>(update) > static_cast<int>(known);
}

} // namespace

Duration Membership::probePeriod()
{
    return tickPeriod;
}

Membership::Membership(Member self)
    : m_self(std::move(self))
{
    enqueueUpdate(m_self);
}

const Member *Membership::find(const std::string &node) const
{
    if (node == m_self.node)
        return &m_self;
    auto found = m_members.find(node);
    return found == m_members.end() ? nullptr : &found->second.member;
}

const Member *Membership::holderOf(std::uint32_t lease) const
{
    if (std::find(m_self.leases.begin(), m_self.leases.end(), lease) != m_self.leases.end())
        return &m_self;
    auto found = m_leaseHolders.find(lease);
    if (found == m_leaseHolders.end())
        return nullptr;
    const Member *member = find(found->second);
    bool mayHold = member && member->state != MemberState::Dead;
    return mayHold ? member : nullptr;
}

std::vector<Member> Membership::roster() const
{
    std::vector<Member> members {m_self};
    for (const auto &[node, known] : m_members)
        members.push_back(known.member);
    return members;
}

std::vector<const Member *> Membership::activeMembers() const
{
    std::vector<const Member *> members {&m_self};
    for (const auto &[node, known] : m_members) {
        if (known.member.state <= MemberState::Suspect)
            members.push_back(&known.member);
    }
    return members;
}

void Membership::enqueueUpdate(const Member &member)
{
    int repeats = updateRepeats * static_cast<int>(std::ceil(std::log2(size() + 1)));
    m_pendingUpdates[member.node] = std::max(1, repeats);
}

/**
 * Selects the updates that were sent least often and counts each as sent. An update that was sent
 * often enough is removed.
 */
std::vector<Member> Membership::takeUpdates()
{
    std::vector<std::pair<int, std::string>> order;
    for (const auto &[node, remaining] : m_pendingUpdates)
        order.emplace_back(-remaining, node);
    std::size_t count = std::min(order.size(), updatesPerDatagram);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end());
    std::vector<Member> updates;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string &node = order[i].second;
        if (const Member *member = find(node))
            updates.push_back(*member);
        if (--m_pendingUpdates[node] <= 0)
            m_pendingUpdates.erase(node);
    }
    return updates;
}

Datagram Membership::makeDatagram(GossipBody body)
{
    return {m_self.node, m_self.endpoint, m_policyVersion, takeUpdates(), std::move(body)};
}

void Membership::mergeSelf(const Member &update)
{
    bool isOlder = update.incarnation < m_self.incarnation;
    bool isNoWorse = update.incarnation == m_self.incarnation && update.state <= m_self.state;
    if (isOlder || isNoWorse)
        return;
    m_self.incarnation = update.incarnation + 1;
    enqueueUpdate(m_self);
}

void Membership::merge(TimePoint now, const Member &update, MembershipEffects &effects)
{
    if (update.node == m_self.node) {
        mergeSelf(update);
        return;
    }
    auto found = m_members.find(update.node);
    if (found != m_members.end()) {
        const Member &known = found->second.member;
        bool isNewer = update.incarnation > known.incarnation
            || (update.incarnation == known.incarnation && overrides(update.state, known.state));
        if (!isNewer)
            return;
    } else if (update.state == MemberState::Dead) {
        return;
    }
    m_members[update.node] = {update, now};
    if (found == m_members.end())
        m_probeOrder.push_back(update.node);
    if (update.state == MemberState::Suspect)
        m_suspects.insert(update.node);
    else
        m_suspects.erase(update.node);
    for (std::uint32_t lease : update.leases)
        m_leaseHolders[lease] = update.node;
    std::erase_if(m_leaseHolders, [&](const auto &item) {
        return item.second == update.node
            && std::find(update.leases.begin(), update.leases.end(), item.first)
            == update.leases.end();
    });
    enqueueUpdate(update);
    effects.push_back(MemberChanged {update});
}

MembershipEffects Membership::onRoster(TimePoint now, const std::vector<Member> &members)
{
    MembershipEffects effects;
    for (const Member &member : members)
        merge(now, member, effects);
    return effects;
}

MembershipEffects Membership::onDatagram(TimePoint now, const Datagram &datagram)
{
    MembershipEffects effects;
    for (const Member &member : datagram.updates)
        merge(now, member, effects);
    std::visit([&](const auto &body) { handle(now, datagram, body, effects); }, datagram.body);
    return effects;
}

void Membership::handle(TimePoint, const Datagram &datagram, const Probe &probe,
                        MembershipEffects &effects)
{
    // A node that is known here as suspected or dead must learn of it, so that it can refute.
    auto known = m_members.find(datagram.sender);
    if (known != m_members.end() && known->second.member.state != MemberState::Alive)
        enqueueUpdate(known->second.member);
    effects.push_back(
        SendDatagram {datagram.senderEndpoint, makeDatagram(ProbeAck {probe.sequence})});
}

void Membership::handle(TimePoint now, const Datagram &, const ProbeAck &ack,
                        MembershipEffects &effects)
{
    if (m_pendingProbe && m_pendingProbe->sequence == ack.sequence)
        m_pendingProbe.reset();
    auto relayed = m_relayedProbes.find(ack.sequence);
    if (relayed == m_relayedProbes.end())
        return;
    if (now < relayed->second.expiresAt)
        effects.push_back(SendDatagram {relayed->second.origin,
                                        makeDatagram(ProbeAck {relayed->second.originSequence})});
    m_relayedProbes.erase(relayed);
}

void Membership::handle(TimePoint now, const Datagram &datagram, const ProbeRequest &request,
                        MembershipEffects &effects)
{
    std::uint64_t sequence = m_nextSequence++;
    m_relayedProbes[sequence] = {datagram.senderEndpoint, request.sequence, now + relayTimeout};
    effects.push_back(SendDatagram {request.endpoint, makeDatagram(Probe {sequence})});
}

MembershipEffects Membership::tick(TimePoint now, Random &random)
{
    MembershipEffects effects;
    expireSuspects(now, effects);
    std::erase_if(m_relayedProbes, [&](const auto &item) { return item.second.expiresAt <= now; });
    if (m_pendingProbe && !m_pendingProbe->isIndirect) {
        startIndirectProbe(effects, random);
        return effects;
    }
    finishProbe(now, effects);
    startProbe(random, effects);
    return effects;
}

void Membership::startIndirectProbe(MembershipEffects &effects, Random &random)
{
    m_pendingProbe->isIndirect = true;
    const Member *probed = find(m_pendingProbe->node);
    if (!probed)
        return;
    ProbeRequest request {m_pendingProbe->sequence, probed->node, probed->endpoint};
    for (const Member *member : pickRandomActive(indirectProbes, random, probed->node))
        effects.push_back(SendDatagram {member->endpoint, makeDatagram(request)});
}

void Membership::finishProbe(TimePoint now, MembershipEffects &effects)
{
    if (!m_pendingProbe)
        return;
    auto found = m_members.find(m_pendingProbe->node);
    if (found != m_members.end() && found->second.member.state == MemberState::Alive) {
        Member suspect = found->second.member;
        suspect.state = MemberState::Suspect;
        merge(now, suspect, effects);
    }
    m_pendingProbe.reset();
}

void Membership::startProbe(Random &random, MembershipEffects &effects)
{
    const Member *member = nextToProbe(random);
    if (!member)
        return;
    if (member->state != MemberState::Alive)
        enqueueUpdate(*member); // so that the probed node learns of it and can refute
    m_pendingProbe = PendingProbe {member->node, m_nextSequence++, false};
    SendDatagram probe {member->endpoint, makeDatagram(Probe {m_pendingProbe->sequence})};
    // After a partition has healed, the probed node may not know this one, so the probe carries
    // the state of this node.
    std::erase_if(probe.datagram.updates,
                  [&](const Member &update) { return update.node == m_self.node; });
    probe.datagram.updates.push_back(m_self);
    effects.push_back(std::move(probe));
}

const Member *Membership::nextToProbe(Random &random)
{
    bool includeDead = ++m_probeCount % deadProbeInterval == 0;
    for (std::size_t attempts = 0; attempts <= m_probeOrder.size() && !m_probeOrder.empty();
         ++attempts) {
        if (m_probeIndex >= m_probeOrder.size()) {
            m_probeIndex = 0;
            std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), random);
        }
        auto found = m_members.find(m_probeOrder[m_probeIndex]);
        if (found == m_members.end()) {
            m_probeOrder.erase(m_probeOrder.begin() + static_cast<std::ptrdiff_t>(m_probeIndex));
            continue;
        }
        ++m_probeIndex;
        MemberState state = found->second.member.state;
        if (state <= MemberState::Suspect || (includeDead && state == MemberState::Dead))
            return &found->second.member;
    }
    return nullptr;
}

void Membership::expireSuspects(TimePoint now, MembershipEffects &effects)
{
    std::vector<Member> dead;
    for (const std::string &node : m_suspects) {
        const KnownMember &known = m_members.at(node);
        if (now - known.changedAt >= suspicionTimeout)
            dead.push_back(known.member);
    }
    for (Member &member : dead) {
        member.state = MemberState::Dead;
        merge(now, member, effects);
    }
    constexpr std::uint64_t probesBetweenSweeps = 64;
    if (m_probeCount % probesBetweenSweeps == 0)
        std::erase_if(m_members, [&](const auto &item) {
            return item.second.member.state >= MemberState::Leaving
                && now - item.second.changedAt > departedRetention;
        });
}

std::vector<const Member *> Membership::pickRandomActive(std::size_t count, Random &random,
                                                         std::string_view except) const
{
    std::vector<const Member *> picked;
    if (m_probeOrder.empty())
        return picked;
    for (std::size_t draw = 0; draw < 8 * count && picked.size() < count; ++draw) {
        const std::string &node = m_probeOrder[pickIndex(random, m_probeOrder.size())];
        auto found = m_members.find(node);
        if (found == m_members.end() || node == except
            || found->second.member.state > MemberState::Suspect)
            continue;
        const Member *member = &found->second.member;
        if (std::find(picked.begin(), picked.end(), member) == picked.end())
            picked.push_back(member);
    }
    return picked;
}

MembershipEffects Membership::sendToRandomMembers(const GossipBody &body, std::size_t count,
                                                  Random &random)
{
    MembershipEffects effects;
    for (const Member *member : pickRandomActive(count, random, {}))
        effects.push_back(SendDatagram {member->endpoint, makeDatagram(body)});
    return effects;
}

MembershipEffects Membership::announceState(MemberState state, Random &random)
{
    if (state == m_self.state)
        return {};
    m_self.state = state;
    ++m_self.incarnation;
    enqueueUpdate(m_self);
    return sendToRandomMembers(MemberUpdate {}, announcementFanout, random);
}

MembershipEffects Membership::announceTakesWork(bool takesWork, Random &random)
{
    if (takesWork == m_self.takesWork)
        return {};
    m_self.takesWork = takesWork;
    return announceUpdate(random);
}

MembershipEffects Membership::announceUpdate(Random &random)
{
    ++m_self.incarnation;
    enqueueUpdate(m_self);
    return sendToRandomMembers(MemberUpdate {}, announcementFanout, random);
}

MembershipEffects Membership::announceLeases(std::vector<std::uint32_t> leases, Random &random)
{
    if (leases == m_self.leases)
        return {};
    m_self.leases = std::move(leases);
    return announceUpdate(random);
}

} // namespace ibiswell
