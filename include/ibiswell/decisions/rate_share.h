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

/** The shares that issue a team's tokens; a team with a small burst uses fewer of them. */
std::vector<std::uint32_t> sharesOfTeam(const std::string &team, const TeamPolicy &policy,
                                        const FleetDefaults &defaults);

/**
 * One share of every team's rate, held under a lease. Only the holder of the lease issues its
 * tokens, from a token bucket for each team.
 *
 * Guarantee for each team: the tokens in the bucket and in grants that may still be spent never
 * exceed the share's fraction of the burst, and the tokens added in any interval never exceed the
 * share's fraction of the rate times the length of the interval. So all nodes together admit at
 * most rate * length + burst in any interval. The tokens of a lost grant are lost, never issued
 * twice.
 */
class RateShare
{
public:
    /** How long a grant may be spent, counted by the requesting node from sending its request. */
    static constexpr Duration grantLifetime = std::chrono::milliseconds(300);

    /** @param startsAt when this holder may start: all grants of a former one have expired then. */
    explicit RateShare(TimePoint startsAt);

    /**
     * Takes up to @p wanted tokens, a whole number, out of the team's bucket.
     *
     * @param shareCount the number of shares among which the team's rate and burst are divided.
     */
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
        double outstanding = 0; ///< Tokens in grants that have not expired.
        TimePoint refilledAt;
        std::deque<Grant> grants;
    };

    void refill(TimePoint now, Bucket &bucket, double rate, double burst) const;

    TimePoint m_startsAt;
    std::map<std::string, Bucket, std::less<>> m_buckets;
};

} // namespace ibiswell
