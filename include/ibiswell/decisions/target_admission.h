#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/request.h"
#include "ibiswell/decisions/cold_start_pacer.h"
#include "ibiswell/decisions/concurrency_limit.h"
#include "ibiswell/decisions/demand_shares.h"
#include "ibiswell/decisions/fair_queue.h"
#include "ibiswell/decisions/node_load_limit.h"
#include "ibiswell/decisions/stated_rate_limit.h"

#include <map>
#include <optional>
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
    double weight = 1; ///< Weight of the team.
    /** Fraction that downstream targets admit of this route's and team's calls, see PathTable. */
    double downstreamFraction = 1;
};

/** Effect: the call goes to the backend server now. */
struct StartCall
{
    Ticket ticket;
};

/** Effect: the call waits; a later effect starts or refuses it. */
struct QueueCall
{
    Ticket ticket;
};

/** Effect: the call is refused; it has not run. */
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
    Duration downstreamWait {}; ///< Part of the slot time spent waiting for downstream calls.
    bool abandoned = false; ///< Cancelled or timed out: frees the slot, but is not measured.
};

/**
 * Decides, at the node beside a backend server, which calls run, wait or are refused.
 *
 * Guarantees: at most limit() calls run at the same time; a refused call has not run; no call is
 * started whose remaining time is shorter than its route's time at low concurrency.
 */
class TargetAdmission
{
public:
    /** Sets how many calls the backend server runs at once; replaces the learned limit. */
    void setSlots(int slots) { m_slots = slots; }
    int slots() const { return m_slots > 0 ? m_slots : m_limit.limit(); }
    /** Records how long an event of this node waited for its handler; see NodeLoadLimit. */
    void onEventDelay(TimePoint now, Duration delay)
    {
        m_nodeLoad.onEventDelay(now, delay, inFlight(), slots());
    }
    /** Limits call starts per second while the backend server is cold; 0: no limit. */
    void setColdStartRate(double startsPerSecond) { m_pacer.setRate(startsPerSecond); }
    /** Limits call starts to the rate that the backend server states; nothing: it states none. */
    void setStatedRate(std::optional<double> startsPerSecond)
    {
        m_statedRate.setRate(startsPerSecond);
    }
    /**
     * Lets only a few calls run until the backend server has responded: it may state a rate, of
     * which a node that has just started knows nothing.
     */
    void awaitFirstResponse() { m_isFirstResponseAwaited = true; }
    /** Refuses all calls that wait, for example because the backend server is leaving. */
    std::vector<AdmissionEffect> refuseWaiting(ErrorKind kind);

    /**
     * Decides on an arriving call. The first effect concerns this call; any others concern calls
     * that were evicted from the queue in its favour.
     */
    std::vector<AdmissionEffect> arrive(TimePoint now, const Arrival &arrival);

    /** Handles the end of a started call; the effects start or refuse waiting calls. */
    std::vector<AdmissionEffect> finish(TimePoint now, Ticket ticket, const WorkResult &result);

    /** Removes a waiting call whose caller no longer waits for it. */
    void abandon(Ticket ticket);

    /** Refuses the waiting calls whose deadline has passed and starts those that now may run. */
    std::vector<AdmissionEffect> tick(TimePoint now);

    /** The load to report to a caller; its pathFraction covers only this target. */
    LoadReport report(PriorityClass priority, const std::string &team) const;
    /** The admitted fraction that an admitted call passes on to its downstream calls. */
    double forwardedFraction(const Arrival &arrival) const;

    int limit() const;
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
        std::uint64_t startNumber; ///< Returned by ConcurrencyLimit::onStart().
    };
    struct Queued
    {
        std::string route;
        bool unsheddable;
    };

    std::vector<AdmissionEffect> refuse(Ticket ticket, ErrorKind kind) const;
    std::vector<AdmissionEffect> enqueue(const Arrival &arrival, WaitingCall call);
    void start(TimePoint now, const std::string &route, const WaitingCall &call);
    bool canStartCall(TimePoint now);
    /** The bound on call starts per second, of a cold start or stated; nothing if there is none. */
    std::optional<double> startRate() const;
    /** The limit, or, if lower, the concurrency that a bounded start rate results in. */
    double sustainableConcurrency() const;
    void startWaiting(TimePoint now, std::vector<AdmissionEffect> &effects);
    Duration expectedSlotTime(const std::string &route) const;
    Duration queueDelay(PriorityClass priority) const;
    /** Whether a call would get the next slot, although unsheddable calls keep the queue full. */
    bool isServedSoon(const WaitingCall &call) const;
    Duration maximumQueueDelay(const CallContext &context) const;
    TargetOccupancy occupancy() const;
    void recordSlotTime(const std::string &route, Duration slotTime);

    ConcurrencyLimit m_limit;
    NodeLoadLimit m_nodeLoad;
    ColdStartPacer m_pacer;
    StatedRateLimit m_statedRate;
    bool m_isFirstResponseAwaited = false;
    int m_slots = 0; ///< 0: not set.
    DemandShares m_shares;
    FairQueue m_queue;
    std::unordered_map<Ticket, Running> m_running;
    std::unordered_map<Ticket, Queued> m_waiting;
    std::map<std::string, double, std::less<>> m_slotSeconds; ///< Moving average for each route.
    double m_meanSlotSeconds = 0;
    Ticket m_nextTicket = 1;
};

} // namespace ibiswell
