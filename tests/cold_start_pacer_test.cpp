#include "ibiswell/core/random.h"
#include "ibiswell/decisions/cold_start_pacer.h"
#include "ibiswell/decisions/target_admission.h"

#include <doctest/doctest.h>

#include <vector>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr double coldRate = 30; // starts a second

Arrival makeArrival(Duration remainingTime)
{
    Arrival arrival;
    arrival.route = "route";
    arrival.context.remainingTime = remainingTime;
    return arrival;
}

/** The largest number of @p moments within any one second. */
std::size_t maximumInOneSecond(const std::vector<TimePoint> &moments)
{
    std::size_t maximum = 0;
    for (std::size_t first = 0; first < moments.size(); ++first) {
        std::size_t last = first;
        while (last < moments.size() && moments[last] - moments[first] < 1s)
            ++last;
        maximum = std::max(maximum, last - first);
    }
    return maximum;
}

} // namespace

TEST_CASE("a cold backend server gets no more starts in any second than its cold rate")
{
    // Load: calls at random moments, far more than the rate of the cold server.
    TargetAdmission admission;
    admission.setSlots(140);
    Random random(3);
    TimePoint now {10s};
    std::vector<TimePoint> starts;
    auto recordStarts = [&](const std::vector<AdmissionEffect> &effects) {
        for (const AdmissionEffect &effect : effects) {
            if (const StartCall *started = std::get_if<StartCall>(&effect)) {
                starts.push_back(now);
                admission.finish(now, started->ticket, {WorkOutcome::Completed, 20ms, {}, false});
            }
        }
    };
    admission.setColdStartRate(coldRate);
    for (int i = 0; i < 3000; ++i) {
        now += Duration(random() % 4000);
        recordStarts(admission.arrive(now, makeArrival(1s)));
        recordStarts(admission.tick(now));
    }
    CHECK(starts.size() > 100);
    CHECK(maximumInOneSecond(starts) <= static_cast<std::size_t>(coldRate));
}

TEST_CASE("the starts at a cold backend server are spread over each second")
{
    // Load: a call is always waiting.
    ColdStartPacer pacer;
    pacer.setRate(coldRate);
    std::vector<TimePoint> starts;
    for (TimePoint now {10s}; now < TimePoint {20s}; now += 1ms) {
        if (!pacer.mayStart(now))
            continue;
        pacer.onStart(now);
        starts.push_back(now);
    }
    CHECK(starts.size() > 0.9 * coldRate * 10);
    for (std::size_t i = 1; i < starts.size(); ++i)
        CHECK(starts[i] - starts[i - 1] <= 200ms);
}

TEST_CASE("starts before the cold start count towards the rate of its first second")
{
    // Otherwise a server that turns cold gets a full second's starts on top of those just made.
    ColdStartPacer pacer;
    TimePoint now {10s};
    for (int i = 0; i < 100; ++i) {
        CHECK(pacer.mayStart(now));
        pacer.onStart(now);
        now += 5ms;
    }
    pacer.setRate(coldRate);
    CHECK_FALSE(pacer.mayStart(now));
    CHECK(pacer.mayStart(now + 1100ms));
}

TEST_CASE("a configured number of slots replaces the learned limit")
{
    TargetAdmission admission;
    admission.setSlots(3);
    TimePoint now {1s};
    std::vector<Ticket> running;
    for (int i = 0; i < 3; ++i)
        CHECK(std::holds_alternative<StartCall>(admission.arrive(now, makeArrival(5s)).front()));
    CHECK(std::holds_alternative<QueueCall>(admission.arrive(now, makeArrival(5s)).front()));
    CHECK(admission.inFlight() == 3);
}

TEST_CASE("when a backend server leaves, its queued calls are refused at once as not run")
{
    TargetAdmission admission;
    admission.setSlots(1);
    TimePoint now {1s};
    admission.arrive(now, makeArrival(5s));
    admission.arrive(now, makeArrival(5s));
    auto effects = admission.refuseWaiting(ErrorKind::TargetLeaving);
    REQUIRE(effects.size() == 1);
    const RefuseCall *refused = std::get_if<RefuseCall>(&effects.front());
    REQUIRE(refused);
    CHECK((responseFor(refused->kind).execution == Execution::NotRun));
    CHECK((responseFor(refused->kind).rechoice == Rechoice::Free));
    CHECK(admission.queued() == 0);
}
