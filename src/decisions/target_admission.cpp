#include "ibiswell/decisions/target_admission.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration slotTimeBeforeLearned = 5ms;
constexpr Duration defaultMaximumQueueDelay = 60ms;
/** Part of the mean slot time that a call may wait where calls are long. */
constexpr double queueDelayPerSlotTime = 0.5;
/** Part of its remaining time that an unsheddable call may wait. */
constexpr double queueFractionOfRemainingTime = 0.2;
constexpr double slotTimeSmoothing = 0.05; // weight of a new sample in the moving average
constexpr double minimumConcurrency = 0.05; // in calls
constexpr int callsBeforeFirstResponse = 4; // in flight
/** Factor on the fraction for downstream calls: refusing them wastes their callers' work. */
constexpr double downstreamCallFactor = 1.15;

bool isAdmitted(const CallContext &context, double fraction)
{
    if (context.unsheddable)
        return true;
    double bound = context.depth > 0 ? fraction * downstreamCallFactor : fraction;
    return context.admissionDraw < bound;
}

} // namespace

std::vector<AdmissionEffect> TargetAdmission::refuse(Ticket ticket, ErrorKind kind) const
{
    return {RefuseCall {ticket, kind}};
}

Duration TargetAdmission::expectedSlotTime(const std::string &route) const
{
    auto found = m_slotSeconds.find(route);
    if (found != m_slotSeconds.end())
        return fromSeconds(found->second);
    return m_meanSlotSeconds > 0 ? fromSeconds(m_meanSlotSeconds) : slotTimeBeforeLearned;
}

Duration TargetAdmission::queueDelay(PriorityClass priority) const
{
    double calls = static_cast<double>(m_queue.sizeAtOrAbove(priority));
    return fromSeconds(calls * m_meanSlotSeconds / sustainableConcurrency());
}

int TargetAdmission::limit() const
{
    int limit = std::min(slots(), m_nodeLoad.limit().value_or(slots()));
    return m_isFirstResponseAwaited ? std::min(limit, callsBeforeFirstResponse) : limit;
}

bool TargetAdmission::canStartCall(TimePoint now)
{
    return inFlight() < limit() && m_statedRate.mayStart(now) && m_pacer.mayStart(now);
}

std::optional<double> TargetAdmission::startRate() const
{
    std::optional<double> rate;
    if (m_pacer.isBounded())
        rate = m_pacer.rate();
    if (m_statedRate.isBounded())
        rate = std::min(m_statedRate.rate(), rate.value_or(m_statedRate.rate()));
    return rate;
}

double TargetAdmission::sustainableConcurrency() const
{
    double concurrency = limit();
    if (std::optional<double> rate = startRate())
        concurrency = std::min(concurrency, *rate * m_meanSlotSeconds);
    return std::max(concurrency, minimumConcurrency);
}

TargetOccupancy TargetAdmission::occupancy() const
{
    bool limitIsConfirmed = m_slots > 0 || m_limit.isConfirmed();
    return {limit(), limitIsConfirmed, inFlight(), queueDelay(PriorityClass::Bulk)};
}

void TargetAdmission::recordSlotTime(const std::string &route, Duration slotTime)
{
    double seconds = inSeconds(slotTime);
    auto [it, isNew] = m_slotSeconds.emplace(route, seconds);
    if (!isNew)
        it->second += slotTimeSmoothing * (seconds - it->second);
    if (m_meanSlotSeconds <= 0)
        m_meanSlotSeconds = seconds;
    m_meanSlotSeconds += slotTimeSmoothing * (seconds - m_meanSlotSeconds);
}

std::vector<AdmissionEffect> TargetAdmission::arrive(TimePoint now, const Arrival &arrival)
{
    const CallContext &context = arrival.context;
    Duration slotTime = expectedSlotTime(arrival.route);
    Ticket ticket = m_nextTicket++;
    m_shares.onArrival(now, context, arrival.weight, slotTime);
    m_shares.refresh(now, occupancy());
    if (context.remainingTime <= m_limit.baseTime(arrival.route))
        return refuse(ticket, ErrorKind::DeadlineTooShort);
    if (!isAdmitted(context, m_shares.fraction(context.priority, context.team)))
        return refuse(ticket, ErrorKind::TargetOverloaded);
    if (!isAdmitted(context, arrival.downstreamFraction))
        return refuse(ticket, ErrorKind::PathOverloaded);
    WaitingCall call {ticket,        context.team,   context.priority,
                      context.depth, arrival.weight, now + context.remainingTime,
                      slotTime};
    if (m_queue.size() == 0 && canStartCall(now)) {
        m_queue.charge(call.priority, call.team, call.weight, slotTime);
        start(now, arrival.route, call);
        return {StartCall {ticket}};
    }
    return enqueue(arrival, std::move(call));
}

std::vector<AdmissionEffect> TargetAdmission::enqueue(const Arrival &arrival, WaitingCall call)
{
    Ticket ticket = call.ticket;
    Duration delay = queueDelay(call.priority);
    Duration maximumDelay = maximumQueueDelay(arrival.context);
    if (delay + m_limit.baseTime(arrival.route) >= arrival.context.remainingTime)
        return refuse(ticket, ErrorKind::DeadlineTooShort);
    std::vector<AdmissionEffect> effects {QueueCall {ticket}};
    if (queueDelay(PriorityClass::Bulk) > maximumDelay) {
        std::optional<WaitingCall> evicted = m_queue.evictFor(call);
        if (!evicted && !isServedSoon(call))
            return refuse(ticket, ErrorKind::QueueFull);
        if (evicted) {
            m_waiting.erase(evicted->ticket);
            effects.push_back(RefuseCall {evicted->ticket, ErrorKind::QueueFull});
        }
    }
    m_waiting[ticket] = {arrival.route, arrival.context.unsheddable};
    m_queue.push(std::move(call));
    return effects;
}

