// The choice of targets under load, simulated in virtual time.

#include "small_fleet.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace ibiswell::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration work = 15ms;
constexpr int nodesPerZone = 4;

/** One backend server in each of four zones, with speeds that differ as in a typical fleet. */
std::vector<ServerSpec> mixedSpeedServers()
{
    return {{"a", 19, 0.5}, {"b", 19, 1.0}, {"c", 19, 1.0}, {"d", 19, 1.5}};
}

/** Calls a second that the servers together can serve. */
double capacityOf(const std::vector<ServerSpec> &servers)
{
    double capacity = 0;
    for (const ServerSpec &server : servers)
        capacity += server.slots * server.speed / inSeconds(work);
    return capacity;
}

double refusedFraction(const FleetCounts &counts)
{
    return static_cast<double>(counts.refused) / counts.sent;
}

} // namespace

TEST_CASE("at 95% of the capacity of servers of different speeds, hardly any call is refused")
{
    // Load: constant, the same from each zone; the speeds of the servers are 0.5, 1, 1 and 1.5.
    SmallFleet fleet(mixedSpeedServers(), nodesPerZone);
    TimePoint end = fleet.events().now() + 10s;
    fleet.offer(0.95 * capacityOf(mixedSpeedServers()), work, end);
    fleet.events().runUntil(end + 1s);
    CHECK(refusedFraction(fleet.counts) < 0.01);
    for (const auto &[name, succeeded] : fleet.counts.succeededBy)
        CHECK(succeeded > 0);
}

TEST_CASE("a server that turns slow loses its load to the others while they have capacity")
{
    // Load: 55% of the capacity; from 3 s to 8 s one server takes four times as long.
    SmallFleet fleet(mixedSpeedServers(), nodesPerZone);
    TimePoint start = fleet.events().now();
    fleet.offer(0.55 * capacityOf(mixedSpeedServers()), work, start + 12s);
    fleet.events().at(start + 3s, [&] { fleet.setSpeed("target-1", 0.25); });
    fleet.events().at(start + 8s, [&] { fleet.setSpeed("target-1", 1); });
    fleet.events().runUntil(start + 13s);
    CHECK(refusedFraction(fleet.counts) < 0.01);
}

TEST_CASE("when all servers but one are cold, the warm one serves what the cold ones cannot")
{
    // Load: half of the warm server's capacity; the cold ones start 30 calls a second each.
    std::vector<ServerSpec> servers {{"a", 19, 1, 30}, {"b", 19, 1, 30}, {"c", 19, 1, 30}, {"d"}};
    SmallFleet fleet(servers, nodesPerZone);
    TimePoint end = fleet.events().now() + 10s;
    fleet.offer(0.5 * 19 / inSeconds(work), work, end);
    fleet.events().runUntil(end + 1s);
    CHECK(refusedFraction(fleet.counts) < 0.02);
}

TEST_CASE("a server that has warmed up gets its part of the load back within four seconds")
{
    // Load: a third of the capacity; one server is cold for the first three seconds.
    std::vector<ServerSpec> servers {{"a", 19, 1, 30}, {"b"}, {"c"}, {"d"}};
    double load = 0.33 * capacityOf(servers);
    SmallFleet fleet(servers, nodesPerZone);
    TimePoint start = fleet.events().now();
    fleet.offer(load, work, start + 9s);
    fleet.events().at(start + 3s, [&] { fleet.setColdStartRate("target-0", 0); });
    fleet.events().runUntil(start + 7s);
    int before = fleet.counts.succeededBy["target-0"];
    fleet.events().runUntil(start + 9s);
    double fraction = (fleet.counts.succeededBy["target-0"] - before) / (2 * load);
    CHECK(fraction > 0.1);
}
