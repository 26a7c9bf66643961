// Replays of load on the choice of targets, in virtual time.

#include "small_fleet.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace ibiswell::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration work = 15ms;
constexpr int nodesPerZone = 4;

/** One backend server in each of four zones, as unlike as a fleet's usually are. */
std::vector<ServerSpec> unlikeServers()
{
    return {{"a", 19, 0.5}, {"b", 19, 1.0}, {"c", 19, 1.0}, {"d", 19, 1.5}};
}

/** Calls a second that servers bear together. */
double capacityOf(const std::vector<ServerSpec> &servers)
{
    double capacity = 0;
    for (const ServerSpec &server : servers)
        capacity += server.slots * server.speed / inSeconds(work);
    return capacity;
}

double refusedShare(const FleetCounts &counts)
{
    return static_cast<double>(counts.refused) / counts.sent;
}

} // namespace

TEST_CASE("at 95% of the capacity of unlike servers, hardly a call is refused")
{
    // Load: even, from all zones alike; a third of the servers' speeds apart.
    SmallFleet fleet(unlikeServers(), nodesPerZone);
    TimePoint end = fleet.events().now() + 10s;
    fleet.offer(0.95 * capacityOf(unlikeServers()), work, end);
    fleet.events().runUntil(end + 1s);
    CHECK(refusedShare(fleet.counts) < 0.01);
    for (const auto &[name, answered] : fleet.counts.answeredBy)
        CHECK(answered > 0);
}

TEST_CASE("a server that turns slow loses its load to the others while they have room")
{
    // Load: 55% of the whole; at 3 s one server works four times as long, at 8 s as before.
    SmallFleet fleet(unlikeServers(), nodesPerZone);
    TimePoint start = fleet.events().now();
    fleet.offer(0.55 * capacityOf(unlikeServers()), work, start + 12s);
    fleet.events().at(start + 3s, [&] { fleet.setSpeed("target-1", 0.25); });
    fleet.events().at(start + 8s, [&] { fleet.setSpeed("target-1", 1); });
    fleet.events().runUntil(start + 13s);
    CHECK(refusedShare(fleet.counts) < 0.01);
}

TEST_CASE("of a service whose servers are cold but one, the warm one serves what it can")
{
    // Load: half of what the warm server bears; the cold ones bear a trickle.
    std::vector<ServerSpec> servers {{"a", 19, 1, 30}, {"b", 19, 1, 30}, {"c", 19, 1, 30}, {"d"}};
    SmallFleet fleet(servers, nodesPerZone);
    TimePoint end = fleet.events().now() + 10s;
    fleet.offer(0.5 * 19 / inSeconds(work), work, end);
    fleet.events().runUntil(end + 1s);
    CHECK(refusedShare(fleet.counts) < 0.02);
}

TEST_CASE("a server that has warmed up gets its part of the load back within four seconds")
{
    // Load: a third of the whole; one server is cold for the first three seconds.
    std::vector<ServerSpec> servers {{"a", 19, 1, 30}, {"b"}, {"c"}, {"d"}};
    double load = 0.33 * capacityOf(servers);
    SmallFleet fleet(servers, nodesPerZone);
    TimePoint start = fleet.events().now();
    fleet.offer(load, work, start + 9s);
    fleet.events().at(start + 3s, [&] { fleet.setColdStartRate("target-0", 0); });
    fleet.events().runUntil(start + 7s);
    int before = fleet.counts.answeredBy["target-0"];
    fleet.events().runUntil(start + 9s);
    double part = (fleet.counts.answeredBy["target-0"] - before) / (2 * load);
    CHECK(part > 0.1);
}
