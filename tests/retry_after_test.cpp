#include "ibiswell/decisions/retry_after.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace ibiswell;
using namespace std::chrono_literals;

TEST_CASE("callers that are refused at the same moment retry spread out and in time to be served")
{
    // Load: two thousand callers are refused at once, each with 1.5 s of remaining time.
    Random random(5);
    Refusal refusal {ErrorKind::QueueFull, "", Execution::NotRun};
    constexpr int callers = 2000;
    std::vector<Duration> delays;
    delays.reserve(callers);
    for (int i = 0; i < callers; ++i)
        delays.push_back(computeRetryAfter(refusal, 1500ms, random));
    std::sort(delays.begin(), delays.end());
    CHECK(delays.back() <= 500ms);
    CHECK(delays.front() >= 20ms);
    // No 50 ms interval gets more than a fifth of the callers. The end of the range is left out,
    // since delays beyond the maximum are cut to it.
    std::size_t largestCount = 0;
    for (Duration from = 20ms; from < 450ms; from += 50ms) {
        auto in = [&](Duration d) { return d >= from && d < from + 50ms; };
        largestCount =
            std::max(largestCount,
                     static_cast<std::size_t>(std::count_if(delays.begin(), delays.end(), in)));
    }
    CHECK(largestCount <= delays.size() / 5);
}

TEST_CASE("a stated delay is the minimum, bounded by a third of the remaining time")
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
