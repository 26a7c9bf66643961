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
    std::uint64_t version = 0; ///< Assigned by the platform; 0 when the object does not exist.
    std::string holder; ///< Node name; empty when the lease was released.
    std::string nonce; ///< Identifies the write that created this version.
    Duration duration {};
};

/** Effect: read a lease from the platform. */
struct ReadLease
{
    std::uint32_t lease;
};

/** Effect: write a lease if its version is still ifVersion. */
struct WriteLease
{
    std::uint32_t lease;
    std::uint64_t ifVersion;
    LeaseRecord record;
};

using LeaseEffect = std::variant<ReadLease, WriteLease>;

/**
 * Acquires, renews and releases leases that are stored on the platform.
 *
 * Guarantee: two nodes never hold the same lease at the same time, provided that the rates of
 * their clocks differ by no more than maximumClockDrift. The clocks need not agree on the time. A
 * holder counts the duration from before it sent its write and checks its own clock at each use,
 * so a node that was paused does not use an expired lease. Another node takes a lease over only
 * after it has observed the same version for longer than the lease lasts. A write whose response
 * was lost is recognised by its nonce.
 */
class LeaseManager
{
public:
    static constexpr double maximumClockDrift = 0.05; ///< Relative difference of two clock rates.

    /**
     * @param node name of this node.
     * @param start identifies this start of the node, so that nonces are unique across restarts.
     * @param duration for which this node acquires a lease.
     */
    LeaseManager(std::string node, std::string start, Duration duration);

    /** Whether this node holds the lease at @p now. */
    bool holds(TimePoint now, std::uint32_t lease) const;
    /** Since when this node has held the lease without a gap; nothing if it does not hold it. */
    std::optional<TimePoint> heldSince(TimePoint now, std::uint32_t lease) const;
    /** The leases that this node holds at @p now. */
    std::vector<std::uint32_t> heldLeases(TimePoint now) const;

    /**
     * Returns the reads and renewals that are due.
     *
     * @param wanted leases that this node should acquire when they are free.
     */
    std::vector<LeaseEffect> tick(TimePoint now, const std::vector<std::uint32_t> &wanted);

    /** Handles the result of a ReadLease for the lease @p number. */
    std::vector<LeaseEffect> onRead(TimePoint now, std::uint32_t number, const LeaseRecord &record);
    /**
     * Handles the platform's confirmation of a write that was sent at @p sentAt. It is ignored for
     * a release and for any write but the latest.
     */
    void onWritten(TimePoint sentAt, std::uint32_t number, const LeaseRecord &record);
    /** Handles a write that met another version or whose response was lost: a read follows. */
    std::vector<LeaseEffect> onWriteFailed(std::uint32_t number);

    /**
     * Releases all leases: from now on this node holds none, and the returned writes mark them as
     * free. When a release conflicts with an earlier renewal, it is repeated after the read that
     * follows.
     */
    std::vector<LeaseEffect> releaseAll(TimePoint now);

private:
    struct Lease
    {
        LeaseRecord observed;
        /** Since when the observed version is known to be unchanged. */
        std::optional<TimePoint> observedSince;
        std::optional<TimePoint> validUntil; ///< By this node's clock, while it holds the lease.
        std::optional<TimePoint> acquiredAt; ///< Start of the time held without a gap.
        TimePoint nextReadAt;
        TimePoint nextRenewAt;
        std::string sentNonce; ///< Nonce of the last write, whose response may be lost.
        TimePoint sentAt; ///< When the last write was sent.
    };

    WriteLease makeWrite(TimePoint now, std::uint32_t number, Lease &lease);
    std::vector<LeaseEffect> makeRelease(TimePoint now, std::uint32_t number, Lease &lease);
    /** Records that this node holds the lease by a write that was sent at @p sentAt. */
    void recordHeld(TimePoint sentAt, Lease &lease, const LeaseRecord &record);
    bool isFree(TimePoint now, const Lease &lease) const;

    std::string m_node;
    std::string m_start;
    Duration m_duration;
    std::uint64_t m_nextNonce = 1;
    bool m_releasing = false;
    std::map<std::uint32_t, Lease> m_leases;
};

/** Returns the name of the platform object that stores a lease. */
std::string leaseObjectName(std::uint32_t lease);

} // namespace ibiswell
