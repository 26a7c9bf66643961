#pragma once

#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace ibiswell {

/** Returns the number of the range to which an idempotency key belongs. */
std::uint32_t keyRangeOf(std::string_view team, std::string_view key, int keyRanges);

/**
 * Records the outcome of each idempotency key in the ranges that this node owns.
 *
 * Guarantee: while one node owns the range, the request of a key is granted at most once, unless
 * it settled as "not run". A node that has owned the range for less than retentionTime may not
 * know keys that a former owner granted. Until then it grants unknown keys for first attempts only
 * and refuses other attempts with ErrorKind::OutcomeUnknown.
 */
class KeyRegistry
{
public:
    /** How long a key is kept after its claim. Callers must not reuse a key after that. */
    static constexpr Duration retentionTime = std::chrono::minutes(10);
    static constexpr std::size_t maximumKeys = 200'000;
    /** Bound on the bodies of all stored responses together. */
    static constexpr std::size_t maximumResponseBytes = 64u << 20;
    /** A response with a longer body is not stored. */
    static constexpr std::size_t maximumResponseBodyBytes = 16u << 10;

    /**
     * Grants the key to this claim, or returns the outcome of an earlier claim.
     *
     * @param ownedSince when this node began to own the range of the key.
     */
    KeyClaimResponse claim(TimePoint now, TimePoint ownedSince, const KeyClaim &claim);
    /** Records how the request that ran under a granted key ended. */
    void settle(TimePoint now, const KeySettlement &settlement);

    std::size_t size() const { return m_keys.size(); }

private:
    struct Entry
    {
        TimePoint claimedAt;
        bool settled = false;
        bool responseStored = false;
        HttpResponse response;
    };

    /** Joins team and key so that no two pairs give the same text. */
    static std::string compositeKey(const std::string &team, const std::string &key);
    void removeExpired(TimePoint now);
    KeyClaimResponse respondToKnownKey(TimePoint now, const Entry &entry) const;

    std::unordered_map<std::string, Entry> m_keys;
    /** Time and composite key of each granted claim, the oldest first. */
    std::deque<std::pair<TimePoint, std::string>> m_claimsByAge;
    std::size_t m_responseBytes = 0;
};

} // namespace ibiswell
