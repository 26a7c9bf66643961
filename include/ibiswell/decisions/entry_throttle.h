#pragma once

#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <array>
#include <map>
#include <set>
#include <string>

namespace ibiswell {

/** The outcome of a request at its entry node. */
struct RequestOutcome
{
    std::string route;
    /** The saturated service, at any depth, that made the request fail; empty if none did. */
    std::string saturatedService;
};

/**
 * Refuses requests at their entry node while a service downstream of them is saturated.
 *
 * It guards against the amplification of refusals when each request makes several calls to a
 * saturated service. One refused call fails the whole request, so a service that accepts two thirds
 * of its calls completes only a fifth of the requests that make four calls. Refusing a third of the
 * requests before any work is done lets nearly all of the others succeed.
 *
 * The admitted fraction follows the outcomes of the admitted requests: it falls while they fail for
 * saturation and rises while they succeed. It is shared by all routes that failed for the same
 * saturated service: higher priority classes first, and within a class by weighted max-min fairness
 * between teams.
 */
class EntryThrottle
{
public:
    /** Records a request before it is admitted or refused. */
    void onArrival(TimePoint now, const std::string &route, PriorityClass priority,
                   const std::string &team, double weight);
    /** The fraction of such requests to admit, from 0 to 1. */
    double fraction(const std::string &route, PriorityClass priority,
                    const std::string &team) const;
    /** Records the outcome of a request that was admitted. */
    void onEnd(TimePoint now, const RequestOutcome &outcome);

private:
    /** A count with exponential decay. */
    class DecayingCounter
    {
    public:
        void add(TimePoint now, double amount);
        double value(TimePoint now) const;

    private:
        double m_value = 0;
        TimePoint m_updatedAt;
    };
    struct Demand
    {
        DecayingCounter requests;
        double weight = 1;
        double fraction = 1;
    };
    using Teams = std::map<std::string, Demand, std::less<>>;
    struct SaturatedService
    {
        std::set<std::string, std::less<>> routes; ///< Routes whose requests it made fail.
        std::array<Teams, priorityClassCount> demand; ///< By priority class.
        DecayingCounter succeeded; ///< Requests of these routes that it did not make fail.
        DecayingCounter failed; ///< Requests that it made fail.
        double admittedFraction = 1; ///< Fraction of the demand.
        TimePoint adjustedAt;
        TimePoint lastFailureAt;
    };

    static void adjust(TimePoint now, SaturatedService &service);
    static void allocate(TimePoint now, SaturatedService &service);
    void dropRecovered(TimePoint now);

    std::map<std::string, SaturatedService, std::less<>> m_services;
};

} // namespace ibiswell
