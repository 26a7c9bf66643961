#include "ibiswell/decisions/target_gate.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start {100s};

TargetReport reportOf(const std::string &instance, std::uint64_t sequence, std::int64_t startedAtMs)
{
    TargetReport report;
    report.instance = instance;
    report.service = "ledger";
    report.sequence = sequence;
    report.startedAtMs = startedAtMs;
    report.slots = 19;
    return report;
}

TargetReport drainingOf(TargetReport report)
{
    report.draining = true;
    return report;
}

} // namespace

TEST_CASE("a gate that remembers nothing is closed until its backend server reports")
{
    TargetGate gate("ledger");
    REQUIRE(gate.refusal());
    CHECK((gate.refusal()->execution == Execution::NotRun));
    CHECK((gate.onReport(start, reportOf("i-1", 4, 1000)) == ReportOutcome::Opened));
    CHECK(gate.isOpen());
    CHECK(gate.slots() == 19);
}

TEST_CASE("a start that leaves stays closed, whatever late report of it arrives")
{
    TargetGate gate("ledger");
    gate.onReport(start, reportOf("i-1", 4, 1000));
    CHECK((gate.onReport(start, drainingOf(reportOf("i-1", 6, 1000))) == ReportOutcome::Closed));
    CHECK((gate.onReport(start, reportOf("i-1", 5, 1000)) == ReportOutcome::Stale));
    CHECK((gate.onReport(start, reportOf("i-1", 7, 1000)) == ReportOutcome::Refreshed));
    CHECK_FALSE(gate.isOpen());
    SUBCASE("a later start opens it again, also under the same id with counts anew")
    {
        CHECK((gate.onReport(start, reportOf("i-1", 1, 2000)) == ReportOutcome::Opened));
        CHECK((gate.onReport(start, reportOf("i-1", 9, 1000)) == ReportOutcome::Stale));
        CHECK(gate.isOpen());
    }
    SUBCASE("an earlier start does not")
    {
        CHECK((gate.onReport(start, reportOf("i-0", 50, 500)) == ReportOutcome::Stale));
        CHECK_FALSE(gate.isOpen());
    }
}

TEST_CASE("a departure without a report closes the gate, of another instance it does not")
{
    TargetGate gate("ledger");
    gate.onReport(start, reportOf("i-2", 1, 2000));
    CHECK_FALSE(gate.onDeparture("i-1"));
    CHECK(gate.isOpen());
    CHECK(gate.onDeparture("i-2"));
    CHECK_FALSE(gate.isOpen());
    gate.onReport(start, reportOf("i-2", 2, 2000));
    CHECK_FALSE(gate.isOpen());
}

TEST_CASE("an unreachable backend server opens the gate by its next report only")
{
    TargetGate gate("ledger");
    gate.onReport(start, reportOf("i-1", 4, 1000));
    gate.onUnreachable();
    CHECK_FALSE(gate.isOpen());
    CHECK((gate.onReport(start, reportOf("i-1", 4, 1000)) == ReportOutcome::Stale));
    CHECK_FALSE(gate.isOpen());
    CHECK((gate.onReport(start, reportOf("i-1", 5, 1000)) == ReportOutcome::Opened));
}

TEST_CASE("a backend server is cold while it says so, and after its zone was out until it reports")
{
    TargetGate gate("ledger");
    TargetReport cold = reportOf("i-1", 1, 1000);
    cold.remainingWarmup = 3s;
    gate.onReport(start, cold);
    CHECK(gate.isCold(start + 2900ms));
    CHECK_FALSE(gate.isCold(start + 3100ms));
    gate.onZoneReturned();
    CHECK(gate.isCold(start + 60s));
    gate.onReport(start + 60s, reportOf("i-1", 2, 1000));
    CHECK_FALSE(gate.isCold(start + 60s));
}

TEST_CASE("a report of another service names no target to use")
{
    TargetGate gate("ledger");
    TargetReport other = reportOf("i-1", 1, 1000);
    other.service = "orders";
    CHECK((gate.onReport(start, other) == ReportOutcome::OtherService));
    CHECK_FALSE(gate.isOpen());
}
