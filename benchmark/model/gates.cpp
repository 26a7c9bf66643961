#include "gates.h"

#include <algorithm>

namespace ibiswell::model {

namespace {

using namespace std::chrono_literals;
using Effects = std::vector<AdmissionEffect>;

constexpr std::size_t staticQueueLength = 400;
constexpr Duration codelTarget = 5ms;
constexpr Duration codelInterval = 100ms;

struct Arrive
{
    TimePoint now;
    const Arrival &arrival;

    Effects operator()(TargetAdmission &gate) const { return gate.arrive(now, arrival); }
    Effects operator()(OpenGate &gate) const { return {StartCall {gate.nextTicket++}}; }
    Effects operator()(StaticGate &gate) const
    {
        Ticket ticket = gate.nextTicket++;
        if (gate.running < gate.limit) {
            ++gate.running;
            return {StartCall {ticket}};
        }
        if (gate.queue.size() >= staticQueueLength)
            return {RefuseCall {ticket, ErrorKind::QueueFull}};
        gate.queue.push_back(ticket);
        return {QueueCall {ticket}};
    }
    Effects operator()(AimdGate &gate) const
    {
        Ticket ticket = gate.nextTicket++;
        if (gate.running >= static_cast<int>(gate.limit))
            return {RefuseCall {ticket, ErrorKind::QueueFull}};
        ++gate.running;
        return {StartCall {ticket}};
    }
    Effects operator()(CodelGate &gate) const
    {
        Ticket ticket = gate.nextTicket++;
        if (gate.queue.empty())
            gate.lastShort = now;
        if (gate.running < gate.limit) {
            ++gate.running;
            return {StartCall {ticket}};
        }
        gate.queue.push_back({ticket, now});
        return {QueueCall {ticket}};
    }
};

struct Finish
{
    TimePoint now;
    Ticket ticket;
    const WorkResult &end;

    Effects operator()(TargetAdmission &gate) const { return gate.finish(now, ticket, end); }
    Effects operator()(OpenGate &) const { return {}; }
    Effects operator()(StaticGate &gate) const
    {
        --gate.running;
        if (gate.queue.empty())
            return {};
        Ticket next = gate.queue.front();
        gate.queue.pop_front();
        ++gate.running;
        return {StartCall {next}};
    }
    Effects operator()(AimdGate &gate) const
    {
        --gate.running;
        bool bad = end.outcome != WorkOutcome::Completed || end.slotTime > gate.slow;
        gate.limit = bad ? std::max(4.0, gate.limit * 0.9) : gate.limit + 1 / gate.limit;
        return {};
    }
    Effects operator()(CodelGate &gate) const
    {
        --gate.running;
        Effects effects;
        bool overloaded = now - gate.lastShort > codelInterval;
        Duration patience = overloaded ? codelTarget : codelInterval;
        while (!gate.queue.empty() && now - gate.queue.front().since > patience) {
            effects.push_back(RefuseCall {gate.queue.front().ticket, ErrorKind::QueueFull});
            gate.queue.pop_front();
        }
        if (gate.queue.empty()) {
            gate.lastShort = now;
            return effects;
        }
        Ticket next = overloaded ? gate.queue.back().ticket : gate.queue.front().ticket;
        if (overloaded)
            gate.queue.pop_back();
        else
            gate.queue.pop_front();
        ++gate.running;
        effects.push_back(StartCall {next});
        return effects;
    }
};

} // namespace

Effects arrive(Gate &gate, TimePoint now, const Arrival &arrival)
{
    return std::visit(Arrive {now, arrival}, gate);
}

Effects finish(Gate &gate, TimePoint now, Ticket ticket, const WorkResult &end)
{
    return std::visit(Finish {now, ticket, end}, gate);
}

Effects tick(Gate &gate, TimePoint now)
{
    TargetAdmission *admission = std::get_if<TargetAdmission>(&gate);
    return admission ? admission->tick(now) : Effects {};
}

void abandon(Gate &gate, Ticket ticket)
{
    if (TargetAdmission *admission = std::get_if<TargetAdmission>(&gate))
        admission->abandon(ticket);
}

LoadReport report(const Gate &gate, const CallContext &context)
{
    if (const auto *admission = std::get_if<TargetAdmission>(&gate))
        return admission->report(context.priority, context.team);
    return LoadReport {1, 0, 0, 1, 5ms}; // baselines tell nothing of their load
}

} // namespace ibiswell::model
