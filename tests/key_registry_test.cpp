#include "ibiswell/decisions/key_registry.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

const TimePoint longAgo {-1h};
const KeyClaim retry {"team", "order-7", false};
const KeyClaim first {"team", "order-7", true};

bool isGranted(const KeyClaimResponse &response)
{
    return std::holds_alternative<KeyGranted>(response.decision);
}

ErrorKind refusalOf(const KeyClaimResponse &response)
{
    return std::get<Refusal>(response.decision).kind;
}

} // namespace

TEST_CASE("a key is granted once; later attempts are refused or get the stored response")
{
    KeyRegistry registry;
    CHECK(isGranted(registry.claim(TimePoint {}, longAgo, retry)));
    CHECK(bool(refusalOf(registry.claim(TimePoint {1s}, longAgo, retry))
               == ErrorKind::DuplicateInFlight));
    HttpResponse response {200, {}, "done"};
    registry.settle(TimePoint {2s}, {"team", "order-7", response});
    auto again = registry.claim(TimePoint {3s}, longAgo, retry);
    REQUIRE(std::holds_alternative<KeyDone>(again.decision));
    CHECK(std::get<KeyDone>(again.decision).response == response);
}

TEST_CASE("a request that did not run may be claimed again; one that may have run may not")
{
    KeyRegistry registry;
    registry.claim(TimePoint {}, longAgo, retry);
    Refusal notRun {ErrorKind::NoTarget, "", Execution::NotRun};
    registry.settle(TimePoint {}, {"team", "order-7", notRun});
    CHECK(isGranted(registry.claim(TimePoint {1s}, longAgo, retry)));
    Refusal unknown {ErrorKind::ConnectionLost, "", Execution::Unknown};
    registry.settle(TimePoint {1s}, {"team", "order-7", unknown});
    CHECK(bool(refusalOf(registry.claim(TimePoint {2s}, longAgo, retry))
               == ErrorKind::OutcomeUnknown));
}

TEST_CASE("a new owner grants first attempts and refuses others with an unknown outcome")
{
    KeyRegistry registry;
    TimePoint since {100s};
    auto response = registry.claim(TimePoint {101s}, since, retry);
    CHECK(bool(refusalOf(response) == ErrorKind::OutcomeUnknown));
    CHECK(bool(std::get<Refusal>(response.decision).execution == Execution::Unknown));
    CHECK(isGranted(registry.claim(TimePoint {102s}, since, first)));
    KeyClaim other {"team", "order-8", false};
    CHECK(isGranted(registry.claim(since + KeyRegistry::retentionTime, since, other)));
}

TEST_CASE("pairs of a team and a key do not collide, even if their concatenations are the same")
{
    KeyRegistry registry;
    CHECK(isGranted(registry.claim(TimePoint {}, longAgo, {"ab", "c", false})));
    CHECK(isGranted(registry.claim(TimePoint {}, longAgo, {"a", "bc", false})));
}

TEST_CASE("stored keys are bounded: beyond the maximum new keys are refused, old keys expire")
{
    KeyRegistry registry;
    for (std::size_t i = 0; i < KeyRegistry::maximumKeys; ++i)
        registry.claim(TimePoint {}, longAgo, {"team", std::to_string(i), false});
    auto full = registry.claim(TimePoint {1s}, longAgo, retry);
    CHECK(bool(refusalOf(full) == ErrorKind::KeyMemoryFull));
    TimePoint later = TimePoint {1s} + KeyRegistry::retentionTime;
    CHECK(isGranted(registry.claim(later, longAgo, retry)));
    CHECK(registry.size() == 1);
}
