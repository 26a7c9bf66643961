#include "ibiswell/decisions/split_chooser.h"

#include <doctest/doctest.h>

#include <cmath>

using namespace ibiswell;

namespace {

RoutePolicy makeRoute(double first, double second)
{
    RoutePolicy route;
    route.name = "route";
    route.split = {{"one", first}, {"two", second}};
    return route;
}

} // namespace

TEST_CASE("after each request a split is within one request of its proportions")
{
    SplitChooser chooser;
    RoutePolicy route = makeRoute(90, 10);
    int second = 0;
    for (int i = 1; i <= 500; ++i) {
        second += chooser.choose(route) == "two" ? 1 : 0;
        CHECK(std::abs(second - 0.1 * i) <= 1);
    }
}

TEST_CASE("changed weights apply from the next request on")
{
    SplitChooser chooser;
    for (int i = 0; i < 50; ++i)
        chooser.choose(makeRoute(50, 50));
    for (int i = 0; i < 20; ++i)
        CHECK(chooser.choose(makeRoute(100, 0)) == "one");
}
