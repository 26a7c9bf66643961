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
    bool unlimited = false; ///< No rate and no burst apply.
    /** Class of all requests of the team, in place of their routes' classes. */
    std::optional<PriorityClass> priority;
};

/** One of several services among which the requests of a route are divided. */
struct SplitPart
{
    std::string service;
    double weight = 1; ///< Against the other parts of the split.
};

/** What nodes need to know of the backend servers of a service. */
struct ServicePolicy
{
    std::string healthPath; ///< Empty: not asked.
    int maximumConnections = 0; ///< Of one backend server, from all callers; 0: not bounded.
    double coldStartsPerSecond = 0; ///< Requests a second that a cold server bears; 0: any.
};

/** Bounds on what a caller may send, see HttpServer. */
struct CallerLimits
{
    int headerBytes = 16 << 10;
    int bodyBytes = 8 << 20;
    Duration slowClientTimeout = std::chrono::seconds(10); ///< To send a request once it has begun.
    Duration idleConnectionTimeout = std::chrono::seconds(60);
};

/** What applies to one kind of request. */
struct RoutePolicy
{
    std::string name;
    std::string service; ///< Empty when the route has a split.
    std::string host; ///< For fronts that select routes by host; else empty.
    std::string method; ///< HTTP method, or "*" for each.
    std::string pathPrefix; ///< Below the service's name; with a host, of the whole path.
    std::vector<SplitPart> split;
    PriorityClass priority = PriorityClass::Normal;
    bool idempotent = false; ///< Only an idempotent request may be sent twice.
    bool open = false; ///< Open to all: no key and no rate.
    Duration deadline = std::chrono::seconds(2); ///< When the caller states none.
    Duration timeout {}; ///< Longest time that a caller is kept waiting; zero: not bounded.
    Duration latencyObjective {}; ///< An answer within this time is worth most; zero: not stated.
    int maximumTargets = 0; ///< Targets that one request may reach; 0: bounded by retries alone.
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
    int sharesPerTeam = 4096; ///< At most; a team with one share has one bucket.
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
    std::map<std::string, ServicePolicy, std::less<>> services;
    std::optional<CallerLimits> limits; ///< Nothing: the node's settings apply.
    /** Host followed by prefix, to the index in routes. */
    std::unordered_map<std::string, std::size_t> routeByHostAndPrefix;

    /** The route of a request, or null. @p path starts behind the service's name. */
    const RoutePolicy *findRoute(std::string_view service, std::string_view method,
                                 std::string_view path) const;
    /** The route of @p host with the longest prefix of whole segments, or null. */
    const RoutePolicy *findRouteByHost(std::string_view host, std::string_view path) const;
    const RoutePolicy *findRouteByName(std::string_view name) const;
    /** The team of a tenant key, or null when the key is not granted. */
    const std::string *teamOfKey(std::string_view key) const;
    const TeamPolicy &team(std::string_view name) const;
    bool isZoneOut(std::string_view zone) const { return zonesOut.find(zone) != zonesOut.end(); }
};

} // namespace ibiswell
