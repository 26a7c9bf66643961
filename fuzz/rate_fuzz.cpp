// Stateful fuzz test of the fleet-wide rate. Three nodes have token caches; the holders of two rate
// shares fail and are replaced; messages are lost, duplicated and delayed; nodes pause. The oracle
// checks that admissions stay within the rate and burst in true time.

#include "support.h"

#include "ibiswell/decisions/rate_share.h"
#include "ibiswell/decisions/token_cache.h"

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodes = 3;
constexpr int shares = 2;
const std::string team = "team";

/** Asserts admitted <= rate * length + burst for each time interval that ends now. */
struct Oracle
{
    TeamPolicy teamPolicy;
    double level = 0;
    TimePoint last;

    void admit(TimePoint now)
    {
        level = std::max(0.0, level - teamPolicy.ratePerSecond * inSeconds(now - last)) + 1;
        last = now;
        RC_ASSERT(level <= teamPolicy.burst + 1e-6);
    }
};

struct System
{
    explicit System(const TeamPolicy &teamPolicy)
        : oracle {teamPolicy, 0, {}}
    {
        policy.defaults.rateShares = shares;
        policy.teams[team] = teamPolicy;
        for (int i = 0; i < shares; ++i)
            holders.emplace_back(now);
    }

    void requestTokens(std::size_t node)
    {
        auto sameZone = [](std::uint32_t) { return std::optional<int>(1); };
        for (SendTokenRequest &send : tokenCaches[node].takeRequests(now, policy, sameZone)) {
            GrantedTokens granted = holders[send.share].grant(now, team, oracle.teamPolicy, shares,
                                                              send.request.wanted[0].tokens);
            inFlight.push_back(
                {node, {send.request.sequence, send.share, {granted}, RateShare::grantLifetime}});
        }
    }

    TimePoint now {1s};
    Policy policy;
    std::array<TokenCache, nodes> tokenCaches;
    std::vector<RateShare> holders;
    std::vector<std::pair<std::size_t, TokenGrant>> inFlight;
    Oracle oracle;
};

struct Empty
{
};
using Command = rc::state::Command<Empty, System>;

struct Advance : Command
{
    int milliseconds = *rc::gen::weightedOneOf<int>({{6, rc::gen::inRange(0, 20)},
                                                     {3, rc::gen::inRange(50, 250)},
                                                     {1, rc::gen::inRange(300, 900)}});
    void run(const Empty &, System &system) const override
    {
        system.now += std::chrono::milliseconds(milliseconds);
    }
};

struct Arrive : Command
{
    std::size_t node = *rc::gen::inRange<std::size_t>(0, nodes);
    int count = *rc::gen::inRange(1, 30);
    void run(const Empty &, System &system) const override
    {
        for (int i = 0; i < count; ++i) {
            TokenDecision decision = system.tokenCaches[node].spend(system.now, team);
            if (std::holds_alternative<TokenSpent>(decision))
                system.oracle.admit(system.now);
        }
        system.requestTokens(node);
    }
};

struct ServeWaiting : Command
{
    void run(const Empty &, System &system) const override
    {
        for (TokenCache &tokenCache : system.tokenCaches) {
            for (int i = 0; i < 60; ++i) {
                TokenDecision decision = tokenCache.spendPending(system.now, team);
                if (!std::holds_alternative<TokenSpent>(decision))
                    break;
                system.oracle.admit(system.now);
            }
        }
    }
};

/** Delivers all messages, so that tokens accumulate at the nodes. */
struct DeliverAll : Command
{
    void run(const Empty &, System &system) const override
    {
        for (const auto &[node, grant] : system.inFlight)
            system.tokenCaches[node].onGrant(system.now, grant);
        system.inFlight.clear();
    }
};

struct Deliver : Command
{
    std::size_t pick = *rc::gen::inRange<std::size_t>(0, 64);
    int delivery = *rc::gen::inRange(0, 4); // 0: lost, 1: duplicated, otherwise delivered once
    void run(const Empty &, System &system) const override
    {
        if (system.inFlight.empty())
            return;
        std::size_t index = pick % system.inFlight.size();
        auto [node, grant] = system.inFlight[index];
        if (delivery != 1)
            system.inFlight.erase(system.inFlight.begin() + static_cast<std::ptrdiff_t>(index));
        if (delivery != 0)
            system.tokenCaches[node].onGrant(system.now, grant);
    }
};

/**
 * The holder of a share fails and another node acquires its lease. The lease expires later than
 * everything that the failed holder granted.
 */
struct ReplaceHolder : Command
{
    std::size_t share = *rc::gen::inRange<std::size_t>(0, shares);
    void run(const Empty &, System &system) const override
    {
        system.holders[share] = RateShare(system.now + 2 * RateShare::grantLifetime);
    }
};

} // namespace

TEST_CASE("no interval admits more than rate times length plus burst, whatever fails")
{
    // The first bucket fills in 0.4 s, the second needs longer than the replacement of a holder.
    for (const TeamPolicy &teamPolicy : {TeamPolicy {100, 40, 1}, TeamPolicy {20, 40, 1}}) {
        CHECK_PROPERTY([&] {
            System system(teamPolicy);
            rc::state::check(
                Empty {}, system,
                rc::state::gen::execOneOfWithArgs<Advance, Advance, Arrive, Arrive, ServeWaiting,
                                                  Deliver, DeliverAll, ReplaceHolder>());
        });
    }
}
