#pragma once

#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <array>
#include <map>
#include <string>

namespace ibiswell {

/** The state of a target that decides how much of the demand it takes. */
struct TargetOccupancy
{
    int limit = 1; ///< Slots.
    bool limitIsConfirmed = true; ///< False: the backend server may bear more than the limit.
    int inFlight = 0;
    Duration queueDelay {}; ///< What a new call of a middle class would wait.
};

/**
 * Divides the slot time of one target between classes and teams.
 *
 * The demand is estimated before any shedding: a call that a caller's node let pass with
 * fraction f stands for 1/f calls. Classes are served in their order; inside the class that is
 * only partly served, teams get equal slot time for their weights, and what one does not need
 * goes to the others. The outcome is, for each class and team, the fraction of its calls to
 * admit; it goes back to callers on the answers, so that they shed at the first node.
 */
class DemandShares
{
public:
    /** Lowest fraction: a trickle that keeps the estimate of the demand alive. */
    static constexpr double minimumFraction = 0.001;

    /** Notes a call that arrived, before it is admitted or refused. */
    void onArrival(TimePoint now, const CallContext &context, double weight, Duration slotTime);

    /** Works the fractions out anew when they are older than a short interval. */
    void refresh(TimePoint now, const TargetOccupancy &occupancy);

    double fraction(PriorityClass priority, const std::string &team) const;

    /** The team with the smallest fraction of any class, for status. */
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
    double m_gain = 1; ///< Corrects the estimated capacity by the queue that results.
    bool m_shedding = false;
};

} // namespace ibiswell
