#pragma once

#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"
#include "ibiswell/policy/policy.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace ibiswell {

/** The shares that mint a team's tokens; a team with a small burst uses fewer of them. */
std::vector<std::uint32_t> sharesOfTeam(const std::string &team, const TeamPolicy &policy,
                                        const FleetDefaults &defaults);

/**
 * One share of every team's rate, held under a lease. Only its holder mints its tokens.
 *
 * Guarantee for each team: the tokens in the bucket and in grants that may still be spent never
 * exceed the share's part of the burst, and over any interval the minted tokens never exceed the
 * share's part of rate times length. So what all nodes admit in any interval is at most
 * rate * length + burst. A grant that is lost is tokens lost, never tokens doubled.
 */
class RateShare
{
public:
    /** How long a grant may be spent, counted by the asker from when it sent its ask. */
    static constexpr Duration grantLifetime = std::chrono::milliseconds(300);

    /** @param from when this holder may begin to mint: all grants of a former one have lapsed. */
    explicit RateShare(TimePoint from);

    /** Takes up to @p wanted tokens out of the team's bucket. Whole tokens only. */
    GrantedTokens grant(TimePoint now, const std::string &team, const TeamPolicy &policy,
                        int shareCount, double wanted);

    std::size_t teamCount() const { return m_buckets.size(); }

private:
    struct Grant
    {
        TimePoint expiresAt;
        double tokens;
    };
    struct Bucket
    {
        double tokens = 0;
        double granted = 0; ///< Sum of the grants that have not lapsed.
        TimePoint mintedUntil;
        std::deque<Grant> grants;
    };

    void mint(TimePoint now, Bucket &bucket, double rate, double burst) const;

    TimePoint m_from;
    std::map<std::string, Bucket, std::less<>> m_buckets;
};

} // namespace ibiswell
