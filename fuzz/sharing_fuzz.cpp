// Fuzz tests of the decisions that allocate scarce capacity: max-min fairness, the pacing of calls
// to cold servers, and the entry throttle. Each oracle is a bound that holds for any load.

#include "support.h"

#include "ibiswell/core/random.h"
#include "ibiswell/decisions/cold_start_pacer.h"
#include "ibiswell/decisions/entry_throttle.h"
#include "ibiswell/decisions/max_min_fairness.h"

#include <algorithm>
#include <deque>
#include <numeric>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr double tolerance = 1e-6;

std::vector<CapacityClaim> generateClaims()
{
    std::vector<CapacityClaim> claims(static_cast<std::size_t>(*rc::gen::inRange(1, 12)));
    for (CapacityClaim &claim : claims) {
        claim.wanted = *rc::gen::inRange(0, 1000) / 10.0;
        claim.weight = *rc::gen::inRange(1, 50) / 10.0;
    }
    return claims;
}

} // namespace

TEST_CASE("max-min fairness allocates at most the capacity, and no claim gets more for its weight "
          "than an unsatisfied claim")
{
    CHECK_PROPERTY("max-min fairness", [] {
        std::vector<CapacityClaim> claims = generateClaims();
        double capacity = *rc::gen::inRange(0, 3000) / 10.0;
        std::vector<double> given = allocateMaxMinFair(claims, capacity);
        RC_ASSERT(std::accumulate(given.begin(), given.end(), 0.0) <= capacity + tolerance);
        for (std::size_t i = 0; i < claims.size(); ++i) {
            RC_ASSERT(given[i] >= 0);
            RC_ASSERT(given[i] <= claims[i].wanted + tolerance);
            bool isUnsatisfied = given[i] < claims[i].wanted - tolerance;
            for (std::size_t j = 0; isUnsatisfied && j < claims.size(); ++j)
                RC_ASSERT(given[j] / claims[j].weight <= given[i] / claims[i].weight + tolerance);
        }
    });
}

TEST_CASE(
    "within any second, no more calls start at a cold server than its rate, whatever came before")
{
    CHECK_PROPERTY("sliding second", [] {
        Random random(*rc::gen::arbitrary<std::uint32_t>());
        int rate = *rc::gen::inRange(1, 100);
        ColdStartPacer pacer;
        TimePoint now {10s};
        std::deque<TimePoint> lastSecond;
        bool cold = false;

        for (int i = 0; i < 400; ++i) {
            now += std::chrono::microseconds(random() % 30'000);
            if (random() % 60 == 0) {
                cold = !cold;
                pacer.setRate(cold ? rate : 0);
            }
            if (!pacer.mayStart(now))
                continue;
            pacer.onStart(now);
            lastSecond.push_back(now);
            while (now - lastSecond.front() >= 1s)
                lastSecond.pop_front();
            if (cold)
                RC_ASSERT(static_cast<int>(lastSecond.size()) <= rate);
        }
    });
}

TEST_CASE(
    "the throttle admits a fraction between its minimum and 1, and 1 again once no request fails")
{
    CHECK_PROPERTY("bounds and return", [] {
        Random random(*rc::gen::arbitrary<std::uint32_t>());
        int failedPercent = *rc::gen::inRange(0, 101);
        EntryThrottle throttle;
        TimePoint now {1s};
        auto fraction = [&] { return throttle.fraction("route", PriorityClass::Normal, "team"); };
        auto request = [&](bool failed) {
            now += 10ms;
            throttle.onArrival(now, "route", PriorityClass::Normal, "team", 1);
            throttle.onEnd(now, {"route", failed ? "service" : ""});
        };
        for (int i = 0; i < 300; ++i) {
            request(static_cast<int>(random() % 100) < failedPercent);
            RC_ASSERT(fraction() > 0.1);
            RC_ASSERT(fraction() <= 1 + tolerance);
        }
        for (int i = 0; i < 300; ++i)
            request(false);
        RC_ASSERT(fraction() > 0.99);
    });
}
