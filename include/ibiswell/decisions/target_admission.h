#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/request.h"
#include "ibiswell/decisions/cold_pace.h"
#include "ibiswell/decisions/concurrency_limit.h"
#include "ibiswell/decisions/demand_shares.h"
#include "ibiswell/decisions/fair_queue.h"

#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace ibiswell {

/** A call that arrives at the node of its target. */
struct Arrival
{
    std::string route;
    CallContext context;
    double weight = 1; ///< Of the team.
    /** What the calls below of this route and team are known to take, see PathTable. */
    double downstreamFraction = 1;
};

/** The call goes to the backend server now. */
struct StartCall
{
    Ticket ticket;
};

/** The call waits; a later effect starts or refuses it. */
struct QueueCall
{
    Ticket ticket;
};

/** The call is refused; it has not run. */
struct RefuseCall
{
    Ticket ticket;
    ErrorKind kind;
};

using AdmissionEffect = std::variant<StartCall, QueueCall, RefuseCall>;

/** How a started call ended. */
struct WorkResult
{
    WorkOutcome outcome = WorkOutcome::Completed;
    Duration slotTime {}; ///< From start to end at the backend server.
    Duration downstreamWait {}; ///< Part of it spent waiting for calls to other services.
    bool abandoned = false; ///< Cancelled or timed out: frees the slot, teaches nothing.
};

/**
 * Decides at the node beside a backend server which calls run, wait or are refused.
 *
 * Guarantees: at most limit() calls run at once; a refused call has not run; no call is started
 * whose time left is shorter than its route's time at an idle backend server.
 */
class TargetAdmission
{
public:
    /** States how many calls the backend server runs at once, in place of a learned limit. */
    void setSlots(int slots) { m_slots = slots; }
    /** Bounds the starts a second while the backend server is cold; 0: not bounded. */
    void setColdStartRate(double startsPerSecond) { m_pacer.setRate(startsPerSecond); }
    /** Refuses all calls that wait, for example since the backend server leaves. */
    std::vector<AdmissionEffect> refuseWaiting(ErrorKind kind);

    /** The first effect is the arriving call's own; others concern calls that it displaced. */
    std::vector<AdmissionEffect> arrive(TimePoint now, const Arrival &arrival);

    /** A started call ended; the effects start or refuse calls that waited. */
    std::vector<AdmissionEffect> finish(TimePoint now, Ticket ticket, const WorkResult &end);

    /** A waiting call's caller went away. */
    void abandon(Ticket ticket);

    /** Refuses the waiting calls whose deadline has passed. */
    std::vector<AdmissionEffect> tick(TimePoint now);

    /** What goes back to a caller; pathFraction covers this target alone. */
    LoadReport report(PriorityClass priority, const std::string &team) const;
    /** The fraction that an admitted call hands on to its calls below. */
    double forwardedFraction(const Arrival &arrival) const;

    int limit() const { return m_slots > 0 ? m_slots : m_limit.limit(); }
    int inFlight() const { return static_cast<int>(m_running.size()); }
    std::size_t queued() const { return m_queue.size(); }
    double worstFraction() const { return m_shares.worstFraction(); }
    const ConcurrencyLimit &learnedLimit() const { return m_limit; }

private:
    struct Running
    {
        std::string route;
        std::string team;
        PriorityClass priority;
        double weight;
        int inFlightAtStart;
        Duration charged; ///< Slot time charged to the team when the call started.
        std::uint64_t start; ///< Of ConcurrencyLimit::onStart().
    };
    struct Queued
    {
        std::string route;
        bool unsheddable;
    };

    std::vector<AdmissionEffect> refuse(Ticket ticket, ErrorKind kind) const;
    std::vector<AdmissionEffect> enqueue(const Arrival &arrival, WaitingCall call);
    void start(TimePoint now, const std::string &route, const WaitingCall &call);
    bool canStartCall(TimePoint now) { return inFlight() < limit() && m_pacer.mayStart(now); }
    /** Calls that may run at once: the limit, or what the pace of a cold server comes to. */
    double sustainableConcurrency() const;
    void startWaiting(TimePoint now, std::vector<AdmissionEffect> &effects);
    Duration expectedSlotTime(const std::string &route) const;
    Duration queueDelay(PriorityClass priority) const;
    /** Whether a call that finds the queue full of calls that stay is still served soon. */
    bool isServedSoon(const WaitingCall &call) const;
    Duration maximumQueueDelay(const CallContext &context) const;
    TargetOccupancy occupancy() const;
    void recordSlotTime(const std::string &route, Duration slotTime);

    ConcurrencyLimit m_limit;
    ColdPace m_pacer;
    int m_slots = 0; ///< 0: not stated.
    DemandShares m_shares;
    FairQueue m_queue;
    std::unordered_map<Ticket, Running> m_running;
    std::unordered_map<Ticket, Queued> m_waiting;
    std::map<std::string, double, std::less<>> m_slotSeconds; ///< By route, moving average.
    double m_meanSlotSeconds = 0;
    Ticket m_nextTicket = 1;
};

} // namespace ibiswell
