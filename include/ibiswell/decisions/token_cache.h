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

/** No token yet; an ask is under way, and its grant or refusal settles the request. */
struct TokenPending
{
};

/** The request is refused. */
struct TokenRefused
{
    ErrorKind kind;
};

using TokenDecision = std::variant<TokenSpent, TokenPending, TokenRefused>;

/** An ask to be sent to the holder of a share. */
struct SendTokenRequest
{
    std::uint32_t share;
    TokenAsk request;
};

/**
 * The tokens that one node holds for the teams whose requests enter there.
 *
 * Tokens come from the holders of the rate's shares, a little ahead of the demand; each lapses
 * at its time by this node's clock, so that a paused node cannot spend an old grant.
 */
class TokenCache
{
public:
    /** Whether a holder of the share is known now, and how near it is (smaller is nearer). */
    using ShareDistance = std::function<std::optional<int>(std::uint32_t share)>;

    /** Spends a token for a new request of @p team, if there is one. */
    TokenDecision spend(TimePoint now, const std::string &team);
    /** The same for a request whose verdict was TokenPending. */
    TokenDecision spendPending(TimePoint now, const std::string &team);
    /** A request whose verdict was TokenPending waits no longer. */
    void cancelPending(const std::string &team);

    /** Asks that are due for the demand seen so far. */
    std::vector<SendTokenRequest> takeRequests(TimePoint now, const Policy &policy,
                                               const ShareDistance &distance);

    /** Takes a grant in; one that is late, doubled or unknown is dropped. */
    void onGrant(TimePoint now, const TokenGrant &grant);

    std::size_t teamCount() const { return m_teams.size(); }

private:
    struct Lot
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
        std::deque<Lot> lots;
        double demand = 0; ///< Requests a second, decayed sum.
        TimePoint demandAt;
        double waiting = 0; ///< Requests whose verdict is pending.
        std::map<std::uint32_t, RequestedShare> asked; ///< Asks under way.
        std::map<std::uint32_t, TimePoint> emptyUntil; ///< Shares that lately had no token.
        std::map<std::uint32_t, double> fill; ///< How full each share was when it last granted.
        std::size_t shareCount = 1; ///< Of this team.
        TimePoint usedAt;
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
    static TokenDecision judge(TimePoint now, TeamState &team);
    /** Orders the shares to ask: the nearest while it is well filled, else the fullest first. */
    static void orderShares(const TeamState &team, std::vector<ReachableShare> &shares);
    static void noteDemand(TimePoint now, TeamState &team);
    void planRequests(TimePoint now, const std::string &name, TeamState &team, const Policy &policy,
                      const ShareDistance &distance, std::map<std::uint32_t, TokenAsk> &requests);

    std::map<std::string, TeamState, std::less<>> m_teams;
    std::map<std::uint64_t, OpenRequest> m_open; ///< By sequence.
    std::uint64_t m_nextSequence = 1;
};

} // namespace ibiswell
