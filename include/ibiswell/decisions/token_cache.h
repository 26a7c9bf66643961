#pragma once

#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"
#include "ibiswell/policy/policy.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace ibiswell {

/** A token was spent: the request is within its team's rate. */
struct TokenSpent
{
};

/** There is no token yet; the grant for a token request will decide. */
struct TokenPending
{
};

/** The request is refused. */
struct TokenRefused
{
    ErrorKind kind;
};

using TokenDecision = std::variant<TokenSpent, TokenPending, TokenRefused>;

/** A token request to be sent to the holder of a share. */
struct SendTokenRequest
{
    std::uint32_t share;
    TokenRequest request;
};

/**
 * The tokens that one node holds for the teams whose requests enter there.
 *
 * Tokens are requested from the holders of the rate shares, a little ahead of the demand. They
 * expire by this node's clock, so that a node that was paused cannot spend an old grant.
 */
class TokenCache
{
public:
    /** The distance to the holder of a share (smaller is nearer); nothing if none is known. */
    using ShareDistance = std::function<std::optional<int>(std::uint32_t share)>;

    /** Spends a token for a new request of @p team, if there is one. */
    TokenDecision spend(TimePoint now, const std::string &team);
    /** Spends a token for a request whose decision was TokenPending, if there is one now. */
    TokenDecision spendPending(TimePoint now, const std::string &team);
    /** A request whose decision was TokenPending waits no longer. */
    void cancelPending(const std::string &team);

    /** Returns the token requests that are due for the demand so far. */
    std::vector<SendTokenRequest> takeRequests(TimePoint now, const Policy &policy,
                                               const ShareDistance &distance);

    /** Adds the tokens of a grant; a grant that is late, duplicate or unknown is dropped. */
    void onGrant(TimePoint now, const TokenGrant &grant);

    std::size_t teamCount() const { return m_teams.size(); }

private:
    struct TokenBatch
    {
        TimePoint expiresAt;
        double tokens;
    };
    struct RequestedShare
    {
        TimePoint timesOutAt;
        double tokens;
    };
    struct TeamState
    {
        std::deque<TokenBatch> batches;
        double demand = 0; ///< Requests per second, with exponential decay.
        TimePoint demandAt;
        double pendingCount = 0; ///< Requests whose decision is pending.
        /** Shares with a token request in flight. */
        std::map<std::uint32_t, RequestedShare> requested;
        std::map<std::uint32_t, TimePoint> emptyUntil; ///< Shares that had too few tokens.
        /** The fill level of each share's bucket at its last grant, from 0 to 1. */
        std::map<std::uint32_t, double> fillLevels;
        std::size_t shareCount = 1; ///< Shares of this team with a known holder, at least 1.
        TimePoint lastUsedAt;
        bool areHoldersUnknown = false;
    };
    struct ReachableShare
    {
        int distance;
        std::uint32_t share;
    };
    struct OpenRequest
    {
        TimePoint sentAt;
        std::map<std::string, double, std::less<>> wanted;
    };

    static void dropExpired(TimePoint now, TeamState &team);
    static double available(const TeamState &team);
    static TokenDecision decide(TimePoint now, TeamState &team);
    /** Orders shares for requests: the nearest first while it is well filled, else the fullest. */
    static void orderShares(const TeamState &team, std::vector<ReachableShare> &shares);
    static void recordDemand(TimePoint now, TeamState &team);
    void planRequests(TimePoint now, const std::string &name, TeamState &team, const Policy &policy,
                      const ShareDistance &distance,
                      std::map<std::uint32_t, TokenRequest> &requests);

    std::map<std::string, TeamState, std::less<>> m_teams;
    std::map<std::uint64_t, OpenRequest> m_openRequests; ///< By sequence.
    std::uint64_t m_nextSequence = 1;
};

} // namespace ibiswell
