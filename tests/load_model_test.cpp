// Checks the required goodput, fairness and recovery in the load model. The model uses virtual
// time and fixed seeds, so each run has the same result.

#include "fleet_model.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace ibiswell;
using namespace ibiswell::model;
using namespace std::chrono_literals;

namespace {

Measurements runAt(const Deployment &deployment, double multiple)
{
    Scenario scenario;
    scenario.load = {{0s, 0.5}, {1s, multiple}};
    scenario.length = 13s;
    scenario.measureFrom = 4s;
    scenario.measureUntil = 10s;
    return FleetModel(deployment, scenario).run();
}

/** Requests that succeeded from 4 s to 10 s, the measured time of runAt(). */
double countSucceeded(const Measurements &measurements)
{
    auto begin = measurements.succeededByBucket.begin();
    return static_cast<double>(std::accumulate(begin + 40, begin + 100, std::uint64_t {0}));
}

} // namespace

TEST_CASE(
    "goodput at ten times capacity is at least 95% of that at capacity, teams get a fair share")
{
    for (const Deployment &deployment : {guild(), tidewater(), sevenDeep()}) {
        CAPTURE(deployment.name);
        Measurements high = runAt(deployment, 10);
        CHECK(countSucceeded(high) >= 0.95 * countSucceeded(runAt(deployment, 1)));
        CHECK(high.worstTeamShare() >= 0.9);
    }
}

TEST_CASE("fewer than 0.1% of important requests fail until they alone exceed capacity")
{
    for (const Deployment &deployment : {guild(), tidewater(), sevenDeep()}) {
        CAPTURE(deployment.name);
        Measurements measurements = runAt(deployment, 5);
        CHECK(static_cast<double>(measurements.importantSucceeded)
              >= 0.999 * static_cast<double>(measurements.importantSent));
    }
}

TEST_CASE("goodput is back at 95% within two seconds after an overload ends")
{
    for (const Deployment &deployment : {guild(), tidewater(), sevenDeep()}) {
        CAPTURE(deployment.name);
        Scenario scenario;
        scenario.load = {{0s, 0.7}, {5s, 10}, {15s, 0.7}};
        scenario.length = 20s;
        Measurements measurements = FleetModel(deployment, scenario).run();
        auto begin = measurements.succeededByBucket.begin();
        // Mean of the buckets of 100 ms from 2 s to 5 s, before the overload, and from 17 s to
        // 18 s, two seconds after its end.
        double before = static_cast<double>(std::accumulate(begin + 20, begin + 50, 0ull)) / 30;
        double after = static_cast<double>(std::accumulate(begin + 170, begin + 180, 0ull)) / 10;
        CHECK(after >= 0.95 * before);
    }
}

TEST_CASE(
    "a zone goes out of service and returns: none lost, under 1% refused, none run there after 2 s")
{
    for (const Deployment &deployment : {guild(), tidewater()}) {
        CAPTURE(deployment.name);
        Scenario scenario;
        scenario.load = {{0s, 0.6}};
        scenario.length = 24s;
        scenario.measureFrom = 4s;
        scenario.measureUntil = 20s;
        scenario.zoneOutAt = 6s;
        scenario.zoneInAt = 14s;
        scenario.clientRetries = 0;
        Measurements measurements = FleetModel(deployment, scenario).run();
        CHECK(measurements.lost == 0);
        CHECK(measurements.startsInZoneOut == 0);
        CHECK(static_cast<double>(measurements.refused)
              < 0.01 * static_cast<double>(measurements.sent));
    }
}

TEST_CASE("a sudden cold start is detected within a few requests and over within seconds")
{
    Scenario scenario;
    scenario.load = {{0s, 0.6}};
    scenario.length = 40s;
    scenario.measureFrom = 26s;
    scenario.measureUntil = 36s;
    scenario.coldAt = 8s;
    Measurements measurements = FleetModel(guild(), scenario).run();
    constexpr std::uint64_t startsPerTarget = 25;
    // The service that becomes cold has four targets.
    CHECK(measurements.startsOverColdLimit <= 4 * startsPerTarget);
    CHECK(static_cast<double>(measurements.succeeded)
          >= 0.95 * static_cast<double>(measurements.sent));
}
