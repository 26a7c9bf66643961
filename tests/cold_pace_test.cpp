#include "ibiswell/core/random.h"
#include "ibiswell/decisions/cold_pace.h"
#include "ibiswell/decisions/target_admission.h"

#include <doctest/doctest.h>

#include <vector>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr double bearable = 30; // starts a second

Arrival arrivalOf(Duration remainingTime)
{
    Arrival arrival;
    arrival.route = "route";
    arrival.context.remainingTime = remainingTime;
    return arrival;
}

/** The most moments inside any second. */
std::size_t mostInOneSecond(const std::vector<TimePoint> &moments)
{
    std::size_t most = 0;
    for (std::size_t first = 0; first < moments.size(); ++first) {
        std::size_t last = first;
        while (last < moments.size() && moments[last] - moments[first] < 1s)
            ++last;
        most = std::max(most, last - first);
    }
    return most;
}

} // namespace

TEST_CASE("a cold backend server gets no more starts in any second than it bears")
{
    // Load: far more calls than it bears, at random moments, while its cold start begins and ends.
    TargetAdmission admission;
    admission.setSlots(140);
    Random random(3);
    TimePoint now {10s};
    std::vector<TimePoint> starts;
    auto note = [&](const std::vector<AdmissionEffect> &effects) {
        for (const AdmissionEffect &effect : effects) {
            if (const StartCall *started = std::get_if<StartCall>(&effect)) {
                starts.push_back(now);
                admission.finish(now, started->ticket, {WorkOutcome::Completed, 20ms, {}, false});
            }
        }
    };
    admission.setColdPace(bearable);
    for (int i = 0; i < 3000; ++i) {
        now += Duration(random() % 4000);
        note(admission.arrive(now, arrivalOf(1s)));
        note(admission.tick(now));
    }
    CHECK(starts.size() > 100);
    CHECK(mostInOneSecond(starts) <= static_cast<std::size_t>(bearable));
}

TEST_CASE("the starts at a cold backend server are spread over each second")
{
    // Load: at all times more than it bears.
    ColdPace pace;
    pace.setRate(bearable);
    std::vector<TimePoint> starts;
    for (TimePoint now {10s}; now < TimePoint {20s}; now += 1ms) {
        if (!pace.mayStart(now))
            continue;
        pace.onStart(now);
        starts.push_back(now);
    }
    CHECK(starts.size() > 0.9 * bearable * 10);
    for (std::size_t i = 1; i < starts.size(); ++i)
        CHECK(starts[i] - starts[i - 1] <= 200ms);
}

TEST_CASE("starts before the cold start count: the first cold second is no full second on top")
{
    ColdPace pace;
    TimePoint now {10s};
    for (int i = 0; i < 100; ++i) {
        CHECK(pace.mayStart(now));
        pace.onStart(now);
        now += 5ms;
    }
    pace.setRate(bearable);
    CHECK_FALSE(pace.mayStart(now));
    CHECK(pace.mayStart(now + 1100ms));
}

TEST_CASE("a stated number of slots replaces the learned limit")
{
    TargetAdmission admission;
    admission.setSlots(3);
    TimePoint now {1s};
    std::vector<Ticket> running;
    for (int i = 0; i < 3; ++i)
        CHECK(std::holds_alternative<StartCall>(admission.arrive(now, arrivalOf(5s)).front()));
    CHECK(std::holds_alternative<QueueCall>(admission.arrive(now, arrivalOf(5s)).front()));
    CHECK(admission.inFlight() == 3);
}

TEST_CASE("when a backend server leaves, the calls that wait are refused at once as not run")
{
    TargetAdmission admission;
    admission.setSlots(1);
    TimePoint now {1s};
    admission.arrive(now, arrivalOf(5s));
    admission.arrive(now, arrivalOf(5s));
    auto effects = admission.refuseWaiting(ErrorKind::TargetLeaving);
    REQUIRE(effects.size() == 1);
    const RefuseCall *refused = std::get_if<RefuseCall>(&effects.front());
    REQUIRE(refused);
    CHECK((responseFor(refused->kind).execution == Execution::NotRun));
    CHECK((responseFor(refused->kind).rechoice == Rechoice::Free));
    CHECK(admission.queued() == 0);
}
