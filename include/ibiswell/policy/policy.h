#pragma once

#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ibiswell {

/** A team's rate over all VMs together, and its weight in the sharing of a busy target. */
struct TeamPolicy
{
    double ratePerSecond = 100; ///< Requests a second.
    double burst = 200; ///< Requests above the rate that may come at once.
    double weight = 1; ///< Share of slot time against other teams of the same class.
};

/** What applies to one kind of request. */
struct RoutePolicy
{
    std::string name;
    std::string service;
    std::string method; ///< HTTP method, or "*" for each.
    std::string pathPrefix; ///< The path below the service's name.
    PriorityClass priority = PriorityClass::Normal;
    bool idempotent = false; ///< Only an idempotent request may be sent twice.
    bool open = false; ///< Open to all: no key and no rate.
    Duration deadline = std::chrono::seconds(2); ///< When the caller states none.
};

/** An exception to the default policy, with the operators' reason. */
struct PolicyException
{
    std::string name;
    std::string reason;
    std::string appliesTo; ///< "route:NAME" or "team:NAME".
};

/** Values for the whole fleet. */
struct FleetDefaults
{
    Duration deadline = std::chrono::seconds(2);
    Duration longestDeadline = std::chrono::seconds(60);
    int retriesPerCallTree = 2;
    int maximumDepth = 8;
    int rateShares = 4; ///< Parts into which each team's rate is divided; fixed for a fleet's life.
    int keyRanges = 4; ///< Ranges of idempotency keys, each with one owner; fixed likewise.
    TeamPolicy team;
};

/** The policy in force, ready for look-ups. Made from a PolicyDocument by compilePolicy(). */
struct Policy
{
    std::uint64_t version = 0;
    FleetDefaults defaults;
    std::map<std::string, TeamPolicy, std::less<>> teams;
    std::vector<RoutePolicy> routes; ///< Longest prefix first.
    std::unordered_map<std::string, std::string> teamByKeyHash;
    std::map<std::string, std::string, std::less<>> zonesOut; ///< Zone to the operators' reason.
    std::vector<PolicyException> exceptions;

    /** The route of a request, or null. @p path starts behind the service's name. */
    const RoutePolicy *findRoute(std::string_view service, std::string_view method,
                                 std::string_view path) const;
    const RoutePolicy *routeByName(std::string_view name) const;
    /** The team of a tenant key, or null when the key is not granted. */
    const std::string *teamOfKey(std::string_view key) const;
    const TeamPolicy &team(std::string_view name) const;
    bool isZoneOut(std::string_view zone) const { return zonesOut.find(zone) != zonesOut.end(); }
};

} // namespace ibiswell
