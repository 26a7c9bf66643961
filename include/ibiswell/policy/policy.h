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

/** A team's rate over all VMs together, and its share of an overloaded target. */
struct TeamPolicy
{
    double ratePerSecond = 100; ///< Requests per second.
    double burst = 200; ///< Requests above the rate that may arrive at once.
    double weight = 1; ///< Share of slot time relative to other teams of the same class.
    bool unlimited = false; ///< When true, the team has no rate limit.
    /** Class of all requests of the team; replaces the class of their routes. */
    std::optional<PriorityClass> priority;
};

/** One of several services among which the requests of a route are divided. */
struct SplitPart
{
    std::string service;
    double weight = 1; ///< Relative to the other parts of the split.
};

/** What nodes need to know of the backend servers of a service. */
struct ServicePolicy
{
    std::string healthPath; ///< Path of the health check; empty: no health check.
    int maximumConnections = 0; ///< To one backend server from all callers; 0: no limit.
    double coldRequestsPerSecond = 0; ///< Requests per second to a cold server; 0: no limit.
};

/** Limits on requests and connections of callers, see HttpServer. */
struct CallerLimits
{
    int headerBytes = 16 << 10;
    int bodyBytes = 8 << 20;
    /** Time within which a caller must send a request once it has begun to. */
    Duration slowClientTimeout = std::chrono::seconds(10);
    Duration idleConnectionTimeout = std::chrono::seconds(60);
};

/** What applies to one kind of request. */
struct RoutePolicy
{
    std::string name;
    std::string service; ///< Empty when the route has a split.
    std::string host; ///< For fronts that select routes by host; otherwise empty.
    std::string method; ///< HTTP method, or "*" for any.
    /** Prefix of the path after the service's name; in a route with a host, of the whole path. */
    std::string pathPrefix;
    std::vector<SplitPart> split;
    PriorityClass priority = PriorityClass::Normal;
    bool idempotent = false; ///< Only an idempotent request may be sent twice.
    bool open = false; ///< Public: needs no key and has no rate limit.
    Duration deadline = std::chrono::seconds(2); ///< When the caller does not set one.
    Duration timeout {}; ///< Longest time that a caller waits for a response; zero: no limit.
    Duration latencyObjective {}; ///< Responses within it have the highest value; zero: not set.
    int maximumTargets = 0; ///< Targets that one request may be sent to; 0: limited by retries.
};

/** An exception to the default policy. */
struct PolicyException
{
    std::string name;
    std::string reason; ///< Stated by the operators.
    std::string appliesTo; ///< "route:NAME" or "team:NAME".
};

/** Settings that apply to the whole fleet. */
struct FleetDefaults
{
    Duration deadline = std::chrono::seconds(2);
    Duration longestDeadline = std::chrono::seconds(60);
    int retriesPerCallTree = 2;
    int maximumDepth = 8;
    /** Shares into which each team's rate is divided; must not change in the fleet's lifetime. */
    int rateShares = 4;
    int sharesPerTeam = 4096; ///< Maximum; a team with one share has a single token bucket.
    /** Ranges of idempotency keys, each with one owner; must not change in the fleet's lifetime. */
    int keyRanges = 4;
    TeamPolicy team;
};

/** The policy in force, indexed for lookups. Built from a PolicyDocument by compilePolicy(). */
struct Policy
{
    std::uint64_t version = 0;
    FleetDefaults defaults;
    std::map<std::string, TeamPolicy, std::less<>> teams;
    std::vector<RoutePolicy> routes; ///< Longest prefix first.
    std::unordered_map<std::string, std::string> teamByKeyHash;
    std::map<std::string, std::string, std::less<>> zonesOut; ///< Zone to the operators' reason.
    std::vector<PolicyException> exceptions;
    std::map<std::string, ServicePolicy, std::less<>> services;
    std::optional<CallerLimits> limits; ///< When empty, the node's settings apply.
    /** Concatenation of host and path prefix to the index in routes. */
    std::unordered_map<std::string, std::size_t> routeByHostAndPrefix;

    /** The route of a request, or null. @p path is the part after the service's name. */
    const RoutePolicy *findRoute(std::string_view service, std::string_view method,
                                 std::string_view path) const;
    /** The route of @p host with the longest path prefix of whole segments, or null. */
    const RoutePolicy *findRouteByHost(std::string_view host, std::string_view path) const;
    const RoutePolicy *findRouteByName(std::string_view name) const;
    /** The team that @p key authenticates, or null when the key is unknown. */
    const std::string *teamOfKey(std::string_view key) const;
    /** The policy of a team; the default policy when it has none of its own. */
    const TeamPolicy &team(std::string_view name) const;
    bool isZoneOut(std::string_view zone) const { return zonesOut.find(zone) != zonesOut.end(); }
};

} // namespace ibiswell
