// Load on a service that each request calls several times, simulated in virtual time.

#include "small_fleet.h"

#include "ibiswell/decisions/downstream_saturation.h"
#include "ibiswell/decisions/entry_throttle.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace ibiswell::testing;
using namespace std::chrono_literals;

namespace {

constexpr Duration work = 15ms; // of one call
constexpr int callsPerRequest = 4; // one after the other
constexpr Duration latencyObjective = 1200ms;
constexpr int nodesPerZone = 4;

std::vector<ServerSpec> fourServers()
{
    return {{"a"}, {"b"}, {"c"}, {"d"}};
}

/** Requests a second that the four servers can serve. */
double capacity()
{
    return 4 * 19 / inSeconds(work) / callsPerRequest;
}

struct OfferedLoad
{
    std::string route;
    PriorityClass priority;
    std::string team;
    double perSecond;
};

struct RouteCounts
{
    int sent = 0;
    int succeeded = 0;
    int refused = 0;
};

/** Requests that make their calls one after the other, and fail as soon as one is refused. */
class CallTreeLoad
{
public:
    CallTreeLoad(SmallFleet &fleet, bool isThrottled)
        : m_fleet(fleet)
        , m_isThrottled(isThrottled)
        , m_throttles(fleet.nodeCount())
    {
    }

    void offer(const OfferedLoad &offered, TimePoint end)
    {
        if (m_fleet.events().now() >= end)
            return;
        sendRequest(offered);
        Duration gap = fromSeconds((0.5 + uniform(m_fleet.random())) / offered.perSecond);
        m_fleet.events().after(gap, [this, offered, end] { offer(offered, end); });
    }

    std::map<std::string, RouteCounts> counts; ///< By route and team.

private:
    void sendRequest(const OfferedLoad &offered)
    {
        TimePoint now = m_fleet.events().now();
        std::size_t node = pickIndex(m_fleet.random(), m_fleet.nodeCount());
        RouteCounts &count = counts[offered.route + " " + offered.team];
        ++count.sent;
        EntryThrottle &throttle = m_throttles[node];
        throttle.onArrival(now, offered.route, offered.priority, offered.team, 1);
        double fraction = throttle.fraction(offered.route, offered.priority, offered.team);
        if (m_isThrottled && uniform(m_fleet.random()) >= fraction) {
            ++count.refused;
            return;
        }
        sendNextCall(node, offered, callsPerRequest, now + latencyObjective);
    }

    void sendNextCall(std::size_t node, const OfferedLoad &offered, int remainingCalls,
                      TimePoint objectiveAt)
    {
        if (remainingCalls == 0) {
            bool isInTime = m_fleet.events().now() <= objectiveAt;
            counts[offered.route + " " + offered.team].succeeded += isInTime ? 1 : 0;
            m_throttles[node].onEnd(m_fleet.events().now(), {offered.route, ""});
            return;
        }
        CallContext context;
        context.remainingTime = 700ms;
        context.depth = 1;
        context.unsheddable = true;
        Duration workTime = fromSeconds(inSeconds(work) * (0.5 + uniform(m_fleet.random())));
        m_fleet.call(node, workTime, context, [=, this](bool succeeded) {
            if (succeeded)
                sendNextCall(node, offered, remainingCalls - 1, objectiveAt);
            else
                m_throttles[node].onEnd(m_fleet.events().now(), {offered.route, "stock"});
        });
    }

    SmallFleet &m_fleet;
    bool m_isThrottled;
    std::vector<EntryThrottle> m_throttles;
};

int successesAtOverload(bool isThrottled)
{
    SmallFleet fleet(fourServers(), nodesPerZone);
    CallTreeLoad load(fleet, isThrottled);
    TimePoint end = fleet.events().now() + 10s;
    load.offer({"browse", PriorityClass::Normal, "", 2 * capacity()}, end);
    fleet.events().runUntil(end + 2s);
    return load.counts["browse "].succeeded;
}

} // namespace

