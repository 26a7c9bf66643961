// Stateful fuzz test of TargetAdmission. The commands are arrivals of all classes, all outcomes of
// a call, callers that cancel, and the passing of time. The oracle tracks the state of each call
// and compares it with the effects that the admission returns.

#include "support.h"

#include "ibiswell/decisions/target_admission.h"

#include <map>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

struct CallRecord
{
    enum State { Waiting, Running, Ended } state = Waiting;
    TimePoint deadline;
};

struct System
{
    TimePoint now {1s};
    TargetAdmission admission;
    std::map<Ticket, CallRecord> calls;

    void apply(const std::vector<AdmissionEffect> &effects)
    {
        for (const AdmissionEffect &effect : effects)
            std::visit([this](const auto &e) { onEffect(e); }, effect);
        int running = 0;
        std::size_t waiting = 0;
        for (const auto &[ticket, record] : calls) {
            running += record.state == CallRecord::Running ? 1 : 0;
            waiting += record.state == CallRecord::Waiting ? 1 : 0;
        }
        RC_ASSERT(running == admission.inFlight());
        RC_ASSERT(waiting == admission.queued());
    }
    void onEffect(const StartCall &start)
    {
        CallRecord &record = calls.at(start.ticket);
        RC_ASSERT(record.state == CallRecord::Waiting);
        RC_ASSERT(now < record.deadline);
        record.state = CallRecord::Running;
        RC_ASSERT(admission.inFlight() <= std::max(admission.limit(), highestLimit));
    }
    void onEffect(const QueueCall &) { }
    void onEffect(const RefuseCall &refuse)
    {
        RC_ASSERT(calls.at(refuse.ticket).state == CallRecord::Waiting);
        calls.at(refuse.ticket).state = CallRecord::Ended;
    }
    std::vector<Ticket> ticketsInState(CallRecord::State state) const
    {
        std::vector<Ticket> tickets;
        for (const auto &[ticket, record] : calls) {
            if (record.state == state)
                tickets.push_back(ticket);
        }
        return tickets;
    }
    /** Highest limit so far. Calls that started under it keep running when the limit falls. */
    int highestLimit = 0;
};

struct Empty
{
};
using Command = rc::state::Command<Empty, System>;

struct Arrive : Command
{
    int priority = *rc::gen::inRange(0, 4);
    int team = *rc::gen::inRange(0, 3);
    int draw = *rc::gen::inRange(0, 100);
    int milliseconds = *rc::gen::inRange(1, 500);
    void run(const Empty &, System &system) const override
    {
        Arrival arrival;
        arrival.route = "route";
        arrival.context.team = std::to_string(team);
        arrival.context.priority = static_cast<PriorityClass>(priority);
        arrival.context.admissionDraw = draw / 100.0;
        arrival.context.remainingTime = std::chrono::milliseconds(milliseconds);
        system.highestLimit = std::max(system.highestLimit, system.admission.limit());
        auto effects = system.admission.arrive(system.now, arrival);
        Ticket ticket = std::visit([](const auto &e) { return e.ticket; }, effects.front());
        RC_ASSERT(!system.calls.contains(ticket));
        system.calls[ticket] = {CallRecord::Waiting, system.now + arrival.context.remainingTime};
        system.apply(effects);
    }
};

struct End : Command
{
    std::size_t pick = *rc::gen::inRange<std::size_t>(0, 100);
    int outcome = *rc::gen::inRange(0, 8);
    void run(const Empty &, System &system) const override
    {
        std::vector<Ticket> running = system.ticketsInState(CallRecord::Running);
        if (running.empty())
            return;
        Ticket ticket = running[pick % running.size()];
        system.calls[ticket].state = CallRecord::Ended;
        WorkOutcome workOutcome = outcome == 0 ? WorkOutcome::Shed
            : outcome == 1                     ? WorkOutcome::Failed
                                               : WorkOutcome::Completed;
        system.highestLimit = std::max(system.highestLimit, system.admission.limit());
        system.apply(
            system.admission.finish(system.now, ticket, {workOutcome, 10ms, {}, outcome == 2}));
    }
};

struct Abandon : Command
{
    std::size_t pick = *rc::gen::inRange<std::size_t>(0, 100);
    void run(const Empty &, System &system) const override
    {
        std::vector<Ticket> waiting = system.ticketsInState(CallRecord::Waiting);
        if (waiting.empty())
            return;
        Ticket ticket = waiting[pick % waiting.size()];
        system.admission.abandon(ticket);
        system.calls[ticket].state = CallRecord::Ended;
        system.apply({});
    }
};

struct Advance : Command
{
    int milliseconds = *rc::gen::inRange(0, 100);
    void run(const Empty &, System &system) const override
    {
        system.now += std::chrono::milliseconds(milliseconds);
        system.apply(system.admission.tick(system.now));
        for (Ticket ticket : system.ticketsInState(CallRecord::Waiting))
            RC_ASSERT(system.now < system.calls.at(ticket).deadline);
    }
};

} // namespace

TEST_CASE(
    "each call gets exactly one decision, none starts after its deadline, and no slot is lost")
{
    CHECK_PROPERTY([] {
        System system;
        rc::state::check(Empty {}, system,
                         rc::state::gen::execOneOfWithArgs<Arrive, Arrive, Arrive, End, End,
                                                           Abandon, Advance>());
    });
}
