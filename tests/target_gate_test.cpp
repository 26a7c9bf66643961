#include "answering_target.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace ibiswell::test;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start {100s};

TargetReport makeReport(const std::string &instance, std::uint64_t sequence,
                        std::int64_t startedAtMs)
{
    TargetReport report;
    report.instance = instance;
    report.service = "ledger";
    report.sequence = sequence;
    report.startedAtMs = startedAtMs;
    report.slots = 19;
    return report;
}

TargetReport makeDraining(TargetReport report)
{
    report.draining = true;
    return report;
}

} // namespace

TEST_CASE("a new gate is closed until its backend server reports")
{
    TargetGate gate("ledger");
    REQUIRE(gate.refusal());
    CHECK((gate.refusal()->execution == Execution::NotRun));
    CHECK((reportAndAnswer(gate, start, makeReport("i-1", 4, 1000)) == ReportOutcome::Opened));
    CHECK(gate.isOpen());
    CHECK(gate.slots() == 19);
}

TEST_CASE("the gate stays closed for a leaving start, whatever report of it arrives later")
{
    TargetGate gate("ledger");
    reportAndAnswer(gate, start, makeReport("i-1", 4, 1000));
    CHECK((reportAndAnswer(gate, start, makeDraining(makeReport("i-1", 6, 1000)))
           == ReportOutcome::Closed));
    CHECK((reportAndAnswer(gate, start, makeReport("i-1", 5, 1000)) == ReportOutcome::Stale));
    CHECK((reportAndAnswer(gate, start, makeReport("i-1", 7, 1000)) == ReportOutcome::Refreshed));
    CHECK_FALSE(gate.isOpen());
    SUBCASE("a later start opens it again, also with the same id and a reset sequence")
    {
        CHECK((reportAndAnswer(gate, start, makeReport("i-1", 1, 2000)) == ReportOutcome::Opened));
        CHECK((reportAndAnswer(gate, start, makeReport("i-1", 9, 1000)) == ReportOutcome::Stale));
        CHECK(gate.isOpen());
    }
    SUBCASE("an earlier start does not")
    {
        CHECK((reportAndAnswer(gate, start, makeReport("i-0", 50, 500)) == ReportOutcome::Stale));
        CHECK_FALSE(gate.isOpen());
    }
}

TEST_CASE("a departure closes the gate without a report, unless it is of another instance")
{
    TargetGate gate("ledger");
    reportAndAnswer(gate, start, makeReport("i-2", 1, 2000));
    CHECK_FALSE(gate.onDeparture(start, "i-1"));
    CHECK(gate.isOpen());
    CHECK(gate.onDeparture(start, "i-2"));
    CHECK_FALSE(gate.isOpen());
    reportAndAnswer(gate, start, makeReport("i-2", 2, 2000));
    CHECK_FALSE(gate.isOpen());
}

TEST_CASE("after the backend server was unreachable, only its next report opens the gate")
{
    TargetGate gate("ledger");
    reportAndAnswer(gate, start, makeReport("i-1", 4, 1000));
    gate.onUnreachable();
    CHECK_FALSE(gate.isOpen());
    CHECK((reportAndAnswer(gate, start, makeReport("i-1", 4, 1000)) == ReportOutcome::Stale));
    CHECK_FALSE(gate.isOpen());
    CHECK((reportAndAnswer(gate, start, makeReport("i-1", 5, 1000)) == ReportOutcome::Opened));
}

TEST_CASE("a backend server is cold while it reports so, and from its zone's return to its report")
{
    TargetGate gate("ledger");
    TargetReport cold = makeReport("i-1", 1, 1000);
    cold.remainingWarmup = 3s;
    reportAndAnswer(gate, start, cold);
    CHECK(gate.isCold(start + 2900ms));
    CHECK_FALSE(gate.isCold(start + 3100ms));
    gate.setZoneOut(start + 50s, true);
    CHECK_FALSE(gate.isCold(start + 56s));
    gate.setZoneOut(start + 57s, false);
    CHECK(gate.isCold(start + 60s));
    reportAndAnswer(gate, start + 60s, makeReport("i-1", 2, 1000));
    CHECK_FALSE(gate.isCold(start + 60s));
}

