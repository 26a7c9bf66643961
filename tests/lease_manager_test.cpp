#include "ibiswell/decisions/lease_manager.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr Duration duration = 10s;

/** Takes lease 1 at @p now through a platform that answers at once. */
void take(LeaseManager &keeper, TimePoint now, LeaseRecord &stored)
{
    for (const LeaseEffect &effect : keeper.tick(now, {1})) {
        if (!std::holds_alternative<ReadLease>(effect))
            continue;
        for (const LeaseEffect &next : keeper.onRead(now, 1, stored)) {
            LeaseRecord record = std::get<WriteLease>(next).record;
            record.version = stored.version + 1;
            stored = record;
            keeper.onWritten(now, 1, record);
        }
    }
}

} // namespace

TEST_CASE("a free lease is taken, and lapses by the holder's own clock")
{
    LeaseManager keeper("a", "1", duration);
    LeaseRecord stored;
    take(keeper, TimePoint {1s}, stored);
    CHECK(keeper.holds(TimePoint {2s}, 1));
    CHECK_FALSE(keeper.holds(TimePoint {1s} + duration, 1));
}

TEST_CASE("a node paused past its lease does not use it when it wakes")
{
    LeaseManager keeper("a", "1", duration);
    LeaseRecord stored;
    take(keeper, TimePoint {1s}, stored);
    CHECK(keeper.held(TimePoint {100s}).empty());
    CHECK_FALSE(keeper.heldSince(TimePoint {100s}, 1));
}

TEST_CASE("another node waits until the lease has lapsed since it saw it")
{
    LeaseManager first("a", "1", duration);
    LeaseManager second("b", "2", duration);
    LeaseRecord stored;
    take(first, TimePoint {1s}, stored);
    for (Duration t = 2s; t < 12s; t += 1s) {
        take(second, TimePoint {t}, stored);
        CHECK_FALSE(second.holds(TimePoint {t}, 1));
    }
    take(second, TimePoint {13s}, stored);
    CHECK(second.holds(TimePoint {13s}, 1));
    CHECK_FALSE(first.holds(TimePoint {13s}, 1));
}

TEST_CASE("a write whose answer was lost is recognised as its own")
{
    LeaseManager keeper("a", "1", duration);
    keeper.tick(TimePoint {1s}, {1});
    auto effects = keeper.onRead(TimePoint {1s}, 1, LeaseRecord {});
    REQUIRE(effects.size() == 1);
    LeaseRecord record = std::get<WriteLease>(effects[0]).record;
    record.version = 1;
    auto again = keeper.onWriteFailed(1);
    REQUIRE(std::holds_alternative<ReadLease>(again.at(0)));
    keeper.onRead(TimePoint {4s}, 1, record);
    CHECK(keeper.holds(TimePoint {5s}, 1));
    // Counted from when the lost write was sent, not from the read.
    CHECK_FALSE(keeper.holds(TimePoint {1s} + duration, 1));
}

TEST_CASE("a released lease is free at once, and its former holder holds nothing")
{
    LeaseManager first("a", "1", duration);
    LeaseManager second("b", "2", duration);
    LeaseRecord stored;
    take(first, TimePoint {1s}, stored);
    auto release = first.releaseAll(TimePoint {2s});
    REQUIRE(release.size() == 1);
    CHECK_FALSE(first.holds(TimePoint {2s}, 1));
    stored = std::get<WriteLease>(release[0]).record;
    stored.version = 2;
    take(second, TimePoint {2s}, stored);
    CHECK(second.holds(TimePoint {2s}, 1));
}

// Found by the process tests: the lease stayed with a node that was gone until it lapsed.
TEST_CASE("a release that crosses a renewal is made again")
{
    LeaseManager keeper("a", "1", duration);
    LeaseRecord stored;
    take(keeper, TimePoint {1s}, stored);
    auto renewal = keeper.tick(TimePoint {5s}, {1});
    REQUIRE(renewal.size() == 1);
    keeper.releaseAll(TimePoint {5s}); // its write meets the version of the renewal
    stored = std::get<WriteLease>(renewal[0]).record;
    stored.version = 2;
    keeper.onWriteFailed(1);
    auto again = keeper.onRead(TimePoint {6s}, 1, stored);
    REQUIRE(again.size() == 1);
    CHECK(std::get<WriteLease>(again[0]).ifVersion == 2);
    CHECK(std::get<WriteLease>(again[0]).record.holder.empty());
    CHECK_FALSE(keeper.holds(TimePoint {6s}, 1));
}

TEST_CASE("a lease renewed in time is held without a break")
{
    LeaseManager keeper("a", "1", duration);
    LeaseRecord stored;
    take(keeper, TimePoint {1s}, stored);
    for (Duration t = 2s; t < 60s; t += 1s) {
        for (const LeaseEffect &effect : keeper.tick(TimePoint {t}, {1})) {
            LeaseRecord record = std::get<WriteLease>(effect).record;
            record.version = ++stored.version;
            keeper.onWritten(TimePoint {t}, 1, record);
        }
    }
    CHECK(*keeper.heldSince(TimePoint {60s}, 1) == TimePoint {1s});
}
