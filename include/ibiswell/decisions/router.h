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

/** What the choice of a target depends on beside the router's own state. */
struct RouteQuery
{
    std::string_view service;
    /** Whether an availability zone is out of service. */
    std::function<bool(std::string_view)> isZoneOut;
    /** Nodes that refused this call already. */
    const std::vector<std::string> *excluded = nullptr;
};

/** The target chosen for a call, with what a decision line tells of it. */
struct RouteChoice
{
    std::string node;
    Endpoint endpoint;
    std::string zone;
    std::size_t candidates = 0; ///< Targets that were in question.
    std::string_view reason;
};

/**
 * Chooses a target for each call: of a few random ones, with those of the own zone among them, the
 * one that should answer first, by the load that its answers carried, its limit and its zone.
 *
 * Load that it answers: each zone's own demand stays in the zone while its targets have room, which
 * saves the way and the bytes between zones; as they fill up, the price of their load drives what
 * is too much to the targets of other zones, a little for each node.
 *
 * A target is judged by its answers alone. A connection that went silent is held against the path
 * to the target for a short time only; answers that fail raise the target's price until others
 * succeed.
 */
class Router
{
public:
    explicit Router(std::string ownZone, Duration otherZoneLatency);

    /** Takes in what membership says of a node: adds, moves, or removes its target. */
    void onMember(const Member &member);

    /** A target, or nothing; lastError() then tells why. */
    std::optional<RouteChoice> choose(TimePoint now, const RouteQuery &query, Random &random);

    void onSend(const std::string &node);
    void onResponse(TimePoint now, const std::string &node, const LoadReport &load, bool failed);
    /** No answer came: the connection failed, went silent, or the time ran out. */
    void onNoResponse(TimePoint now, const std::string &node);
    /** The call ended for a reason that says nothing of the target. */
    void onAbandoned(const std::string &node);

    const std::optional<Error> &lastError() const { return m_lastError; }
    std::size_t targetCount() const { return m_targets.size(); }

private:
    struct Target
    {
        Member member;
        LoadReport load;
        int outstanding = 0; ///< Calls sent from here and not yet answered.
        double failures = 0; ///< Moving average of failed answers, from 0 to 1.
        int silences = 0; ///< In a row.
        TimePoint avoidUntil;
    };

    /** The nodes of one service. */
    struct Nodes
    {
        std::vector<std::string> all;
        std::vector<std::string> ownZone;
    };

    Target *findTarget(const std::string &node);
    bool isUsable(TimePoint now, const Target &target, const RouteQuery &query) const;
    double price(const Target &target) const;
    void remove(const std::string &node);

    std::string m_ownZone;
    Duration m_otherZoneLatency;
    std::unordered_map<std::string, Target> m_targets; ///< By node.
    std::map<std::string, Nodes, std::less<>> m_services;
    std::optional<Error> m_lastError;
};

} // namespace ibiswell
