#include "ibiswell/decisions/lease_keeper.h"

#include <fmt/format.h>

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration pauseBetweenReads = 1s;
constexpr int renewalsForDuration = 3;

Duration scaled(Duration d, double factor)
{
    return fromSeconds(inSeconds(d) * factor);
}

} // namespace

std::string leaseObjectName(std::uint32_t lease)
{
    return fmt::format("lease-{}", lease);
}

LeaseKeeper::LeaseKeeper(std::string node, std::string start, Duration duration)
    : m_node(std::move(node))
    , m_start(std::move(start))
    , m_duration(duration)
{
}

bool LeaseKeeper::holds(TimePoint now, std::uint32_t lease) const
{
    auto found = m_leases.find(lease);
    return found != m_leases.end() && found->second.validUntil && now < *found->second.validUntil;
}

std::optional<TimePoint> LeaseKeeper::heldSince(TimePoint now, std::uint32_t lease) const
{
    if (!holds(now, lease))
        return std::nullopt;
    return m_leases.at(lease).since;
}

std::vector<std::uint32_t> LeaseKeeper::held(TimePoint now) const
{
    std::vector<std::uint32_t> numbers;
    for (const auto &[number, lease] : m_leases) {
        if (holds(now, number))
            numbers.push_back(number);
    }
    return numbers;
}

WriteLease LeaseKeeper::write(TimePoint now, std::uint32_t number, Lease &lease)
{
    lease.sentNonce = fmt::format("{}-{}", m_start, m_nextNonce++);
    lease.sentAt = now;
    lease.nextRenewAt = now + m_duration / renewalsForDuration;
    return {number, lease.seen.version, {0, m_node, lease.sentNonce, m_duration}};
}

bool LeaseKeeper::isFree(TimePoint now, const Lease &lease) const
{
    if (lease.seen.version == 0 || lease.seen.holder.empty())
        return true;
    Duration lapse = scaled(lease.seen.duration, 1 + clockDriftShare);
    return lease.seenSince && now - *lease.seenSince > lapse;
}

std::vector<LeaseEffect> LeaseKeeper::tick(TimePoint now, const std::vector<std::uint32_t> &wanted)
{
    std::vector<LeaseEffect> effects;
    if (m_releasing)
        return effects;
    for (std::uint32_t number : wanted)
        m_leases.try_emplace(number);
    for (auto &[number, lease] : m_leases) {
        if (holds(now, number)) {
            if (now >= lease.nextRenewAt)
                effects.push_back(write(now, number, lease));
            continue;
        }
        lease.since.reset();
        bool isWanted = std::find(wanted.begin(), wanted.end(), number) != wanted.end();
        if (isWanted && now >= lease.nextReadAt) {
            lease.nextReadAt = now + pauseBetweenReads;
            effects.push_back(ReadLease {number});
        }
    }
    return effects;
}

std::vector<LeaseEffect> LeaseKeeper::onRead(TimePoint now, std::uint32_t number,
                                             const LeaseRecord &record)
{
    Lease &lease = m_leases[number];
    if (!lease.seenSince || lease.seen.version != record.version) {
        lease.seen = record;
        lease.seenSince = now;
    }
    if (m_releasing)
        return record.holder == m_node ? release(now, number, lease) : std::vector<LeaseEffect> {};
    bool ownWrite = record.version != 0 && !lease.sentNonce.empty()
        && record.nonce == lease.sentNonce && record.holder == m_node;
    if (ownWrite) {
        take(lease.sentAt, lease, record);
        return {};
    }
    if (holds(now, number) || !isFree(now, lease))
        return {};
    return {write(now, number, lease)};
}

void LeaseKeeper::take(TimePoint sentAt, Lease &lease, const LeaseRecord &record)
{
    lease.seen = record;
    lease.seenSince = sentAt;
    if (m_releasing)
        return;
    TimePoint until = sentAt + scaled(m_duration, 1 - clockDriftShare);
    bool unbroken = lease.validUntil && lease.since && sentAt < *lease.validUntil;
    if (!unbroken)
        lease.since = sentAt;
    lease.validUntil = until;
}

void LeaseKeeper::onWritten(TimePoint sentAt, std::uint32_t number, const LeaseRecord &record)
{
    Lease &lease = m_leases[number];
    bool isLatest = record.holder == m_node && record.nonce == lease.sentNonce;
    if (isLatest)
        take(sentAt, lease, record);
}

std::vector<LeaseEffect> LeaseKeeper::onWriteFailed(std::uint32_t number)
{
    return {ReadLease {number}};
}

std::vector<LeaseEffect> LeaseKeeper::release(TimePoint now, std::uint32_t number, Lease &lease)
{
    WriteLease effect = write(now, number, lease);
    effect.record.holder.clear();
    lease.validUntil.reset();
    lease.since.reset();
    return {std::move(effect)};
}

std::vector<LeaseEffect> LeaseKeeper::releaseAll(TimePoint now)
{
    m_releasing = true;
    std::vector<LeaseEffect> effects;
    for (auto &[number, lease] : m_leases) {
        if (holds(now, number))
            effects.push_back(release(now, number, lease).front());
    }
    return effects;
}

} // namespace ibiswell
