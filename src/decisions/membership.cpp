#include "ibiswell/decisions/membership.h"

#include <algorithm>
#include <cmath>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** Each period has two halves: the direct probe, then the probes through others. */
constexpr Duration tickPeriod = 500ms;
constexpr Duration suspicionTime = 4s;
constexpr Duration deadKept = 30min;
constexpr Duration relayKept = 2s;
constexpr std::size_t indirectProbes = 3;
constexpr std::size_t newsPerDatagram = 6;
constexpr std::size_t announceSpread = 8;
constexpr int newsRepeats = 3; // times the logarithm of the fleet's size
constexpr std::uint64_t ticksBetweenDeadProbes = 10;

/** Whether news of the same incarnation replaces the known state. */
bool outranks(MemberState news, MemberState known)
{
    return static_cast<int>(news) > static_cast<int>(known);
}

} // namespace

Duration Membership::probePeriod()
{
    return tickPeriod;
}

Membership::Membership(Member self)
    : m_self(std::move(self))
{
    enqueueNews(m_self);
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
    bool present = member && member->state != MemberState::Dead;
    return present ? member : nullptr;
}

std::vector<Member> Membership::roster() const
{
    std::vector<Member> members {m_self};
    for (const auto &[node, known] : m_members)
        members.push_back(known.member);
    return members;
}

std::vector<const Member *> Membership::present() const
{
    std::vector<const Member *> members {&m_self};
    for (const auto &[node, known] : m_members) {
        if (known.member.state <= MemberState::Suspect)
            members.push_back(&known.member);
    }
    return members;
}

void Membership::enqueueNews(const Member &member)
{
    int repeats = newsRepeats * static_cast<int>(std::ceil(std::log2(size() + 1)));
    m_news[member.node] = std::max(1, repeats);
}

/** The news sent least often first, each counted down and dropped when told often enough. */
std::vector<Member> Membership::takeNews()
{
    std::vector<std::pair<int, std::string>> order;
    for (const auto &[node, left] : m_news)
        order.emplace_back(-left, node);
    std::size_t count = std::min(order.size(), newsPerDatagram);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end());
    std::vector<Member> news;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string &node = order[i].second;
        if (const Member *member = find(node))
            news.push_back(*member);
        if (--m_news[node] <= 0)
            m_news.erase(node);
    }
    return news;
}

Datagram Membership::frame(GossipBody body)
{
    return {m_self.node, m_self.endpoint, m_policyVersion,
            takeNews(),  std::move(body), m_zonesRevision};
}

void Membership::mergeSelf(const Member &news)
{
    bool stale = news.incarnation < m_self.incarnation;
    bool same = news.incarnation == m_self.incarnation && news.state <= m_self.state;
    if (stale || same)
        return;
    m_self.incarnation = news.incarnation + 1;
    enqueueNews(m_self);
}