// Guards against the incident UNTOLD: a report that was sent before the zone's return, when the
// backend server was not cold yet, and arrives after it.
TEST_CASE("UNTOLD: after its zone's return a backend server is cold until a report from after it")
{
    TargetGate gate("ledger");
    reportAndAnswer(gate, start, makeReport("i-1", 1, 1000));
    gate.setZoneOut(start + 5s, true);
    gate.setZoneOut(start + 10s, false);
    reportAndAnswer(gate, start + 10100ms, makeReport("i-1", 2, 1000));
    CHECK(gate.isCold(start + 10100ms));
    reportAndAnswer(gate, start + 11600ms, makeReport("i-1", 3, 1000));
    CHECK(gate.isCold(start + 11600ms));
    TargetReport cold = makeReport("i-1", 4, 1000);
    cold.remainingWarmup = 500ms;
    reportAndAnswer(gate, start + 12500ms, cold);
    CHECK(gate.isCold(start + 12900ms));
    CHECK_FALSE(gate.isCold(start + 13100ms));
}

TEST_CASE("a report of another service does not open the gate")
{
    TargetGate gate("ledger");
    TargetReport other = makeReport("i-1", 1, 1000);
    other.service = "orders";
    CHECK((reportAndAnswer(gate, start, other) == ReportOutcome::OtherService));
    CHECK_FALSE(gate.isOpen());
}

// Guards against the incident REOPEN: a restarted node has heard of no start when its backend
// server leaves, and a report that was sent before the departure arrives after it.
TEST_CASE("REOPEN: a report that was sent before a departure does not open the gate again")
{
    TargetGate gate("ledger");
    CHECK(gate.onDeparture(start, "i-1"));
    CHECK((reportAndAnswer(gate, start + 1s, makeReport("i-1", 7, 1000))
           == ReportOutcome::Refreshed));
    CHECK_FALSE(gate.isOpen());
    CHECK((reportAndAnswer(gate, start + 3s, makeReport("i-1", 8, 1000))
           == ReportOutcome::Refreshed));
    CHECK_FALSE(gate.isOpen());
    SUBCASE("a later start with the same id does")
    {
        CHECK((reportAndAnswer(gate, start + 5s, makeReport("i-1", 1, 9000))
               == ReportOutcome::Opened));
        CHECK((reportAndAnswer(gate, start + 6s, makeReport("i-1", 9, 1000))
               == ReportOutcome::Stale));
        CHECK(gate.isOpen());
    }
    SUBCASE("a start that was taken for the one that left, and reports on, does")
    {
        CHECK((reportAndAnswer(gate, start + 11s, makeReport("i-1", 12, 1000))
               == ReportOutcome::Opened));
    }
    SUBCASE("a start that reports that it drains does not, however long it reports")
    {
        reportAndAnswer(gate, start + 4s, makeDraining(makeReport("i-1", 9, 1000)));
        reportAndAnswer(gate, start + 20s, makeReport("i-1", 20, 1000));
        CHECK_FALSE(gate.isOpen());
    }
}

TEST_CASE(
    "REOPEN: the first report of a start that has left in the meantime does not open the gate")
{
    TargetGate gate("ledger");
    reportAndAnswer(gate, start, makeReport("i-1", 4, 1000));
    CHECK_FALSE(gate.onDeparture(start, "i-2"));
    CHECK(gate.isOpen());
    CHECK((reportAndAnswer(gate, start + 2s, makeReport("i-2", 1, 2000)) == ReportOutcome::Closed));
    CHECK((reportAndAnswer(gate, start + 3s, makeReport("i-1", 5, 1000)) == ReportOutcome::Stale));
    CHECK_FALSE(gate.isOpen());
}

// The time of day may be set back between two starts. Dropping the reports of the second one would
// acknowledge that it leaves, or that it is cold, without any effect.
TEST_CASE("REOPEN: a start with an earlier time is followed once it alone reports")
{
    TargetGate gate("ledger");
    reportAndAnswer(gate, start, makeReport("i-1", 40, 9000));
    TargetReport restarted = makeReport("i-1", 1, 5000);
    restarted.remainingWarmup = 3s;
    CHECK((reportAndAnswer(gate, start + 2s, restarted) == ReportOutcome::Stale));
    SUBCASE("late reports of a former start change nothing, together or beside the known start's")
    {
        CHECK((reportAndAnswer(gate, start + 2s, makeReport("i-1", 2, 5000))
               == ReportOutcome::Stale));
        reportAndAnswer(gate, start + 3s, makeReport("i-1", 41, 9000));
        CHECK((reportAndAnswer(gate, start + 4s, makeReport("i-1", 3, 5000))
               == ReportOutcome::Stale));
        CHECK(gate.startedAtMs() == 9000);
        CHECK_FALSE(gate.isCold(start + 4s));
    }
    SUBCASE("it reports again")
    {
        restarted.sequence = 2;
        restarted.remainingWarmup = 1500ms;
        CHECK((reportAndAnswer(gate, start + 3500ms, restarted) == ReportOutcome::Refreshed));
        CHECK(gate.isCold(start + 4s));
        CHECK((reportAndAnswer(gate, start + 4s, makeDraining(makeReport("i-1", 3, 5000)))
               == ReportOutcome::Closed));
    }
    SUBCASE("it leaves at once: nothing is sent until the known start reports")
    {
        reportAndAnswer(gate, start + 3s, makeDraining(makeReport("i-1", 1, 4000)));
        CHECK_FALSE(gate.isOpen());
        reportAndAnswer(gate, start + 4s, makeReport("i-1", 41, 9000));
        CHECK(gate.isOpen());
    }
    SUBCASE("the known start cannot be reached")
    {
        gate.onUnreachable();
        CHECK((reportAndAnswer(gate, start + 2s, restarted) == ReportOutcome::Opened));
        CHECK(gate.isCold(start + 2s));
    }
}

