#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/member.h"
#include "ibiswell/core/random.h"
#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ibiswell {

/** What the choice of a target depends on in addition to the router's own state. */
struct RouteQuery
{
    std::string_view service;
    /** Whether an availability zone is out of service. */
    std::function<bool(std::string_view)> isZoneOut;
    /** Nodes that have already refused this call. */
    const std::vector<std::string> *excluded = nullptr;
    /** The only nodes to choose from. Null: all. */
    const std::vector<std::string> *only = nullptr;
};

/** The target chosen for a call, with the details that the decision log records. */
struct RouteChoice
{
    std::string node;
    Endpoint endpoint;
    std::string zone;
    std::size_t candidates = 0; ///< Known targets of the service.
    std::string_view reason;
};

/**
 * Chooses a target for each call: among a few random ones, some of them in the node's own zone, the
 * one with the lowest estimated response time. The estimate uses the load that the target's
 * responses carried, its limit and its zone.
 *
 * The demand of each zone stays in the zone while its targets have capacity, which saves latency
 * and traffic between zones. As they fill up, their cost rises and the excess goes to targets of
 * other zones, a small part of it from each node.
 *
 * Only its responses affect a target's cost: failed ones raise it until others succeed. A missing
 * response is attributed to the path to the target, which is then avoided for a short time only.
 */
class Router
{
public:
    explicit Router(std::string ownZone, Duration otherZoneLatency);

    /** Applies the membership state of a node: adds, updates or removes its target. */
    void onMember(const Member &member);

    /** Returns a target, or nothing; lastError() then states why. */
    std::optional<RouteChoice> choose(TimePoint now, const RouteQuery &query, Random &random);

    void onSend(const std::string &node);
    void onResponse(TimePoint now, const std::string &node, const LoadReport &load, bool failed);
    /** No response came: the connection failed or went silent, or the deadline passed. */
    void onNoResponse(TimePoint now, const std::string &node);
    /** The call ended for a reason that is unrelated to the target. */
    void onAbandoned(const std::string &node);

    const std::optional<Error> &lastError() const { return m_lastError; }
    std::size_t targetCount() const { return m_targets.size(); }

private:
    struct Target
    {
        Member member;
        LoadReport load;
        int outstanding = 0; ///< Calls sent by this node without a response yet.
        double failureRate = 0; ///< Moving average of failed responses, from 0 to 1.
        int consecutiveMissingResponses = 0;
        TimePoint avoidUntil;
    };

    /** The nodes of one service. */
    struct ServiceNodes
    {
        std::vector<std::string> all;
        std::vector<std::string> ownZone;
    };

    Target *findTarget(const std::string &node);
    bool isUsable(TimePoint now, const Target &target, const RouteQuery &query) const;
    double cost(const Target &target) const;
    void remove(const std::string &node);

    std::string m_ownZone;
    Duration m_otherZoneLatency;
    std::unordered_map<std::string, Target> m_targets; ///< By node.
    std::map<std::string, ServiceNodes, std::less<>> m_services;
    std::optional<Error> m_lastError;
};

} // namespace ibiswell