void Membership::merge(TimePoint now, const Member &news, MembershipEffects &effects)
{
    if (news.node == m_self.node) {
        mergeSelf(news);
        return;
    }
    auto found = m_members.find(news.node);
    if (found != m_members.end()) {
        const Member &known = found->second.member;
        bool newer = news.incarnation > known.incarnation
            || (news.incarnation == known.incarnation && outranks(news.state, known.state));
        if (!newer)
            return;
    } else if (news.state == MemberState::Dead) {
        return;
    }
    m_members[news.node] = {news, now};
    if (found == m_members.end())
        m_probeOrder.push_back(news.node);
    if (news.state == MemberState::Suspect)
        m_suspects.insert(news.node);
    else
        m_suspects.erase(news.node);
    for (std::uint32_t lease : news.leases)
        m_leaseHolders[lease] = news.node;
    std::erase_if(m_leaseHolders, [&](const auto &item) {
        return item.second == news.node
            && std::find(news.leases.begin(), news.leases.end(), item.first) == news.leases.end();
    });
    enqueueNews(news);
    effects.push_back(MemberChanged {news});
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

void Membership::handle(TimePoint, const Datagram &from, const Probe &probe, MembershipEffects &out)
{
    // A node that is suspected or dead here must learn of it, so that it can refute.
    auto known = m_members.find(from.sender);
    if (known != m_members.end() && known->second.member.state != MemberState::Alive)
        enqueueNews(known->second.member);
    out.push_back(SendDatagram {from.senderEndpoint, frame(ProbeAck {probe.sequence})});
}

void Membership::handle(TimePoint now, const Datagram &, const ProbeAck &ack,
                        MembershipEffects &out)
{
    if (m_pending && m_pending->sequence == ack.sequence)
        m_pending.reset();
    auto relayed = m_relayed.find(ack.sequence);
    if (relayed == m_relayed.end())
        return;
    if (now < relayed->second.expiresAt)
        out.push_back(SendDatagram {relayed->second.origin,
                                    frame(ProbeAck {relayed->second.originSequence})});
    m_relayed.erase(relayed);
}

void Membership::handle(TimePoint now, const Datagram &from, const ProbeRequest &ask,
                        MembershipEffects &out)
{
    std::uint64_t sequence = m_nextSequence++;
    m_relayed[sequence] = {from.senderEndpoint, ask.sequence, now + relayKept};
    out.push_back(SendDatagram {ask.endpoint, frame(Probe {sequence})});
}

MembershipEffects Membership::tick(TimePoint now, Random &random)
{
    MembershipEffects effects;
    expireSuspects(now, effects);
    std::erase_if(m_relayed, [&](const auto &item) { return item.second.expiresAt <= now; });
    if (m_pending && !m_pending->askedOthers) {
        askOthers(effects, random);
        return effects;
    }
    finishProbe(now, effects);
    startProbe(random, effects);
    return effects;
}

void Membership::askOthers(MembershipEffects &effects, Random &random)
{
    m_pending->askedOthers = true;
    const Member *probed = find(m_pending->node);
    if (!probed)
        return;
    ProbeRequest request {m_pending->sequence, probed->node, probed->endpoint};
    for (const Member *member : pickPresent(indirectProbes, random, probed->node))
        effects.push_back(SendDatagram {member->endpoint, frame(request)});
}

void Membership::finishProbe(TimePoint now, MembershipEffects &effects)
{
    if (!m_pending)
        return;
    auto found = m_members.find(m_pending->node);
    if (found != m_members.end() && found->second.member.state == MemberState::Alive) {
        Member suspect = found->second.member;
        suspect.state = MemberState::Suspect;
        merge(now, suspect, effects);
    }
    m_pending.reset();
}

void Membership::startProbe(Random &random, MembershipEffects &effects)
{
    const Member *member = nextToProbe(random);
    if (!member)
        return;
    if (member->state != MemberState::Alive)
        enqueueNews(*member); // so that the probed node learns of it and refutes
    m_pending = PendingProbe {member->node, m_nextSequence++, false};
    SendDatagram probe {member->endpoint, frame(Probe {m_pending->sequence})};
    // A node that does not know this one yet, after islands joined, learns of it by the probe.
    std::erase_if(probe.datagram.updates,
                  [&](const Member &news) { return news.node == m_self.node; });
    probe.datagram.updates.push_back(m_self);
    effects.push_back(std::move(probe));
}

const Member *Membership::nextToProbe(Random &random)
{
    bool deadToo = ++m_ticks % ticksBetweenDeadProbes == 0;
    for (std::size_t tried = 0; tried <= m_probeOrder.size() && !m_probeOrder.empty(); ++tried) {
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
        if (state <= MemberState::Suspect || (deadToo && state == MemberState::Dead))
            return &found->second.member;
    }
    return nullptr;
}

void Membership::expireSuspects(TimePoint now, MembershipEffects &effects)
{
    std::vector<Member> dead;
    for (const std::string &node : m_suspects) {
        const Known &known = m_members.at(node);
        if (now - known.changedAt >= suspicionTime)
            dead.push_back(known.member);
    }
    for (Member &member : dead) {
        member.state = MemberState::Dead;
        merge(now, member, effects);
    }
    constexpr std::uint64_t ticksBetweenSweeps = 64;
    if (m_ticks % ticksBetweenSweeps == 0)
        std::erase_if(m_members, [&](const auto &item) {
            return item.second.member.state >= MemberState::Leaving
                && now - item.second.changedAt > deadKept;
        });
}

std::vector<const Member *> Membership::pickPresent(std::size_t count, Random &random,
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

MembershipEffects Membership::spread(const GossipBody &body, std::size_t count, Random &random)
{
    MembershipEffects effects;
    for (const Member *member : pickPresent(count, random, {}))
        effects.push_back(SendDatagram {member->endpoint, frame(body)});
    return effects;
}

MembershipEffects Membership::announceState(MemberState state, Random &random)
{
    if (state == m_self.state)
        return {};
    m_self.state = state;
    ++m_self.incarnation;
    enqueueNews(m_self);
    return spread(MemberUpdate {}, announceSpread, random);
}

MembershipEffects Membership::announceWork(bool takesWork, Random &random)
{
    if (takesWork == m_self.takesWork)
        return {};
    m_self.takesWork = takesWork;
    return announceChange(random);
}

MembershipEffects Membership::announceChange(Random &random)
{
    ++m_self.incarnation;
    enqueueNews(m_self);
    return spread(MemberUpdate {}, announceSpread, random);
}

MembershipEffects Membership::announceLeases(std::vector<std::uint32_t> leases, Random &random)
{
    if (leases == m_self.leases)
        return {};
    m_self.leases = std::move(leases);
    return announceChange(random);
}

} // namespace ibiswell
