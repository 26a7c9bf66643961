#pragma once

#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"
#include "ibiswell/decisions/admitted_fraction.h"
#include "ibiswell/decisions/decaying_counter.h"
#include "ibiswell/decisions/stated_fraction.h"

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
 * The admitted fraction follows the outcomes of the admitted requests, and is at most what their
 * responses state: nodes near the saturated service see more outcomes. It is shared by all routes
 * that failed for the same saturated service: higher priority classes first, and within a class by
 * weighted max-min fairness between teams.
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
    /** A response to a request of @p route stated which fraction of them can be completed. */
    void onStatement(TimePoint now, const std::string &route, double fraction);

private:
    /** Only the proportions of the demands matter, and few requests arrive at one node. */
    static constexpr Duration demandMemory = std::chrono::seconds(1);
    struct Demand
    {
        DecayingCounter requests {demandMemory};
        double weight = 1;
        double fraction = 1;
    };
    using Teams = std::map<std::string, Demand, std::less<>>;
    struct SaturatedService
    {
        std::set<std::string, std::less<>> routes; ///< Routes whose requests it made fail.
        std::array<Teams, priorityClassCount> demand; ///< By priority class.
        AdmittedFraction admitted; ///< By the requests of these routes that this node admitted.
        StatedFraction stated; ///< By the responses to them.
        TimePoint allocatedAt;
    };

    /** The fraction of the demand for the service that is admitted. */
    static double admittedFraction(TimePoint now, const SaturatedService &service);
    static void allocate(TimePoint now, SaturatedService &service);
    void dropRecovered(TimePoint now);

    std::map<std::string, SaturatedService, std::less<>> m_services;
};

} // namespace ibiswell
