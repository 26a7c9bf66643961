#include "ibiswell/decisions/concurrency_limit.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

/** Completes calls at a backend server with @p slots: beyond them all calls slow in proportion. */
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

TEST_CASE("completed calls raise the limit to the slots of the backend server")
{
    ConcurrencyLimit limit;
    CHECK(limit.limit() == ConcurrencyLimit::initialLimit);
    completeCalls(limit, 5000, 100, 10ms);
    CHECK(limit.limit() >= 90);
    CHECK(limit.limit() <= 150);
}

TEST_CASE("waiting for downstream calls does not lower the limit")
{
    ConcurrencyLimit limit;
    for (int i = 0; i < 3000; ++i) {
        Duration wait = i < 1500 ? 0ms : 200ms;
        limit.onSample({"route", 10ms + wait, wait, WorkOutcome::Completed, limit.limit()});
    }
    CHECK(limit.detectedColdStarts() == 0);
    CHECK(limit.limit() > 100);
}

TEST_CASE("a sudden return to a cold start is detected within eight responses")
{
    ConcurrencyLimit limit;
    completeCalls(limit, 5000, 100, 10ms);
    int responses = 0;
    while (limit.detectedColdStarts() == 0 && responses < 100) {
        limit.onSample({"route", 80ms, {}, WorkOutcome::Completed, limit.limit()});
        ++responses;
    }
    CHECK(responses <= 8);
    CHECK(limit.limit() <= ConcurrencyLimit::initialLimit);
}

TEST_CASE("some slow responses among fast ones are not taken for a cold start")
{
    ConcurrencyLimit limit;
    completeCalls(limit, 5000, 100, 10ms);
    for (int i = 0; i < 200; ++i) {
        Duration time = i % 4 == 0 ? 80ms : 10ms;
        limit.onSample({"route", time, {}, WorkOutcome::Completed, 10});
    }
    CHECK(limit.detectedColdStarts() == 0);
}

TEST_CASE("a backend server that sheds every call is held to one call at a time")
{
    ConcurrencyLimit limit;
    for (int i = 0; i < 100; ++i)
        limit.onSample({"route", 1ms, {}, WorkOutcome::Shed, limit.limit()});
    CHECK(limit.limit() == ConcurrencyLimit::minimumLimit);
}

// Guards against a base time that follows the lowest mean of a window: noise pulls it down, every
// window then looks congested, and the limit never leaves 1. Found by the load model.
TEST_CASE("a small limit grows again although the slot times vary")
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
