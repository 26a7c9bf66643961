#include "answering_target.h"

#include "ibiswell/core/random.h"
#include "ibiswell/decisions/stated_rate_limit.h"
#include "ibiswell/decisions/target_admission.h"
#include "ibiswell/decisions/target_gate.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace ibiswell;
using namespace ibiswell::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration ruleWindow = 4s;

/** The users' bound on the requests in any window of ruleWindow. */
double maximumInWindow(double rate)
{
    return 1.5 * rate * inSeconds(ruleWindow) + 5;
}

std::size_t busiestWindow(const std::vector<TimePoint> &moments)
{
    std::size_t busiest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < moments.size(); ++last) {
        while (moments[last] - moments[first] >= ruleWindow)
            ++first;
        busiest = std::max(busiest, last - first + 1);
    }
    return busiest;
}

Arrival makeArrival()
{
    Arrival arrival;
    arrival.route = "route";
    arrival.context.remainingTime = 2s;
    return arrival;
}

TargetReport makeReport(std::int64_t startedAtMs, std::uint64_t sequence)
{
    TargetReport report;
    report.instance = "i-1";
    report.service = "ledger";
    report.startedAtMs = startedAtMs;
    report.sequence = sequence;
    report.slots = 19;
    return report;
}

} // namespace

// Guards against the incident LIMIT.
TEST_CASE("LIMIT: a backend server gets no more than it states in any window, and what it states")
{
    for (double rate : {0.0, 1.0, 5.4, 55.3, 400.0}) {
        CAPTURE(rate);
        TargetAdmission admission;
        admission.setSlots(140);
        admission.setStatedRate(rate);
        Random random(7);
        std::vector<TimePoint> starts;
        std::vector<std::pair<TimePoint, Ticket>> running;
        TimePoint now {10s};
        auto record = [&](const std::vector<AdmissionEffect> &effects) {
            for (const AdmissionEffect &effect : effects) {
                const StartCall *started = std::get_if<StartCall>(&effect);
                if (!started)
                    continue;
                starts.push_back(now);
                running.emplace_back(now + 60ms, started->ticket);
            }
        };
        // Load: far more calls than the rate, at random moments.
        for (; now < TimePoint {30s}; now += std::chrono::microseconds(500 + random() % 1000)) {
            record(admission.arrive(now, makeArrival()));
            while (!running.empty() && running.front().first <= now) {
                Ticket ticket = running.front().second;
                running.erase(running.begin());
                record(admission.finish(now, ticket, {WorkOutcome::Completed, 60ms, {}, false}));
            }
            record(admission.tick(now));
        }
        CHECK(static_cast<double>(busiestWindow(starts)) <= maximumInWindow(rate));
        CHECK(static_cast<double>(starts.size()) >= 0.95 * rate * 20);
        CHECK_FALSE(starts.empty());
    }
}

TEST_CASE("LIMIT: a node that has just started sends few calls until the backend server responds")
{
    TargetAdmission admission;
    admission.setSlots(140);
    admission.awaitFirstResponse();
    TimePoint now {10s};
    std::vector<Ticket> started;
    for (int i = 0; i < 100; ++i) {
        AdmissionEffect effect = admission.arrive(now, makeArrival()).front();
        if (const StartCall *start = std::get_if<StartCall>(&effect))
            started.push_back(start->ticket);
    }
    CHECK(started.size() <= 5);
    REQUIRE_FALSE(started.empty());
    // A call that ends without a response tells nothing.
    admission.finish(now, started.front(), {WorkOutcome::Failed, 1s, {}, true});
    CHECK(admission.inFlight() <= 5);
    admission.finish(now, started.back(), {WorkOutcome::Completed, 10ms, {}, false});
    CHECK(admission.limit() == 140);
}

TEST_CASE("a stated rate holds until the next statement or start of the backend server")
{
    TargetGate gate("ledger");
    reportAndAnswer(gate, TimePoint {1s}, makeReport(1000, 1));
    gate.onStatement({55.3, false});
    CHECK(gate.statedRate() == 55.3);
    reportAndAnswer(gate, TimePoint {2s}, makeReport(1000, 2));
    CHECK(gate.statedRate() == 55.3);
    CHECK(gate.isOpen());
    SUBCASE("a response without a rate ends it")
    {
        gate.onStatement({});
        CHECK_FALSE(gate.statedRate());
    }
    SUBCASE("a new start ends it, even with the same id")
    {
        reportAndAnswer(gate, TimePoint {3s}, makeReport(2000, 1));
        CHECK_FALSE(gate.statedRate());
    }
}

TEST_CASE("a response that states that its server leaves closes the gate for that start")
{
    TargetGate gate("ledger");
    reportAndAnswer(gate, TimePoint {1s}, makeReport(1000, 1));
    gate.onStatement({std::nullopt, true});
    CHECK_FALSE(gate.isOpen());
    gate.onStatement({});
    reportAndAnswer(gate, TimePoint {2s}, makeReport(1000, 2));
    CHECK_FALSE(gate.isOpen());
    reportAndAnswer(gate, TimePoint {3s}, makeReport(2000, 1));
    CHECK(gate.isOpen());
}
