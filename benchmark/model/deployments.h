#pragma once

#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <string>
#include <vector>

namespace ibiswell::model {

/** One service with its targets. */
struct ServiceShape
{
    std::string name;
    int targets;
    int slots; ///< Of each target.
    int connections; ///< Calls that a target holds before it sheds.
};

/** One piece of work in a call tree: own time at a service, then the calls below in turn. */
struct WorkShape
{
    std::string route;
    std::string service;
    Duration ownTime; ///< Mean.
    std::vector<WorkShape> downstream;
};

/** One kind of request that callers send. */
struct RequestShape
{
    WorkShape work;
    PriorityClass priority;
    bool idempotent;
    Duration deadline;
    double share; ///< Of all requests.
};

/** A deployment of the brief. */
struct Deployment
{
    std::string name;
    std::vector<ServiceShape> services;
    std::vector<RequestShape> requests;
    std::vector<double> teamShares; ///< Of all requests, by team.
    int zones;
    Duration otherZoneLatency; ///< One way.

    /** Requests a second at which the busiest service has all its slots in use. */
    double capacity() const;
};

Deployment guild();
Deployment tidewater();
/** One service on each of seven levels, every level with the same slots. */
Deployment sevenDeep();

} // namespace ibiswell::model
