#include "ibiswell/decisions/retry_after.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace ibiswell;
using namespace std::chrono_literals;

TEST_CASE("callers that are refused in one moment come back spread out, and in time to be served")
{
    // Load: two thousand callers are refused at once, with a second and a half left.
    Random random(5);
    Refusal refusal {ErrorKind::QueueFull, "", Execution::NotRun};
    constexpr int callers = 2000;
    std::vector<Duration> returns;
    returns.reserve(callers);
    for (int i = 0; i < callers; ++i)
        returns.push_back(computeRetryAfter(refusal, 1500ms, random));
    std::sort(returns.begin(), returns.end());
    CHECK(returns.back() <= 500ms);
    CHECK(returns.front() >= 20ms);
    // No tenth of the span gets more than a fifth of them, but for the longest wait of all.
    std::size_t busiest = 0;
    for (Duration from = 20ms; from < 450ms; from += 50ms) {
        auto in = [&](Duration d) { return d >= from && d < from + 50ms; };
        busiest = std::max(
            busiest, static_cast<std::size_t>(std::count_if(returns.begin(), returns.end(), in)));
    }
    CHECK(busiest <= returns.size() / 5);
}

TEST_CASE("a stated time is kept as the least, within a third of the time left")
{
    Random random(5);
    Refusal refusal {ErrorKind::RateExceeded, "", Execution::NotRun, 200ms};
    for (int i = 0; i < 100; ++i) {
        CHECK(computeRetryAfter(refusal, 3s, random) >= 200ms);
        CHECK(computeRetryAfter(refusal, 300ms, random) <= 100ms);
    }
    refusal.retryAfter = Duration::max();
    CHECK(computeRetryAfter(refusal, 3s, random) <= 1s);
}
