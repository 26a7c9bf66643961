#include "limiters.h"

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

    Effects operator()(TargetAdmission &limiter) const { return limiter.arrive(now, arrival); }
    Effects operator()(NoLimiter &limiter) const { return {StartCall {limiter.nextTicket++}}; }
    Effects operator()(StaticLimiter &limiter) const
    {
        Ticket ticket = limiter.nextTicket++;
        if (limiter.running < limiter.limit) {
            ++limiter.running;
            return {StartCall {ticket}};
        }
        if (limiter.queue.size() >= staticQueueLength)
            return {RefuseCall {ticket, ErrorKind::QueueFull}};
        limiter.queue.push_back(ticket);
        return {QueueCall {ticket}};
    }
    Effects operator()(AimdLimiter &limiter) const
    {
        Ticket ticket = limiter.nextTicket++;
        if (limiter.running >= static_cast<int>(limiter.limit))
            return {RefuseCall {ticket, ErrorKind::QueueFull}};
        ++limiter.running;
        return {StartCall {ticket}};
    }
    Effects operator()(CodelLimiter &limiter) const
    {
        Ticket ticket = limiter.nextTicket++;
        if (limiter.queue.empty())
            limiter.lastEmpty = now;
        if (limiter.running < limiter.limit) {
            ++limiter.running;
            return {StartCall {ticket}};
        }
        limiter.queue.push_back({ticket, now});
        return {QueueCall {ticket}};
    }
};

struct Finish
{
    TimePoint now;
    Ticket ticket;
    const WorkResult &result;

    Effects operator()(TargetAdmission &limiter) const
    {
        return limiter.finish(now, ticket, result);
    }
    Effects operator()(NoLimiter &) const { return {}; }
    Effects operator()(StaticLimiter &limiter) const
    {
        --limiter.running;
        if (limiter.queue.empty())
            return {};
        Ticket next = limiter.queue.front();
        limiter.queue.pop_front();
        ++limiter.running;
        return {StartCall {next}};
    }
    Effects operator()(AimdLimiter &limiter) const
    {
        --limiter.running;
        bool bad = result.outcome != WorkOutcome::Completed || result.slotTime > limiter.slow;
        limiter.limit =
            bad ? std::max(4.0, limiter.limit * 0.9) : limiter.limit + 1 / limiter.limit;
        return {};
    }
    Effects operator()(CodelLimiter &limiter) const
    {
        --limiter.running;
        Effects effects;
        bool overloaded = now - limiter.lastEmpty > codelInterval;
        Duration maximumWait = overloaded ? codelTarget : codelInterval;
        while (!limiter.queue.empty() && now - limiter.queue.front().since > maximumWait) {
            effects.push_back(RefuseCall {limiter.queue.front().ticket, ErrorKind::QueueFull});
            limiter.queue.pop_front();
        }
        if (limiter.queue.empty()) {
            limiter.lastEmpty = now;
            return effects;
        }
        Ticket next = overloaded ? limiter.queue.back().ticket : limiter.queue.front().ticket;
        if (overloaded)
            limiter.queue.pop_back();
        else
            limiter.queue.pop_front();
        ++limiter.running;
        effects.push_back(StartCall {next});
        return effects;
    }
};

} // namespace

Effects arrive(Limiter &limiter, TimePoint now, const Arrival &arrival)
{
    return std::visit(Arrive {now, arrival}, limiter);
}

Effects finish(Limiter &limiter, TimePoint now, Ticket ticket, const WorkResult &result)
{
    return std::visit(Finish {now, ticket, result}, limiter);
}

Effects tick(Limiter &limiter, TimePoint now)
{
    TargetAdmission *admission = std::get_if<TargetAdmission>(&limiter);
    return admission ? admission->tick(now) : Effects {};
}

void abandon(Limiter &limiter, Ticket ticket)
{
    if (TargetAdmission *admission = std::get_if<TargetAdmission>(&limiter))
        admission->abandon(ticket);
}

LoadReport report(const Limiter &limiter, const CallContext &context)
{
    if (const auto *admission = std::get_if<TargetAdmission>(&limiter))
        return admission->report(context.priority, context.team);
    return LoadReport {1, 0, 0, 1, 5ms}; // The baselines do not report their load.
}

} // namespace ibiswell::model
