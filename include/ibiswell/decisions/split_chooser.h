#pragma once

#include "ibiswell/policy/policy.h"

#include <map>
#include <string>
#include <vector>

namespace ibiswell {

/**
 * Divides the requests of a route among the services of its split by smooth weighted round robin.
 * After any number of requests each service is within one request of its share, so that even a node
 * that receives few requests keeps the proportions.
 */
class SplitChooser
{
public:
    /** Returns the service for the next request of @p route, which must have a split. */
    const std::string &choose(const RoutePolicy &route);

private:
    struct Part
    {
        std::string service;
        double weight = 0;
        /** How far the service is behind its share, in requests times the total weight. */
        double credit = 0;
    };

    static bool matches(const std::vector<Part> &parts, const RoutePolicy &route);

    std::map<std::string, std::vector<Part>, std::less<>> m_routes;
};

} // namespace ibiswell
