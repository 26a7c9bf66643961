#include "ibiswell/decisions/node_load_limit.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr int slots = 437;
constexpr Duration sampleInterval = 50ms;

/** A node whose processor carries some calls without delay; each further call adds some. */
struct FakeProcessor
{
    int carriedCalls;
    Duration delayPerFurtherCall = 500us;

    Duration delay(int inFlight) const
    {
        return 1ms + std::max(0, inFlight - carriedCalls) * delayPerFurtherCall;
    }
};

/** Runs calls for @p time at the limit, or at @p demand if lower; returns those in flight. */
int run(NodeLoadLimit &limit, TimePoint &now, const FakeProcessor &processor, int demand,
        Duration time)
{
    int inFlight = std::min(demand, limit.limit().value_or(slots));
    for (TimePoint end = now + time; now < end; now += sampleInterval) {
        limit.onEventDelay(now, processor.delay(inFlight), inFlight, slots);
        inFlight = std::min(demand, limit.limit().value_or(slots));
    }
    return inFlight;
}

} // namespace

TEST_CASE("a node without processor time lowers its target's limit to what it carries in a second")
{
    NodeLoadLimit limit;
    TimePoint now {1s};
    FakeProcessor processor {90};
    int inFlight = run(limit, now, processor, 1000, 1s);
    CHECK(inFlight >= 80);
    CHECK(inFlight <= 130);
    inFlight = run(limit, now, processor, 1000, 10s);
    CHECK(inFlight >= 80);
    CHECK(inFlight <= 130);
}

TEST_CASE("the limit is lifted once the processor carries all slots, also after a light load")
{
    NodeLoadLimit limit;
    TimePoint now {1s};
    run(limit, now, FakeProcessor {90}, 1000, 2s);
    REQUIRE(limit.limit());
    run(limit, now, FakeProcessor {1000}, 20, 2s);
    CHECK(run(limit, now, FakeProcessor {1000}, 1000, 4s) == slots);
    CHECK_FALSE(limit.limit());
}

TEST_CASE("one late event does not limit a node, and a target is never closed by the limit")
{
    NodeLoadLimit limit;
    TimePoint now {1s};
    run(limit, now, FakeProcessor {1000}, 200, 1s);
    limit.onEventDelay(now, 400ms, 200, slots);
    now += 50ms;
    run(limit, now, FakeProcessor {1000}, 200, 1s);
    CHECK_FALSE(limit.limit());
    run(limit, now, FakeProcessor {0, 100ms}, 1000, 20s);
    REQUIRE(limit.limit());
    CHECK(*limit.limit() >= slots / 25);
}
