#include "ibiswell/decisions/target_admission.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

Arrival makeArrival(const std::string &team, PriorityClass priority, Duration remainingTime = 1s)
{
    Arrival arrival;
    arrival.route = "route";
    arrival.context.team = team;
    arrival.context.priority = priority;
    arrival.context.remainingTime = remainingTime;
    return arrival;
}

Ticket ticketOf(const AdmissionEffect &effect)
{
    return std::visit([](const auto &e) { return e.ticket; }, effect);
}

/** Runs calls one after another, so that the admission learns the route's time. */
void learn(TargetAdmission &admission, TimePoint &now, Duration time)
{
    for (int i = 0; i < 20; ++i) {
        auto effects = admission.arrive(now, makeArrival("learner", PriorityClass::Normal, 10s));
        now += time;
        admission.finish(now, ticketOf(effects.front()), {WorkOutcome::Completed, time, {}, false});
    }
}

} // namespace

TEST_CASE("calls beyond the limit wait, and the most important goes first")
{
    TargetAdmission admission;
    TimePoint now {1s};
    std::vector<Ticket> running;
    running.reserve(static_cast<std::size_t>(admission.limit()));
    for (int i = 0; i < admission.limit(); ++i)
        running.push_back(
            ticketOf(admission.arrive(now, makeArrival("a", PriorityClass::Bulk)).front()));
    auto bulk = admission.arrive(now, makeArrival("a", PriorityClass::Bulk));
    auto order = admission.arrive(now, makeArrival("a", PriorityClass::Critical));
    CHECK(std::holds_alternative<QueueCall>(bulk.front()));
    CHECK(std::holds_alternative<QueueCall>(order.front()));
    auto effects =
        admission.finish(now + 5ms, running[0], {WorkOutcome::Completed, 5ms, {}, false});
    REQUIRE(effects.size() == 1);
    CHECK(std::holds_alternative<StartCall>(effects[0]));
    CHECK(ticketOf(effects[0]) == ticketOf(order.front()));
}

TEST_CASE("a call that cannot finish before its deadline is not started")
{
    TargetAdmission admission;
    TimePoint now {1s};
    learn(admission, now, 50ms);
    auto effects = admission.arrive(now, makeArrival("a", PriorityClass::Critical, 20ms));
    REQUIRE(std::holds_alternative<RefuseCall>(effects.front()));
    CHECK(bool(std::get<RefuseCall>(effects.front()).kind == ErrorKind::DeadlineTooShort));
}

TEST_CASE("a call that waited past its deadline is refused, not started")
{
    TargetAdmission admission;
    TimePoint now {1s};
    for (int i = 0; i < admission.limit(); ++i)
        admission.arrive(now, makeArrival("a", PriorityClass::Normal));
    auto waiting = admission.arrive(now, makeArrival("a", PriorityClass::Normal, 30ms));
    auto effects = admission.tick(now + 40ms);
    REQUIRE(effects.size() == 1);
    CHECK(std::holds_alternative<RefuseCall>(effects[0]));
    CHECK(ticketOf(effects[0]) == ticketOf(waiting.front()));
}

TEST_CASE("a call that downstream targets would refuse is refused before any work")
{
    TargetAdmission admission;
    Arrival arrival = makeArrival("a", PriorityClass::Normal);
    arrival.downstreamFraction = 0.3;
    arrival.context.admissionDraw = 0.5;
    auto effects = admission.arrive(TimePoint {1s}, arrival);
    REQUIRE(std::holds_alternative<RefuseCall>(effects.front()));
    CHECK(bool(std::get<RefuseCall>(effects.front()).kind == ErrorKind::PathOverloaded));
    CHECK(admission.inFlight() == 0);
}

TEST_CASE("an abandoned call frees its slot and is not measured")
{
    TargetAdmission admission;
    TimePoint now {1s};
    auto effects = admission.arrive(now, makeArrival("a", PriorityClass::Normal));
    admission.finish(now + 1ms, ticketOf(effects.front()), {WorkOutcome::Failed, 1ms, {}, true});
    CHECK(admission.inFlight() == 0);
    CHECK(admission.learnedLimit().baseTime("route") == Duration::zero());
}

TEST_CASE("teams of one class share a busy target by slot time, not by count")
{
    FairQueue queue;
    for (Ticket ticket = 1; ticket <= 40; ++ticket)
        queue.push({ticket, "many", PriorityClass::Normal, 0, 1, TimePoint {1h}, 10ms});
    for (Ticket ticket = 41; ticket <= 44; ++ticket)
        queue.push({ticket, "long", PriorityClass::Normal, 0, 1, TimePoint {1h}, 100ms});
    double manySeconds = 0;
    double longSeconds = 0;
    for (int i = 0; i < 22; ++i) {
        auto call = queue.pop();
        REQUIRE(call);
        (call->team == "many" ? manySeconds : longSeconds) += inSeconds(call->expectedSlotTime);
    }
    CHECK(manySeconds == doctest::Approx(longSeconds).epsilon(0.5));
}

// Guards against unsheddable downstream calls that keep the queue full, so that the requests of a
// team to the same target are refused.
TEST_CASE("a team's requests are served at a target whose queue is full of unsheddable calls")
{
    // The load is twice as many downstream calls as the target can handle, and an occasional
    // request of a team of the same class.
    TargetAdmission admission;
    admission.setSlots(4);
    TimePoint now {10s};
    std::map<Ticket, TimePoint> running; // with the time at which each ends
    std::set<Ticket> teamTickets;
    int refused = 0;
    int started = 0;
    auto record = [&](const std::vector<AdmissionEffect> &effects) {
        for (const AdmissionEffect &effect : effects) {
            Ticket ticket = std::visit([](const auto &e) { return e.ticket; }, effect);
            if (std::holds_alternative<StartCall>(effect)) {
                running[ticket] = now + 20ms;
                started += teamTickets.contains(ticket) ? 1 : 0;
            }
            if (std::holds_alternative<RefuseCall>(effect))
                refused += teamTickets.contains(ticket) ? 1 : 0;
        }
    };
    for (int i = 0; i < 4000; ++i) {
        now += 2500us;
        for (auto it = running.begin(); it != running.end();) {
            auto next = std::next(it);
            if (it->second <= now) {
                Ticket ticket = it->first;
                running.erase(it);
                record(admission.finish(now, ticket, {WorkOutcome::Completed, 20ms, {}, false}));
                next = running.begin();
            }
            it = next;
        }
        Arrival downstream;
        downstream.route = "below";
        downstream.context.remainingTime = 700ms;
        downstream.context.depth = 1;
        downstream.context.unsheddable = true;
        record(admission.arrive(now, downstream));
        if (i % 40 == 39) {
            Arrival own;
            own.route = "refund";
            own.context.team = "club";
            own.context.remainingTime = 600ms;
            std::vector<AdmissionEffect> effects = admission.arrive(now, own);
            teamTickets.insert(std::visit([](const auto &e) { return e.ticket; }, effects.front()));
            record(effects);
        }
        record(admission.tick(now));
    }
    CHECK(teamTickets.size() == 100);
    CHECK(started >= 95);
    CHECK(refused <= 5);
}
