#include "ibiswell/decisions/node_discovery.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace std::chrono_literals;

TEST_CASE("a part of a fleet looks for other nodes every few seconds, however small it is")
{
    CHECK((nodeDiscoveryInterval(1) == Duration {12s}));
    for (std::size_t members = 2; members <= 400; ++members) {
        Duration interval = nodeDiscoveryInterval(members);
        CHECK((interval >= nodeDiscoveryInterval(members - 1)));
        CHECK((interval <= Duration {30s}));
        CHECK((interval / static_cast<int>(members) <= Duration {6s}));
        CHECK((members < 9 || interval / static_cast<int>(members) <= Duration {1400ms}));
    }
}

TEST_CASE("the looks of a fleet in sight of itself grow more slowly than the fleet")
{
    auto looksPerSecond = [](std::size_t members) {
        return static_cast<double>(members) / inSeconds(nodeDiscoveryInterval(members));
    };
    CHECK(looksPerSecond(18) < 0.8);
    CHECK(looksPerSecond(63) < 2.2);
    CHECK(looksPerSecond(195) < 6.6);
}
