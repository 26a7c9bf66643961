#include "ibiswell/decisions/rate_share.h"
#include "ibiswell/decisions/token_cache.h"
#include "rate_model.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace ibiswell::model;
using namespace std::chrono_literals;

TEST_CASE("a new holder starts with an empty bucket, and not before its start time")
{
    RateShare share(TimePoint {10s});
    TeamPolicy team {100, 50, 1};
    CHECK(share.grant(TimePoint {9s}, "t", team, 1, 10).tokens == 0);
    CHECK(share.grant(TimePoint {10s}, "t", team, 1, 10).tokens == 0);
    CHECK(share.grant(TimePoint {10s + 100ms}, "t", team, 1, 50).tokens == 10);
}

TEST_CASE("tokens in grants count against the burst until the grants expire")
{
    RateShare share(TimePoint {});
    TeamPolicy team {1000, 50, 1};
    CHECK(share.grant(TimePoint {1s}, "t", team, 1, 100).tokens == 50);
    CHECK(share.grant(TimePoint {1s + 200ms}, "t", team, 1, 100).tokens == 0);
    CHECK(share.grant(TimePoint {2s}, "t", team, 1, 100).tokens == 50);
}

TEST_CASE("an old grant cannot be spent after a pause")
{
    TokenCache cache;
    Policy policy;
    policy.defaults.rateShares = 1;
    auto near = [](std::uint32_t) { return std::optional<int>(0); };
    CHECK(std::holds_alternative<TokenPending>(cache.spend(TimePoint {1s}, "t")));
    auto requests = cache.takeRequests(TimePoint {1s}, policy, near);
    REQUIRE(requests.size() == 1);
    TokenGrant grant {requests[0].request.sequence, 0, {{"t", 1, 1}}, RateShare::grantLifetime};
    cache.onGrant(TimePoint {1s + 1ms}, grant);
    CHECK_FALSE(std::holds_alternative<TokenSpent>(cache.spendPending(TimePoint {5s}, "t")));
}

TEST_CASE("a duplicate grant is dropped")
{
    TokenCache cache;
    Policy policy;
    policy.defaults.rateShares = 1;
    auto near = [](std::uint32_t) { return std::optional<int>(0); };
    cache.spend(TimePoint {1s}, "t");
    auto requests = cache.takeRequests(TimePoint {1s}, policy, near);
    TokenGrant grant {requests.at(0).request.sequence, 0, {{"t", 1, 1}}, RateShare::grantLifetime};
    cache.onGrant(TimePoint {1s}, grant);
    cache.onGrant(TimePoint {1s}, grant);
    CHECK(std::holds_alternative<TokenSpent>(cache.spendPending(TimePoint {1s}, "t")));
    CHECK_FALSE(std::holds_alternative<TokenSpent>(cache.spend(TimePoint {1s}, "t")));
}

TEST_CASE("a team whose holders were unknown is served as soon as one is known")
{
    // Found by running the example: requests were refused before the holders were looked up again.
    TokenCache cache;
    Policy policy;
    policy.defaults.rateShares = 1;
    auto unknown = [](std::uint32_t) { return std::optional<int>(); };
    auto near = [](std::uint32_t) { return std::optional<int>(0); };
    cache.spend(TimePoint {1s}, "t");
    CHECK(cache.takeRequests(TimePoint {1s}, policy, unknown).empty());
    cache.cancelPending("t");
    TokenDecision decision = cache.spend(TimePoint {1s}, "t");
    REQUIRE(std::holds_alternative<TokenRefused>(decision));
    CHECK(bool(std::get<TokenRefused>(decision).kind == ErrorKind::RateUnconfirmed));
    cache.takeRequests(TimePoint {2s}, policy, near);
    CHECK(std::holds_alternative<TokenPending>(cache.spend(TimePoint {2s}, "t")));
    CHECK(cache.takeRequests(TimePoint {2s}, policy, near).size() == 1);
}

TEST_CASE("the rate is kept across all nodes, and few requests within it are refused")
{
    for (bool singleEntryNode : {false, true}) {
        for (double load : {0.9, 3.0}) {
            for (double messageLoss : {0.0, 0.05}) {
                RateScenario scenario;
                scenario.singleEntryNode = singleEntryNode;
                scenario.load = load;
                scenario.messageLoss = messageLoss;
                scenario.length = 30s;
                RateMeasurements measurements = runRateModel(scenario);
                CHECK(measurements.largestExcess <= scenario.burst);
                double wronglyRefusedFraction = static_cast<double>(measurements.wronglyRefused)
                    / static_cast<double>(measurements.sent);
                if (load < 1 && messageLoss == 0)
                    CHECK(wronglyRefusedFraction <= (singleEntryNode ? 0.01 : 0.001));
                if (load > 1 && messageLoss == 0)
                    CHECK(static_cast<double>(measurements.admitted)
                          >= 0.95 * static_cast<double>(measurements.centrallyAdmitted));
            }
        }
    }
}
