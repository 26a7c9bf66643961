#pragma once

#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <string>
#include <vector>

namespace ibiswell::model {

/** A service and the capacity of its targets. */
struct ServiceShape
{
    std::string name;
    int targets;
    int slots; ///< Calls that each target runs at the same time.
    int connections; ///< Calls that each target accepts before it sheds.
};

/** Work in a call tree: processing at a service, followed by downstream calls in sequence. */
struct WorkShape
{
    std::string route;
    std::string service;
    Duration ownTime; ///< Mean processing time, without the downstream calls.
    std::vector<WorkShape> downstream;
};

/** A type of request that callers send. */
struct RequestShape
{
    WorkShape work;
    PriorityClass priority;
    bool idempotent;
    Duration deadline;
    double share; ///< Fraction of all requests.
};

/** A deployment: its services, the mix of requests and teams, and its zones. */
struct Deployment
{
    std::string name;
    std::vector<ServiceShape> services;
    std::vector<RequestShape> requests;
    std::vector<double> teamShares; ///< Fraction of all requests sent by each team.
    int zones;
    Duration otherZoneLatency; ///< One-way latency between zones.

    /** Requests per second at which the service that saturates first uses all its slots. */
    double capacity() const;
};

Deployment guild();
Deployment tidewater();
/** A chain of seven services, each of which calls the next. */
Deployment sevenDeep();

} // namespace ibiswell::model
