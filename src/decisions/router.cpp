#include "ibiswell/decisions/router.h"

#include <algorithm>
#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t samplesPerChoice = 4;
constexpr int ownZoneSamples = 2;
/** Another zone's target is chosen when those of the own zone take this many times as long. */
constexpr double otherZoneFactor = 1.6;
constexpr int drawsPerChoice = 12; // random draws before all targets are considered
constexpr double failureSmoothing = 0.1;
/** Added to the cost, in multiples of it, for a target that always fails. */
constexpr double failureCostFactor = 10;
constexpr Duration initialAvoidance = 200ms; // after two missing responses in a row, then doubled
constexpr int maximumAvoidanceDoublings = 5;

/** The assumed load of a target that has not reported any. */
LoadReport initialLoad()
{
    LoadReport load;
    load.limit = 4;
    load.serviceTime = 5ms;
    return load;
}

} // namespace

Router::Router(std::string ownZone, Duration otherZoneLatency)
    : m_ownZone(std::move(ownZone))
    , m_otherZoneLatency(otherZoneLatency)
{
}

Router::Target *Router::findTarget(const std::string &node)
{
    auto found = m_targets.find(node);
    return found == m_targets.end() ? nullptr : &found->second;
}

void Router::remove(const std::string &node)
{
    auto found = m_targets.find(node);
    if (found == m_targets.end())
        return;
    ServiceNodes &nodes = m_services[found->second.member.service];
    std::erase(nodes.all, node);
    std::erase(nodes.ownZone, node);
    m_targets.erase(found);
}

void Router::onMember(const Member &member)
{
    bool isAlive = member.state == MemberState::Alive || member.state == MemberState::Suspect;
    bool takesWork = isAlive && member.takesWork;
    Target *known = findTarget(member.node);
    if (!takesWork) {
        remove(member.node);
        return;
    }
    if (known && known->member.incarnation == member.incarnation
        && known->member.service == member.service) {
        known->member = member;
        return;
    }
    bool isSameProcess = known && known->member.endpoint == member.endpoint
        && known->member.service == member.service;
    if (isSameProcess) {
        // The target announced a change, so the load that it reported before no longer applies.
        known->member = member;
        known->load = initialLoad();
        return;
    }
    remove(member.node);
    Target target;
    target.member = member;
    target.load = initialLoad();
    m_targets.emplace(member.node, std::move(target));
    ServiceNodes &nodes = m_services[member.service];
    nodes.all.push_back(member.node);
    if (member.zone == m_ownZone)
        nodes.ownZone.push_back(member.node);
}

bool Router::isUsable(TimePoint now, const Target &target, const RouteQuery &query) const
{
    if (query.isZoneOut && query.isZoneOut(target.member.zone))
        return false;
    if (now < target.avoidUntil)
        return false;
    auto contains = [&](const std::vector<std::string> &nodes) {
        return std::find(nodes.begin(), nodes.end(), target.member.node) != nodes.end();
    };
    if (query.only && !contains(*query.only))
        return false;
    return !query.excluded || !contains(*query.excluded);
}

double Router::cost(const Target &target) const
{
    double limit = std::max(1u, target.load.limit);
    double reportedCalls = target.load.inFlight + target.load.queued;
    double load = (std::max<double>(reportedCalls, target.outstanding) + 1) / limit;
    double seconds = inSeconds(target.load.serviceTime) * (1 + load * load);
    seconds *= 1 + failureCostFactor * target.failureRate;
    if (target.member.zone != m_ownZone)
        seconds = seconds * otherZoneFactor + 2 * inSeconds(m_otherZoneLatency);
    if (target.member.state == MemberState::Suspect)
        seconds *= 2;
    return seconds;
}

std::optional<RouteChoice> Router::choose(TimePoint now, const RouteQuery &query, Random &random)
{
    auto service = m_services.find(query.service);
    if (service == m_services.end() || service->second.all.empty()) {
        m_lastError = Error {ErrorKind::NoTarget,
                             fmt::format("no target of service \"{}\" is known", query.service)};
        return std::nullopt;
    }
    const std::vector<std::string> &nodes = service->second.all;
    const std::vector<std::string> &ownZoneNodes = service->second.ownZone;
    const Target *best = nullptr;
    std::size_t sampled = 0;
    auto consider = [&](const Target &target) {
        if (!isUsable(now, target, query))
            return;
        ++sampled;
        if (!best || cost(target) < cost(*best))
            best = &target;
    };
    for (int draw = 0; draw < ownZoneSamples && !ownZoneNodes.empty(); ++draw)
        consider(m_targets.at(ownZoneNodes[pickIndex(random, ownZoneNodes.size())]));
    sampled = 0;
    bool isSmallService = nodes.size() <= samplesPerChoice;
    for (int draw = 0; !isSmallService && draw < drawsPerChoice && sampled < samplesPerChoice;
         ++draw)
        consider(m_targets.at(nodes[pickIndex(random, nodes.size())]));
    if (isSmallService || !best) {
        for (const std::string &node : nodes)
            consider(m_targets.at(node));
    }
    if (!best) {
        m_lastError = Error {ErrorKind::NoTarget,
                             fmt::format("{} targets of service \"{}\" are known, "
                                         "none of them can take the call now",
                                         nodes.size(), query.service)};
        return std::nullopt;
    }
    std::string_view reason = best->member.zone == m_ownZone
        ? "lowest estimated response time, own zone"
        : "lowest estimated response time, other zone";
    return RouteChoice {best->member.node, best->member.endpoint, best->member.zone, nodes.size(),
                        reason};
}

void Router::onSend(const std::string &node)
{
    if (Target *target = findTarget(node))
        ++target->outstanding;
}

void Router::onResponse(TimePoint, const std::string &node, const LoadReport &load, bool failed)
{
    Target *target = findTarget(node);
    if (!target)
        return;
    target->outstanding = std::max(0, target->outstanding - 1);
    target->load = load;
    target->failureRate += failureSmoothing * ((failed ? 1 : 0) - target->failureRate);
    target->consecutiveMissingResponses = 0;
    target->avoidUntil = {};
}

void Router::onNoResponse(TimePoint now, const std::string &node)
{
    Target *target = findTarget(node);
    if (!target)
        return;
    target->outstanding = std::max(0, target->outstanding - 1);
    ++target->consecutiveMissingResponses;
    if (target->consecutiveMissingResponses < 2)
        return;
    int doublings = std::min(target->consecutiveMissingResponses - 2, maximumAvoidanceDoublings);
    target->avoidUntil = now + initialAvoidance * (1 << doublings);
}

void Router::onAbandoned(const std::string &node)
{
    if (Target *target = findTarget(node))
        target->outstanding = std::max(0, target->outstanding - 1);
}

} // namespace ibiswell