bool TargetAdmission::isServedSoon(const WaitingCall &call) const
{
    bool staysFull = std::any_of(m_waiting.begin(), m_waiting.end(),
                                 [](const auto &item) { return item.second.unsheddable; });
    return staysFull && m_queue.isNextToServe(call);
}

/** An unsheddable call may wait longer: refusing it wastes the work of its upstream callers. */
Duration TargetAdmission::maximumQueueDelay(const CallContext &context) const
{
    Duration usualMaximum =
        std::max(defaultMaximumQueueDelay, fromSeconds(queueDelayPerSlotTime * m_meanSlotSeconds));
    if (!context.unsheddable)
        return usualMaximum;
    return std::max(usualMaximum,
                    fromSeconds(queueFractionOfRemainingTime * inSeconds(context.remainingTime)));
}

void TargetAdmission::start(TimePoint now, const std::string &route, const WaitingCall &call)
{
    m_pacer.onStart(now);
    m_statedRate.onStart(now);
    Running running {route,
                     call.team,
                     call.priority,
                     call.weight,
                     inFlight() + 1,
                     call.expectedSlotTime,
                     m_limit.onStart()};
    m_running.emplace(call.ticket, std::move(running));
}

std::vector<AdmissionEffect> TargetAdmission::finish(TimePoint now, Ticket ticket,
                                                     const WorkResult &result)
{
    std::vector<AdmissionEffect> effects;
    auto found = m_running.find(ticket);
    if (found == m_running.end())
        return effects;
    Running call = std::move(found->second);
    m_running.erase(found);
    m_queue.charge(call.priority, call.team, call.weight, result.slotTime - call.charged);
    if (result.outcome != WorkOutcome::Failed)
        m_isFirstResponseAwaited = false;
    if (!result.abandoned) {
        if (result.outcome == WorkOutcome::Completed)
            recordSlotTime(call.route, result.slotTime);
        m_limit.onSample({call.route, result.slotTime, result.downstreamWait, result.outcome,
                          call.inFlightAtStart, call.startNumber});
    }
    startWaiting(now, effects);
    return effects;
}

void TargetAdmission::startWaiting(TimePoint now, std::vector<AdmissionEffect> &effects)
{
    while (canStartCall(now)) {
        std::optional<WaitingCall> call = m_queue.pop();
        if (!call)
            return;
        std::string route = std::move(m_waiting[call->ticket].route);
        m_waiting.erase(call->ticket);
        if (now + m_limit.baseTime(route) >= call->deadline) {
            m_queue.charge(call->priority, call->team, call->weight, -call->expectedSlotTime);
            effects.push_back(RefuseCall {call->ticket, ErrorKind::DeadlineTooShort});
            continue;
        }
        start(now, route, *call);
        effects.push_back(StartCall {call->ticket});
    }
}

std::vector<AdmissionEffect> TargetAdmission::refuseWaiting(ErrorKind kind)
{
    std::vector<AdmissionEffect> effects;
    for (const auto &[ticket, waiting] : m_waiting) {
        m_queue.remove(ticket);
        effects.push_back(RefuseCall {ticket, kind});
    }
    m_waiting.clear();
    return effects;
}

void TargetAdmission::abandon(Ticket ticket)
{
    m_queue.remove(ticket);
    m_waiting.erase(ticket);
}

std::vector<AdmissionEffect> TargetAdmission::tick(TimePoint now)
{
    std::vector<AdmissionEffect> effects;
    for (const WaitingCall &expired : m_queue.removeExpiredCalls(now)) {
        m_waiting.erase(expired.ticket);
        effects.push_back(RefuseCall {expired.ticket, ErrorKind::DeadlineTooShort});
    }
    m_shares.refresh(now, occupancy());
    startWaiting(now, effects);
    return effects;
}

double TargetAdmission::forwardedFraction(const Arrival &arrival) const
{
    const CallContext &context = arrival.context;
    return std::min({context.admittedFraction, arrival.downstreamFraction,
                     m_shares.fraction(context.priority, context.team)});
}

LoadReport TargetAdmission::report(PriorityClass priority, const std::string &team) const
{
    LoadReport report;
    report.pathFraction = m_shares.fraction(priority, team);
    report.inFlight = static_cast<std::uint32_t>(inFlight());
    report.queued = static_cast<std::uint32_t>(m_queue.size());
    report.limit = static_cast<std::uint32_t>(std::max(1.0, sustainableConcurrency()));
    report.serviceTime =
        m_meanSlotSeconds > 0 ? fromSeconds(m_meanSlotSeconds) : slotTimeBeforeLearned;
    // When the start rate of a backend server keeps at most one slot busy, calls follow each
    // other at the interval between two starts.
    std::optional<double> rate = startRate();
    if (rate && sustainableConcurrency() <= 1)
        report.serviceTime = std::max(report.serviceTime, fromSeconds(1 / *rate));
    return report;
}

} // namespace ibiswell
