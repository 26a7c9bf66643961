#pragma once

#include "ibiswell/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ibiswell {

/** A lease as the platform stores it, under leaseObjectName(). */
struct LeaseRecord
{
    std::uint64_t version = 0; ///< The platform's; 0 when the object does not exist.
    std::string holder; ///< Node name; empty when released.
    std::string nonce; ///< Of the write that made this version.
    Duration duration {};
};

/** Read a lease from the platform. */
struct ReadLease
{
    std::uint32_t lease;
};

/** Write a lease when its version is still ifVersion. */
struct WriteLease
{
    std::uint32_t lease;
    std::uint64_t ifVersion;
    LeaseRecord record;
};

using LeaseEffect = std::variant<ReadLease, WriteLease>;

/**
 * Takes and keeps leases that live in the platform's store.
 *
 * Guarantee: at no moment do two nodes hold one lease, provided that their clocks run at the same
 * pace within maximumClockDrift; no two clocks need to agree on the time. A holder counts from
 * before it sent its write and checks its own clock at each use, so a pause cannot use a lapsed
 * lease. Another node takes over only after it saw the same version for longer than the lease
 * lasts. A write whose answer was lost is recognised by its nonce.
 */
class LeaseManager
{
public:
    static constexpr double maximumClockDrift = 0.05;

    /**
     * @param node name of this node; @p start makes nonces unique across restarts.
     * @param duration for which this node takes a lease.
     */
    LeaseManager(std::string node, std::string start, Duration duration);

    /** Whether this node holds the lease at @p now. */
    bool holds(TimePoint now, std::uint32_t lease) const;
    /** When this node began to hold it without a break; nothing if it does not. */
    std::optional<TimePoint> heldSince(TimePoint now, std::uint32_t lease) const;
    std::vector<std::uint32_t> held(TimePoint now) const;

    /**
     * Reads and writes that are due.
     *
     * @param wanted leases that this node should take when they are free.
     */
    std::vector<LeaseEffect> tick(TimePoint now, const std::vector<std::uint32_t> &wanted);

    /** What a ReadLease found. */
    std::vector<LeaseEffect> onRead(TimePoint now, std::uint32_t lease, const LeaseRecord &record);
    /**
     * The platform stored the write, which was sent at @p sentAt. The answer to any write but the
     * latest, or to a release, is ignored.
     */
    void onWritten(TimePoint sentAt, std::uint32_t lease, const LeaseRecord &record);
    /** The write met another version, or its answer was lost; a read follows. */
    std::vector<LeaseEffect> onWriteFailed(std::uint32_t lease);

    /**
     * Gives all leases back: from now on none is held, and the writes say so to others. A release
     * that crossed a renewal is made again from what the following read finds.
     */
    std::vector<LeaseEffect> releaseAll(TimePoint now);

private:
    struct Lease
    {
        LeaseRecord observed;
        std::optional<TimePoint> observedSince; ///< Since when the seen version is unchanged.
        std::optional<TimePoint> validUntil; ///< By this node's clock, while it holds the lease.
        std::optional<TimePoint> acquiredAt;
        TimePoint nextReadAt;
        TimePoint nextRenewAt;
        std::string sentNonce; ///< Of the last write, whose answer may be lost.
        TimePoint sentAt;
    };

    WriteLease write(TimePoint now, std::uint32_t number, Lease &lease);
    std::vector<LeaseEffect> release(TimePoint now, std::uint32_t number, Lease &lease);
    void recordHeld(TimePoint sentAt, Lease &lease, const LeaseRecord &record);
    bool isFree(TimePoint now, const Lease &lease) const;

    std::string m_node;
    std::string m_start;
    Duration m_duration;
    std::uint64_t m_nextNonce = 1;
    bool m_releasing = false;
    std::map<std::uint32_t, Lease> m_leases;
};

/** Name of the platform object of a lease. */
std::string leaseObjectName(std::uint32_t lease);

} // namespace ibiswell
