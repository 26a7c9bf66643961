#include "ibiswell/decisions/router.h"

#include <doctest/doctest.h>

#include <map>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

Member memberOf(const std::string &node, const std::string &zone, std::uint64_t incarnation = 1)
{
    Member member;
    member.node = node;
    member.service = "stock";
    member.zone = zone;
    member.endpoint = {"127.0.0.1", 1};
    member.incarnation = incarnation;
    return member;
}

std::map<std::string, int> chooseMany(Router &router, TimePoint now, const RouteQuery &query)
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

TEST_CASE("a zone out of service gets no call, and its return brings it back")
{
    Router router("a", 1ms);
    router.onMember(memberOf("one", "a"));
    router.onMember(memberOf("two", "b"));
    bool out = true;
    RouteQuery query {"stock", [&](std::string_view zone) { return out && zone == "a"; }, nullptr};
    CHECK(chooseMany(router, TimePoint {}, query)["one"] == 0);
    out = false;
    CHECK(chooseMany(router, TimePoint {}, query)["one"] > 0);
}

TEST_CASE("a leaving target gets no call")
{
    Router router("a", 1ms);
    router.onMember(memberOf("one", "a"));
    router.onMember(memberOf("two", "a"));
    Member leaving = memberOf("one", "a", 2);
    leaving.state = MemberState::Leaving;
    router.onMember(leaving);
    auto counts = chooseMany(router, TimePoint {}, {"stock", nullptr, nullptr});
    CHECK(counts["one"] == 0);
    CHECK(counts["two"] == 300);
}

TEST_CASE("a loaded target loses calls to an idle one in another zone")
{
    Router router("a", 1ms);
    router.onMember(memberOf("near", "a"));
    router.onMember(memberOf("far", "b"));
    RouteQuery query {"stock", nullptr, nullptr};
    router.onResponse(TimePoint {}, "near", {1, 0, 0, 10, 20ms}, false);
    router.onResponse(TimePoint {}, "far", {1, 0, 0, 10, 20ms}, false);
    CHECK(chooseMany(router, TimePoint {}, query)["near"] > 200);
    router.onResponse(TimePoint {}, "near", {1, 10, 5, 10, 20ms}, false);
    CHECK(chooseMany(router, TimePoint {}, query)["far"] > 200);
}

TEST_CASE("one silent connection is no reason to avoid a target; two in a row are, for a while")
{
    Router router("a", 1ms);
    router.onMember(memberOf("one", "a"));
    router.onMember(memberOf("two", "a"));
    RouteQuery query {"stock", nullptr, nullptr};
    router.onNoResponse(TimePoint {}, "one");
    CHECK(chooseMany(router, TimePoint {}, query)["one"] > 0);
    router.onNoResponse(TimePoint {}, "one");
    CHECK(chooseMany(router, TimePoint {}, query)["one"] == 0);
    CHECK(chooseMany(router, TimePoint {1s}, query)["one"] > 0);
}

TEST_CASE("a target that fails fast does not draw the calls to itself")
{
    Router router("a", 1ms);
    router.onMember(memberOf("failing", "a"));
    router.onMember(memberOf("sound", "a"));
    for (int i = 0; i < 20; ++i) {
        router.onResponse(TimePoint {}, "failing", {1, 0, 0, 10, 1ms}, true);
        router.onResponse(TimePoint {}, "sound", {1, 2, 0, 10, 5ms}, false);
    }
    auto counts = chooseMany(router, TimePoint {}, {"stock", nullptr, nullptr});
    CHECK(counts["sound"] > 200);
}

TEST_CASE("when no target is known the reason is told")
{
    Router router("a", 1ms);
    Random random(1);
    CHECK_FALSE(router.choose(TimePoint {}, {"stock", nullptr, nullptr}, random));
    REQUIRE(router.lastError());
    CHECK(router.lastError()->detail == "no target of service \"stock\" is known");
}

TEST_CASE("a zone's demand stays in the zone while its targets have room, and leaves it when not")
{
    // Load: usual at first, then the target of the own zone is full.
    Router router("a", 1500us);
    std::vector<std::string> zones {"a", "b", "c", "d"};
    LoadReport usual {1, 10, 0, 100, 20ms};
    for (const std::string &zone : zones) {
        router.onMember(memberOf("target-" + zone, zone));
        router.onResponse(TimePoint {1s}, "target-" + zone, usual, false);
    }
    RouteQuery query {"stock", {}, nullptr};
    auto counts = chooseMany(router, TimePoint {1s}, query);
    CHECK(counts["target-a"] == 300);
    LoadReport full {1, 100, 60, 100, 20ms};
    router.onResponse(TimePoint {1s}, "target-a", full, false);
    counts = chooseMany(router, TimePoint {1s}, query);
    // Draws are random, so that nodes with the same news do not all run to the same target.
    CHECK(counts["target-a"] <= 300 / 20);
}

TEST_CASE("a node lives on without its target: no call goes there, and the target's return does")
{
    Router router("a", 1ms);
    Member member = memberOf("one", "a");
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
