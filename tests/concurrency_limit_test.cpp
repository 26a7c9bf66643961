#include "ibiswell/decisions/concurrency_limit.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

/** A backend server with slots: calls beyond them wait, so all are slower in proportion. */
void completeCalls(ConcurrencyLimit &limit, int calls, int slots, Duration ownTime)
{
    for (int i = 0; i < calls; ++i) {
        int inFlight = limit.limit();
        double factor = std::max(1.0, static_cast<double>(inFlight) / slots);
        limit.onSample({"route",
                        fromSeconds(inSeconds(ownTime) * factor),
                        {},
                        WorkOutcome::Completed,
                        inFlight});
    }
}

} // namespace

TEST_CASE("the limit opens by completed work up to the slots")
{
    ConcurrencyLimit limit;
    CHECK(limit.limit() == ConcurrencyLimit::initialLimit);
    completeCalls(limit, 5000, 100, 10ms);
    CHECK(limit.limit() >= 90);
    CHECK(limit.limit() <= 150);
}

TEST_CASE("waiting for calls below is not held against the backend server")
{
    ConcurrencyLimit limit;
    for (int i = 0; i < 3000; ++i) {
        Duration below = i < 1500 ? 0ms : 200ms;
        limit.onSample({"route", 10ms + below, below, WorkOutcome::Completed, limit.limit()});
    }
    CHECK(limit.detectedColdStarts() == 0);
    CHECK(limit.limit() > 100);
}

TEST_CASE("a sudden fall back into a cold start is noticed within eight answers")
{
    ConcurrencyLimit limit;
    completeCalls(limit, 5000, 100, 10ms);
    int answers = 0;
    while (limit.detectedColdStarts() == 0 && answers < 100) {
        limit.onSample({"route", 80ms, {}, WorkOutcome::Completed, limit.limit()});
        ++answers;
    }
    CHECK(answers <= 8);
    CHECK(limit.limit() <= ConcurrencyLimit::initialLimit);
}

TEST_CASE("one slow answer among many is no cold start")
{
    ConcurrencyLimit limit;
    completeCalls(limit, 5000, 100, 10ms);
    for (int i = 0; i < 200; ++i) {
        Duration time = i % 4 == 0 ? 80ms : 10ms;
        limit.onSample({"route", time, {}, WorkOutcome::Completed, 10});
    }
    CHECK(limit.detectedColdStarts() == 0);
}

TEST_CASE("a server that sheds at the smallest limit stays at one call at a time")
{
    ConcurrencyLimit limit;
    for (int i = 0; i < 100; ++i)
        limit.onSample({"route", 1ms, {}, WorkOutcome::Shed, limit.limit()});
    CHECK(limit.limit() == ConcurrencyLimit::minimumLimit);
}

// Found by the load model: a base time that followed the lowest window mean was pulled down by
// noise, each window then looked congested, and the limit never left 1.
TEST_CASE("a small limit grows again although the times vary")
{
    ConcurrencyLimit limit;
    for (int i = 0; i < 20; ++i)
        limit.onSample({"route", 1ms, {}, WorkOutcome::Shed, limit.limit()});
    std::uint32_t state = 12345;
    for (int i = 0; i < 4000; ++i) {
        state = state * 1664525 + 1013904223;
        auto varied = std::chrono::milliseconds(5 + (state >> 16) % 30);
        limit.onSample({"route", varied, {}, WorkOutcome::Completed, limit.limit()});
    }
    CHECK(limit.limit() > 32);
}
