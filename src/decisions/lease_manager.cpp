#include "ibiswell/decisions/lease_manager.h"

#include <fmt/format.h>

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration readInterval = 1s;
constexpr int renewalsPerDuration = 3;

Duration scaled(Duration d, double factor)
{
    return fromSeconds(inSeconds(d) * factor);
}

} // namespace

std::string leaseObjectName(std::uint32_t lease)
{
    return fmt::format("lease-{}", lease);
}

LeaseManager::LeaseManager(std::string node, std::string start, Duration duration)
    : m_node(std::move(node))
    , m_start(std::move(start))
    , m_duration(duration)
{
}

bool LeaseManager::holds(TimePoint now, std::uint32_t lease) const
{
    auto found = m_leases.find(lease);
    return found != m_leases.end() && found->second.validUntil && now < *found->second.validUntil;
}

std::optional<TimePoint> LeaseManager::heldSince(TimePoint now, std::uint32_t lease) const
{
    if (!holds(now, lease))
        return std::nullopt;
    return m_leases.at(lease).acquiredAt;
}

std::vector<std::uint32_t> LeaseManager::heldLeases(TimePoint now) const
{
    std::vector<std::uint32_t> numbers;
    for (const auto &[number, lease] : m_leases) {
        if (holds(now, number))
            numbers.push_back(number);
    }
    return numbers;
}

WriteLease LeaseManager::makeWrite(TimePoint now, std::uint32_t number, Lease &lease)
{
    lease.sentNonce = fmt::format("{}-{}", m_start, m_nextNonce++);
    lease.sentAt = now;
    lease.nextRenewAt = now + m_duration / renewalsPerDuration;
    return {number, lease.observed.version, {0, m_node, lease.sentNonce, m_duration}};
}

bool LeaseManager::isFree(TimePoint now, const Lease &lease) const
{
    if (lease.observed.version == 0 || lease.observed.holder.empty())
        return true;
    Duration takeoverDelay = scaled(lease.observed.duration, 1 + maximumClockDrift);
    return lease.observedSince && now - *lease.observedSince > takeoverDelay;
}

std::vector<LeaseEffect> LeaseManager::tick(TimePoint now, const std::vector<std::uint32_t> &wanted)
{
    std::vector<LeaseEffect> effects;
    if (m_releasing)
        return effects;
    for (std::uint32_t number : wanted)
        m_leases.try_emplace(number);
    for (auto &[number, lease] : m_leases) {
        if (holds(now, number)) {
            if (now >= lease.nextRenewAt)
                effects.push_back(makeWrite(now, number, lease));
            continue;
        }
        lease.acquiredAt.reset();
        bool isWanted = std::find(wanted.begin(), wanted.end(), number) != wanted.end();
        if (isWanted && now >= lease.nextReadAt) {
            lease.nextReadAt = now + readInterval;
            effects.push_back(ReadLease {number});
        }
    }
    return effects;
}

std::vector<LeaseEffect> LeaseManager::onRead(TimePoint now, std::uint32_t number,
                                              const LeaseRecord &record)
{
    Lease &lease = m_leases[number];
    if (!lease.observedSince || lease.observed.version != record.version) {
        lease.observed = record;
        lease.observedSince = now;
    }
    if (m_releasing)
        return record.holder == m_node ? makeRelease(now, number, lease)
                                       : std::vector<LeaseEffect> {};
    bool ownWrite = record.version != 0 && !lease.sentNonce.empty()
        && record.nonce == lease.sentNonce && record.holder == m_node;
    if (ownWrite) {
        recordHeld(lease.sentAt, lease, record);
        return {};
    }
    if (holds(now, number) || !isFree(now, lease))
        return {};
    return {makeWrite(now, number, lease)};
}

void LeaseManager::recordHeld(TimePoint sentAt, Lease &lease, const LeaseRecord &record)
{
    lease.observed = record;
    lease.observedSince = sentAt;
    if (m_releasing)
        return;
    TimePoint until = sentAt + scaled(m_duration, 1 - maximumClockDrift);
    bool isContinuous = lease.validUntil && lease.acquiredAt && sentAt < *lease.validUntil;
    if (!isContinuous)
        lease.acquiredAt = sentAt;
    lease.validUntil = until;
}

void LeaseManager::onWritten(TimePoint sentAt, std::uint32_t number, const LeaseRecord &record)
{
    Lease &lease = m_leases[number];
    bool isLatest = record.holder == m_node && record.nonce == lease.sentNonce;
    if (isLatest)
        recordHeld(sentAt, lease, record);
}

std::vector<LeaseEffect> LeaseManager::onWriteFailed(std::uint32_t number)
{
    return {ReadLease {number}};
}

std::vector<LeaseEffect> LeaseManager::makeRelease(TimePoint now, std::uint32_t number,
                                                   Lease &lease)
{
    WriteLease effect = makeWrite(now, number, lease);
    effect.record.holder.clear();
    lease.validUntil.reset();
    lease.acquiredAt.reset();
    return {std::move(effect)};
}

std::vector<LeaseEffect> LeaseManager::releaseAll(TimePoint now)
{
    m_releasing = true;
    std::vector<LeaseEffect> effects;
    for (auto &[number, lease] : m_leases) {
        if (holds(now, number))
            effects.push_back(makeRelease(now, number, lease).front());
    }
    return effects;
}

} // namespace ibiswell
