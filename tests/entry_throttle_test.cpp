// Replays of load on a service that each request calls several times, in virtual time.

#include "small_fleet.h"

#include "ibiswell/decisions/broken_calls.h"
#include "ibiswell/decisions/entry_throttle.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace ibiswell::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration work = 15ms; // of one call
constexpr int callsPerRequest = 4; // one after the other
constexpr Duration answerAim = 1200ms;
constexpr int nodesPerZone = 4;

std::vector<ServerSpec> fourServers()
{
    return {{"a"}, {"b"}, {"c"}, {"d"}};
}

/** Requests a second that the four servers bear. */
double capacity()
{
    return 4 * 19 / inSeconds(work) / callsPerRequest;
}

struct Offered
{
    std::string route;
    PriorityClass priority;
    std::string team;
    double perSecond;
};

struct RouteCounts
{
    int sent = 0;
    int whole = 0;
    int turnedAway = 0;
};

/** Requests that make their calls one after the other, and fail as soon as one is refused. */
class TreeLoad
{
public:
    TreeLoad(SmallFleet &fleet, bool throttled)
        : m_fleet(fleet)
        , m_throttled(throttled)
        , m_throttles(fleet.nodes())
    {
    }

    void offer(const Offered &offered, TimePoint end)
    {
        if (m_fleet.events().now() >= end)
            return;
        request(offered);
        Duration gap = fromSeconds((0.5 + uniform(m_fleet.random())) / offered.perSecond);
        m_fleet.events().after(gap, [this, offered, end] { offer(offered, end); });
    }

    std::map<std::string, RouteCounts> counts; ///< By route and team.

private:
    void request(const Offered &offered)
    {
        TimePoint now = m_fleet.events().now();
        std::size_t node = pickIndex(m_fleet.random(), m_fleet.nodes());
        RouteCounts &count = counts[offered.route + " " + offered.team];
        ++count.sent;
        EntryThrottle &throttle = m_throttles[node];
        throttle.onArrival(now, offered.route, offered.priority, offered.team, 1);
        double fraction = throttle.fraction(offered.route, offered.priority, offered.team);
        if (m_throttled && uniform(m_fleet.random()) >= fraction) {
            ++count.turnedAway;
            return;
        }
        next(node, offered, callsPerRequest, now + answerAim);
    }

    void next(std::size_t node, const Offered &offered, int callsLeft, TimePoint aim)
    {
        if (callsLeft == 0) {
            bool inTime = m_fleet.events().now() <= aim;
            counts[offered.route + " " + offered.team].whole += inTime ? 1 : 0;
            m_throttles[node].onEnd(m_fleet.events().now(), {offered.route, ""});
            return;
        }
        CallContext context;
        context.remainingTime = 700ms;
        context.depth = 1;
        context.unsheddable = true;
        Duration spread = fromSeconds(inSeconds(work) * (0.5 + uniform(m_fleet.random())));
        m_fleet.call(node, spread, context, [=, this](bool answered) {
            if (answered)
                next(node, offered, callsLeft - 1, aim);
            else
                m_throttles[node].onEnd(m_fleet.events().now(), {offered.route, "stock"});
        });
    }

    SmallFleet &m_fleet;
    bool m_throttled;
    std::vector<EntryThrottle> m_throttles;
};

int wholeAtOverload(bool throttled)
{
    SmallFleet fleet(fourServers(), nodesPerZone);
    TreeLoad load(fleet, throttled);
    TimePoint end = fleet.events().now() + 10s;
    load.offer({"browse", PriorityClass::Normal, "", 2 * capacity()}, end);
    fleet.events().runUntil(end + 2s);
    return load.counts["browse "].whole;
}

} // namespace

TEST_CASE("at twice the capacity of a service below, most of the capacity ends in whole answers")
{
    // Load: requests of four calls each, twice as many as the service below bears, for 10 s.
    int without = wholeAtOverload(false);
    int with = wholeAtOverload(true);
    MESSAGE("whole answers without the throttle " << without << ", with it " << with);
    CHECK(with >= 0.7 * 10 * capacity());
    CHECK(with > without);
}

