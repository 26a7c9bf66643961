#include "ibiswell/decisions/lease_manager.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr Duration duration = 10s;

/** Acquires lease 1 at @p now from a platform that responds immediately. */
void acquire(LeaseManager &manager, TimePoint now, LeaseRecord &stored)
{
    for (const LeaseEffect &effect : manager.tick(now, {1})) {
        if (!std::holds_alternative<ReadLease>(effect))
            continue;
        for (const LeaseEffect &next : manager.onRead(now, 1, stored)) {
            LeaseRecord record = std::get<WriteLease>(next).record;
            record.version = stored.version + 1;
            stored = record;
            manager.onWritten(now, 1, record);
        }
    }
}

} // namespace

TEST_CASE("a free lease is acquired, and expires by the holder's own clock")
{
    LeaseManager manager("a", "1", duration);
    LeaseRecord stored;
    acquire(manager, TimePoint {1s}, stored);
    CHECK(manager.holds(TimePoint {2s}, 1));
    CHECK_FALSE(manager.holds(TimePoint {1s} + duration, 1));
}

TEST_CASE("a node that was paused until its lease expired does not use it")
{
    LeaseManager manager("a", "1", duration);
    LeaseRecord stored;
    acquire(manager, TimePoint {1s}, stored);
    CHECK(manager.heldLeases(TimePoint {100s}).empty());
    CHECK_FALSE(manager.heldSince(TimePoint {100s}, 1));
}

TEST_CASE("another node waits for the lease's duration after it first read the lease")
{
    LeaseManager first("a", "1", duration);
    LeaseManager second("b", "2", duration);
    LeaseRecord stored;
    acquire(first, TimePoint {1s}, stored);
    for (Duration t = 2s; t < 12s; t += 1s) {
        acquire(second, TimePoint {t}, stored);
        CHECK_FALSE(second.holds(TimePoint {t}, 1));
    }
    acquire(second, TimePoint {13s}, stored);
    CHECK(second.holds(TimePoint {13s}, 1));
    CHECK_FALSE(first.holds(TimePoint {13s}, 1));
}

TEST_CASE("a node recognises its own write when the response was lost")
{
    LeaseManager manager("a", "1", duration);
    manager.tick(TimePoint {1s}, {1});
    auto effects = manager.onRead(TimePoint {1s}, 1, LeaseRecord {});
    REQUIRE(effects.size() == 1);
    LeaseRecord record = std::get<WriteLease>(effects[0]).record;
    record.version = 1;
    auto again = manager.onWriteFailed(1);
    REQUIRE(std::holds_alternative<ReadLease>(again.at(0)));
    manager.onRead(TimePoint {4s}, 1, record);
    CHECK(manager.holds(TimePoint {5s}, 1));
    // The duration counts from when the write was sent, not from the read.
    CHECK_FALSE(manager.holds(TimePoint {1s} + duration, 1));
}

TEST_CASE("a released lease is free at once, and its former holder no longer holds it")
{
    LeaseManager first("a", "1", duration);
    LeaseManager second("b", "2", duration);
    LeaseRecord stored;
    acquire(first, TimePoint {1s}, stored);
    auto release = first.releaseAll(TimePoint {2s});
    REQUIRE(release.size() == 1);
    CHECK_FALSE(first.holds(TimePoint {2s}, 1));
    stored = std::get<WriteLease>(release[0]).record;
    stored.version = 2;
    acquire(second, TimePoint {2s}, stored);
    CHECK(second.holds(TimePoint {2s}, 1));
}

// Guards against a release that fails because a renewal was stored before it: the lease would stay
// with the stopped node until it expired. Found by the process tests.
TEST_CASE("a release that conflicts with a renewal is repeated")
{
    LeaseManager manager("a", "1", duration);
    LeaseRecord stored;
    acquire(manager, TimePoint {1s}, stored);
    auto renewal = manager.tick(TimePoint {5s}, {1});
    REQUIRE(renewal.size() == 1);
    manager.releaseAll(TimePoint {5s}); // this write fails: the renewal has raised the version
    stored = std::get<WriteLease>(renewal[0]).record;
    stored.version = 2;
    manager.onWriteFailed(1);
    auto again = manager.onRead(TimePoint {6s}, 1, stored);
    REQUIRE(again.size() == 1);
    CHECK(std::get<WriteLease>(again[0]).ifVersion == 2);
    CHECK(std::get<WriteLease>(again[0]).record.holder.empty());
    CHECK_FALSE(manager.holds(TimePoint {6s}, 1));
}

TEST_CASE("a lease that is renewed in time is held without a gap")
{
    LeaseManager manager("a", "1", duration);
    LeaseRecord stored;
    acquire(manager, TimePoint {1s}, stored);
    for (Duration t = 2s; t < 60s; t += 1s) {
        for (const LeaseEffect &effect : manager.tick(TimePoint {t}, {1})) {
            LeaseRecord record = std::get<WriteLease>(effect).record;
            record.version = ++stored.version;
            manager.onWritten(TimePoint {t}, 1, record);
        }
    }
    CHECK(*manager.heldSince(TimePoint {60s}, 1) == TimePoint {1s});
}
