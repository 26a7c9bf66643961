#pragma once

#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <array>
#include <map>
#include <string>

namespace ibiswell {

/** The load of a target, from which DemandShares derives how much demand to admit. */
struct TargetOccupancy
{
    int limit = 1; ///< Concurrency limit, in slots.
    /** False when the backend server may be able to handle more calls than the limit. */
    bool limitIsConfirmed = true;
    int inFlight = 0;
    Duration queueDelay {}; ///< Expected wait of a new call of the least important class.
};

/**
 * Divides the slot time of one target between classes and teams.
 *
 * Estimates the demand before any shedding: a call that the caller's node admitted with
 * fraction f counts as 1/f calls. Classes are served in order of importance. Within the class that
 * can only partly be served, slot time is divided between teams by weighted max-min fairness: what
 * one team does not need goes to the others. The result is the fraction of calls to admit for each
 * class and team. Responses carry it back to the callers, so that calls are shed at the first node.
 */
class DemandShares
{
public:
    /** Above zero, so that a few calls still arrive and keep the demand estimate current. */
    static constexpr double minimumFraction = 0.001;

    /** Counts a call that arrived, whether it is then admitted or refused. */
    void onArrival(TimePoint now, const CallContext &context, double weight, Duration slotTime);

    /** Recomputes the fractions when they are older than a short interval. */
    void refresh(TimePoint now, const TargetOccupancy &occupancy);

    /** Fraction of the team's calls of this class to admit. */
    double fraction(PriorityClass priority, const std::string &team) const;

    /** The lowest fraction of any team and class, for the status page. */
    double worstFraction() const;

private:
    struct Demand
    {
        double decayedSlotSeconds = 0;
        TimePoint updatedAt;
        double weight = 1;
        double fraction = 1;
    };
    using Teams = std::map<std::string, Demand, std::less<>>;

    static double rate(const Demand &demand, TimePoint now);
    double allocate(Teams &teams, double capacity, TimePoint now, bool isIdle);
    void adjustGain(const TargetOccupancy &occupancy);
    void removeIdleTeams(TimePoint now);

    std::array<Teams, priorityClassCount> m_classes;
    TimePoint m_refreshedAt;
    double m_gain = 1; ///< Corrects the estimated capacity by feedback from the queue delay.
    bool m_shedding = false;
};

} // namespace ibiswell