TEST_CASE("at twice the capacity of a downstream service, most of it goes to requests that succeed")
{
    // Load: requests of four calls each, at twice the capacity of the service, for 10 s.
    // Without the throttle, most requests fail after some of their calls have used capacity.
    int without = successesAtOverload(false);
    int with = successesAtOverload(true);
    MESSAGE("successful requests without the throttle " << without << ", with it " << with);
    CHECK(with >= 0.7 * 10 * capacity());
    CHECK(with > without);
}

TEST_CASE("the higher priority class is admitted first, and no class is starved")
{
    // Load: critical requests for half of the capacity and normal ones for one and a half of it.
    SmallFleet fleet(fourServers(), nodesPerZone);
    CallTreeLoad load(fleet, true);
    TimePoint end = fleet.events().now() + 10s;
    load.offer({"order", PriorityClass::Critical, "", 0.5 * capacity()}, end);
    load.offer({"browse", PriorityClass::Normal, "", 1.5 * capacity()}, end);
    fleet.events().runUntil(end + 2s);
    RouteCounts order = load.counts["order "];
    RouteCounts browse = load.counts["browse "];
    CHECK(order.succeeded >= 0.8 * order.sent);
    CHECK(browse.succeeded >= 0.02 * browse.sent);
}

TEST_CASE("a team that sends far more than the others does not reduce their admission")
{
    // Load: four teams with a tenth of the capacity each and one with twice the whole capacity.
    SmallFleet fleet(fourServers(), nodesPerZone);
    CallTreeLoad load(fleet, true);
    TimePoint end = fleet.events().now() + 10s;
    for (const char *team : {"one", "two", "three", "four"})
        load.offer({"browse", PriorityClass::Normal, team, 0.1 * capacity()}, end);
    load.offer({"browse", PriorityClass::Normal, "large", 2 * capacity()}, end);
    fleet.events().runUntil(end + 2s);
    for (const char *team : {"one", "two", "three", "four"}) {
        RouteCounts counts = load.counts[std::string("browse ") + team];
        CHECK(counts.succeeded >= 0.8 * counts.sent);
    }
}

TEST_CASE("after an overload all requests are admitted again within three seconds")
{
    // Load: twice the capacity for 6 s, then half of it.
    SmallFleet fleet(fourServers(), nodesPerZone);
    CallTreeLoad load(fleet, true);
    TimePoint start = fleet.events().now();
    load.offer({"browse", PriorityClass::Normal, "", 2 * capacity()}, start + 6s);
    fleet.events().runUntil(start + 6s);
    load.offer({"browse", PriorityClass::Normal, "", 0.5 * capacity()}, start + 12s);
    fleet.events().runUntil(start + 9s);
    RouteCounts before = load.counts["browse "];
    fleet.events().runUntil(start + 13s);
    RouteCounts after = load.counts["browse "];
    CHECK(after.succeeded - before.succeeded >= 0.98 * (after.sent - before.sent));
}

TEST_CASE("a few failed requests among many successful ones cause hardly any refusals")
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

TEST_CASE("a route that no saturated service made fail is admitted in full")
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

TEST_CASE("failures of backend servers that are not due to saturation cause no refusals")
{
    // Load: within capacity; half of the requests fail since servers shed or lose their calls.
    for (ErrorKind kind : {ErrorKind::BackendShed, ErrorKind::DeadlineExceeded,
                           ErrorKind::ConnectionLost, ErrorKind::ResponseTruncated}) {
        EntryThrottle throttle;
        TimePoint now {1s};
        for (int i = 0; i < 300; ++i) {
            now += 10ms;
            throttle.onArrival(now, "browse", PriorityClass::Normal, "", 1);
            bool isSaturated = i % 2 == 0 && indicatesSaturation(kind);
            throttle.onEnd(now, {"browse", isSaturated ? "stock" : ""});
        }
        CHECK(throttle.fraction("browse", PriorityClass::Normal, "") == 1);
    }
    CHECK(indicatesSaturation(ErrorKind::QueueFull));
}