TEST_CASE("the important class is let in before the others, and no class is shut out")
{
    // Load: an important half of the capacity beside one and a half of it that is less important.
    SmallFleet fleet(fourServers(), nodesPerZone);
    TreeLoad load(fleet, true);
    TimePoint end = fleet.events().now() + 10s;
    load.offer({"order", PriorityClass::Critical, "", 0.5 * capacity()}, end);
    load.offer({"browse", PriorityClass::Normal, "", 1.5 * capacity()}, end);
    fleet.events().runUntil(end + 2s);
    RouteCounts order = load.counts["order "];
    RouteCounts browse = load.counts["browse "];
    CHECK(order.whole >= 0.8 * order.sent);
    CHECK(browse.whole >= 0.02 * browse.sent);
}

TEST_CASE("a team that sends many times as much as the others takes nothing from them")
{
    // Load: four teams with a tenth of the capacity each and one with twice the whole.
    SmallFleet fleet(fourServers(), nodesPerZone);
    TreeLoad load(fleet, true);
    TimePoint end = fleet.events().now() + 10s;
    for (const char *team : {"one", "two", "three", "four"})
        load.offer({"browse", PriorityClass::Normal, team, 0.1 * capacity()}, end);
    load.offer({"browse", PriorityClass::Normal, "large", 2 * capacity()}, end);
    fleet.events().runUntil(end + 2s);
    for (const char *team : {"one", "two", "three", "four"}) {
        RouteCounts counts = load.counts[std::string("browse ") + team];
        CHECK(counts.whole >= 0.8 * counts.sent);
    }
}

TEST_CASE("after an overload all requests are let in again within three seconds")
{
    // Load: twice the capacity for 6 s, then half of it.
    SmallFleet fleet(fourServers(), nodesPerZone);
    TreeLoad load(fleet, true);
    TimePoint start = fleet.events().now();
    load.offer({"browse", PriorityClass::Normal, "", 2 * capacity()}, start + 6s);
    fleet.events().runUntil(start + 6s);
    load.offer({"browse", PriorityClass::Normal, "", 0.5 * capacity()}, start + 12s);
    fleet.events().runUntil(start + 9s);
    RouteCounts before = load.counts["browse "];
    fleet.events().runUntil(start + 13s);
    RouteCounts after = load.counts["browse "];
    CHECK(after.whole - before.whole >= 0.98 * (after.sent - before.sent));
}

TEST_CASE("a few broken requests among many whole ones turn nobody away")
{
    EntryThrottle throttle;
    TimePoint now {1s};
    for (int i = 0; i < 1000; ++i) {
        now += 10ms;
        throttle.onArrival(now, "browse", PriorityClass::Normal, "", 1);
        throttle.onEnd(now, {"browse", i % 50 == 0 ? "stock" : ""});
    }
    CHECK(throttle.fraction("browse", PriorityClass::Normal, "") > 0.9);
}

TEST_CASE("a route that no short service broke is let in whole")
{
    EntryThrottle throttle;
    TimePoint now {1s};
    for (int i = 0; i < 1000; ++i) {
        now += 10ms;
        throttle.onArrival(now, "browse", PriorityClass::Normal, "", 1);
        throttle.onArrival(now, "sheet", PriorityClass::Bulk, "", 1);
        throttle.onEnd(now, {"browse", "stock"});
        throttle.onEnd(now, {"sheet", ""});
    }
    CHECK(throttle.fraction("browse", PriorityClass::Normal, "") < 0.25);
    CHECK(throttle.fraction("sheet", PriorityClass::Bulk, "") == 1);
}

TEST_CASE("backend servers that fail by themselves at any load turn nobody away")
{
    // Load: as usual; half of the requests are broken by servers that shed or lose them.
    for (ErrorKind kind : {ErrorKind::BackendShed, ErrorKind::DeadlineExceeded,
                           ErrorKind::ConnectionLost, ErrorKind::ResponseTruncated}) {
        EntryThrottle throttle;
        TimePoint now {1s};
        for (int i = 0; i < 300; ++i) {
            now += 10ms;
            throttle.onArrival(now, "browse", PriorityClass::Normal, "", 1);
            bool isBroken = i % 2 == 0 && tellsShortage(kind);
            throttle.onEnd(now, {"browse", isBroken ? "stock" : ""});
        }
        CHECK(throttle.fraction("browse", PriorityClass::Normal, "") == 1);
    }
    CHECK(tellsShortage(ErrorKind::QueueFull));
}
