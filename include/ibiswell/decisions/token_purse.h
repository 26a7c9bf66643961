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

using TokenVerdict = std::variant<TokenSpent, TokenPending, TokenRefused>;

/** An ask to be sent to the holder of a share. */
struct SendTokenAsk
{
    std::uint32_t share;
    TokenRequest ask;
};

/**
 * The tokens that one node holds for the teams whose requests enter there.
 *
 * Tokens come from the holders of the rate's shares, a little ahead of the demand; each lapses
 * at its time by this node's clock, so that a paused node cannot spend an old grant.
 */
class TokenPurse
{
public:
    /** Whether a holder of the share is known now, and how near it is (smaller is nearer). */
    using ShareDistance = std::function<std::optional<int>(std::uint32_t share)>;

    /** Spends a token for a new request of @p team, if there is one. */
    TokenVerdict spend(TimePoint now, const std::string &team);
    /** The same for a request whose verdict was TokenPending. */
    TokenVerdict spendWaiting(TimePoint now, const std::string &team);
    /** A request whose verdict was TokenPending waits no longer. */
    void stopWaiting(const std::string &team);

    /** Asks that are due for the demand seen so far. */
    std::vector<SendTokenAsk> takeAsks(TimePoint now, const Policy &policy,
                                       const ShareDistance &distance);

    /** Takes a grant in; one that is late, doubled or unknown is dropped. */
    void onGrant(TimePoint now, const TokenGrant &grant);

    std::size_t teamCount() const { return m_teams.size(); }

private:
    struct Lot
    {
        TimePoint lapsesAt;
        double tokens;
    };
    struct AskedShare
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
        std::map<std::uint32_t, AskedShare> asked; ///< Asks under way.
        std::map<std::uint32_t, TimePoint> emptyUntil; ///< Shares that lately had no token.
        std::map<std::uint32_t, double> fill; ///< How full each share was when it last granted.
        std::size_t shareCount = 1; ///< Of this team.
        TimePoint usedAt;
        bool holdersUnknown = false;
    };
    struct ReachableShare
    {
        int distance;
        std::uint32_t share;
    };
    struct OpenAsk
    {
        TimePoint sentAt;
        std::map<std::string, double, std::less<>> wanted;
    };

    static void dropLapsed(TimePoint now, TeamState &team);
    static double available(const TeamState &team);
    static TokenVerdict judge(TimePoint now, TeamState &team);
    /** Orders the shares to ask: the nearest while it is well filled, else the fullest first. */
    static void orderShares(const TeamState &team, std::vector<ReachableShare> &shares);
    static void noteDemand(TimePoint now, TeamState &team);
    void planTeam(TimePoint now, const std::string &name, TeamState &team, const Policy &policy,
                  const ShareDistance &distance, std::map<std::uint32_t, TokenRequest> &asks);

    std::map<std::string, TeamState, std::less<>> m_teams;
    std::map<std::uint64_t, OpenAsk> m_open; ///< By sequence.
    std::uint64_t m_nextSequence = 1;
};

} // namespace ibiswell