TEST_CASE("DRAIN: the first report of a start opens the gate only once that start has answered")
{
    TargetGate gate("ledger");
    CHECK((gate.onReport(start, makeReport("i-1", 4, 1000)) == ReportOutcome::Unconfirmed));
    REQUIRE(gate.question());
    TargetQuestion question = *gate.question();
    CHECK((question == TargetQuestion {"i-1", 1000}));
    CHECK((gate.refusal()->execution == Execution::NotRun));
    SUBCASE("it takes work: later reports of it open the gate directly")
    {
        gate.onAnswer(start, question, TargetReady {});
        CHECK(gate.isOpen());
        CHECK_FALSE(gate.question());
        CHECK((gate.onReport(start, makeReport("i-1", 5, 1000)) == ReportOutcome::Refreshed));
        gate.onUnreachable();
        CHECK((gate.onReport(start, makeReport("i-1", 6, 1000)) == ReportOutcome::Opened));
    }
    SUBCASE("it leaves: no report of it opens the gate, however late; another start asks anew")
    {
        gate.onAnswer(start, question, TargetLeaving {});
        CHECK_FALSE(gate.question());
        CHECK((gate.onReport(start + 60s, makeReport("i-1", 9, 1000)) == ReportOutcome::Refreshed));
        CHECK_FALSE(gate.isOpen());
        CHECK_FALSE(gate.question());
        gate.onReport(start + 60s, makeReport("i-2", 1, 2000));
        CHECK((gate.question() == TargetQuestion {"i-2", 2000}));
    }
    SUBCASE("another instance answered: the next report asks again")
    {
        gate.onAnswer(start, question, TargetAbsent {});
        CHECK_FALSE(gate.question());
        CHECK_FALSE(gate.isOpen());
        CHECK((gate.onReport(start, makeReport("i-1", 5, 1000)) == ReportOutcome::Unconfirmed));
    }
    SUBCASE("nothing is known: the question stays, and reports do not open the gate")
    {
        gate.onAnswer(start, question, TargetUndecided {});
        gate.onReport(start + 30s, makeReport("i-1", 5, 1000));
        CHECK((gate.question() == question));
    }
    SUBCASE("a departure meanwhile ends the question, and its answer has no effect")
    {
        gate.onDeparture(start, "i-1");
        CHECK_FALSE(gate.question());
        gate.onAnswer(start, question, TargetReady {});
        CHECK_FALSE(gate.isOpen());
    }
    SUBCASE("the answer of a former start does not open the gate for the next one")
    {
        gate.onReport(start, makeReport("i-1", 1, 2000));
        gate.onAnswer(start, question, TargetReady {});
        CHECK_FALSE(gate.isOpen());
        CHECK((gate.question() == TargetQuestion {"i-1", 2000}));
    }
}

TEST_CASE("DRAIN: a report later than any bound, of a start that may have left, is asked about")
{
    TargetGate gate("ledger");
    gate.onDeparture(start, "i-1");
    gate.onReport(start + 1s, makeReport("i-1", 7, 1000));
    CHECK((gate.onReport(start + 40s, makeReport("i-1", 8, 1000)) == ReportOutcome::Unconfirmed));
    CHECK_FALSE(gate.isOpen());
}

TEST_CASE("what a backend server answers binds from the first request on: its cold time and rate")
{
    TargetGate gate("ledger");
    gate.onReport(start, makeReport("i-1", 4, 1000));
    gate.onAnswer(start, *gate.question(), TargetReady {4s, 12.5});
    CHECK(gate.statedRate() == 12.5);
    gate.onReport(start + 1s, makeReport("i-1", 5, 1000)); // late: sent when it was warm
    CHECK(gate.isCold(start + 3900ms));
    CHECK_FALSE(gate.isCold(start + 4100ms));
}
