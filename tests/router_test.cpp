#include "ibiswell/decisions/router.h"

#include <doctest/doctest.h>

#include <map>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

Member makeMember(const std::string &node, const std::string &zone, std::uint64_t incarnation = 1)
{
    Member member;
    member.node = node;
    member.service = "stock";
    member.zone = zone;
    member.endpoint = {"127.0.0.1", 1};
    member.incarnation = incarnation;
    return member;
}

std::map<std::string, int> countChoices(Router &router, TimePoint now, const RouteQuery &query)
{
    Random random(7);
    std::map<std::string, int> counts;
    for (int i = 0; i < 300; ++i) {
        if (auto choice = router.choose(now, query, random))
            ++counts[choice->node];
    }
    return counts;
}

} // namespace

TEST_CASE("a zone out of service gets no calls until it returns")
{
    Router router("a", 1ms);
    router.onMember(makeMember("one", "a"));
    router.onMember(makeMember("two", "b"));
    bool isOut = true;
    RouteQuery query {"stock", [&](std::string_view zone) { return isOut && zone == "a"; },
                      nullptr};
    CHECK(countChoices(router, TimePoint {}, query)["one"] == 0);
    isOut = false;
    CHECK(countChoices(router, TimePoint {}, query)["one"] > 0);
}

TEST_CASE("a leaving target gets no calls")
{
    Router router("a", 1ms);
    router.onMember(makeMember("one", "a"));
    router.onMember(makeMember("two", "a"));
    Member leaving = makeMember("one", "a", 2);
    leaving.state = MemberState::Leaving;
    router.onMember(leaving);
    auto counts = countChoices(router, TimePoint {}, {"stock", nullptr, nullptr});
    CHECK(counts["one"] == 0);
    CHECK(counts["two"] == 300);
}

TEST_CASE("a loaded target loses calls to an idle one in another zone")
{
    Router router("a", 1ms);
    router.onMember(makeMember("near", "a"));
    router.onMember(makeMember("far", "b"));
    RouteQuery query {"stock", nullptr, nullptr};
    router.onResponse(TimePoint {}, "near", {1, 0, 0, 10, 20ms}, false);
    router.onResponse(TimePoint {}, "far", {1, 0, 0, 10, 20ms}, false);
    CHECK(countChoices(router, TimePoint {}, query)["near"] > 200);
    router.onResponse(TimePoint {}, "near", {1, 10, 5, 10, 20ms}, false);
    CHECK(countChoices(router, TimePoint {}, query)["far"] > 200);
}

TEST_CASE("a target is avoided for a while after two missing responses in a row, not after one")
{
    Router router("a", 1ms);
    router.onMember(makeMember("one", "a"));
    router.onMember(makeMember("two", "a"));
    RouteQuery query {"stock", nullptr, nullptr};
    router.onNoResponse(TimePoint {}, "one");
    CHECK(countChoices(router, TimePoint {}, query)["one"] > 0);
    router.onNoResponse(TimePoint {}, "one");
    CHECK(countChoices(router, TimePoint {}, query)["one"] == 0);
    CHECK(countChoices(router, TimePoint {1s}, query)["one"] > 0);
}

TEST_CASE("a target that fails fast does not attract the calls")
{
    // Its load and response time are the lowest, so without a cost of failures it would be chosen.
    Router router("a", 1ms);
    router.onMember(makeMember("failing", "a"));
    router.onMember(makeMember("sound", "a"));
    for (int i = 0; i < 20; ++i) {
        router.onResponse(TimePoint {}, "failing", {1, 0, 0, 10, 1ms}, true);
        router.onResponse(TimePoint {}, "sound", {1, 2, 0, 10, 5ms}, false);
    }
    auto counts = countChoices(router, TimePoint {}, {"stock", nullptr, nullptr});
    CHECK(counts["sound"] > 200);
}

TEST_CASE("lastError() states the reason when no target is known")
{
    Router router("a", 1ms);
    Random random(1);
    CHECK_FALSE(router.choose(TimePoint {}, {"stock", nullptr, nullptr}, random));
    REQUIRE(router.lastError());
    CHECK(router.lastError()->detail == "no target of service \"stock\" is known");
}

TEST_CASE(
    "a zone's demand stays in the zone while its targets have capacity, and leaves it otherwise")
{
    // Load: moderate at first, then the target of the own zone is full.
    Router router("a", 1500us);
    std::vector<std::string> zones {"a", "b", "c", "d"};
    LoadReport moderateLoad {1, 10, 0, 100, 20ms};
    for (const std::string &zone : zones) {
        router.onMember(makeMember("target-" + zone, zone));
        router.onResponse(TimePoint {1s}, "target-" + zone, moderateLoad, false);
    }
    RouteQuery query {"stock", {}, nullptr};
    auto counts = countChoices(router, TimePoint {1s}, query);
    CHECK(counts["target-a"] == 300);
    LoadReport fullLoad {1, 100, 60, 100, 20ms};
    router.onResponse(TimePoint {1s}, "target-a", fullLoad, false);
    counts = countChoices(router, TimePoint {1s}, query);
    // Draws are random, so that nodes with the same reports do not all choose the same target.
    CHECK(counts["target-a"] <= 300 / 20);
}

TEST_CASE("a node whose target takes no work gets no calls until the target returns")
{
    Router router("a", 1ms);
    Member member = makeMember("one", "a");
    router.onMember(member);
    member.takesWork = false;
    ++member.incarnation;
    router.onMember(member);
    RouteQuery query {"stock", {}, nullptr};
    Random random(1);
    CHECK_FALSE(router.choose(TimePoint {1s}, query, random));
    member.takesWork = true;
    ++member.incarnation;
    router.onMember(member);
    CHECK(router.choose(TimePoint {1s}, query, random));
}
