#include "ibiswell/decisions/router.h"

#include <algorithm>
#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t samplesPerChoice = 4;
constexpr int ownZoneSamples = 2;
/** A target of another zone is chosen when those of the own zone take this much longer. */
constexpr double otherZoneFactor = 1.6;
constexpr int drawsPerChoice = 12; // random draws before all targets are looked through
constexpr double failureSmoothing = 0.1;
constexpr double priceOfFailure = 10; // a target that always fails costs this many times more
constexpr Duration firstAvoidance = 200ms; // after two silences in a row, then doubled
constexpr int mostAvoidanceDoublings = 5;

/** What is taken for the load of a target that has not reported any. */
LoadReport loadBeforeReport()
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
    Nodes &nodes = m_services[found->second.member.service];
    std::erase(nodes.all, node);
    std::erase(nodes.ownZone, node);
    m_targets.erase(found);
}

void Router::onMember(const Member &member)
{
    bool lives = member.state == MemberState::Alive || member.state == MemberState::Suspect;
    bool takesWork = lives && member.takesWork;
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
    bool sameProcess = known && known->member.endpoint == member.endpoint
        && known->member.service == member.service;
    if (sameProcess) {
        // It announced a change: what it reported before no longer counts.
        known->member = member;
        known->load = loadBeforeReport();
        return;
    }
    remove(member.node);
    Target target;
    target.member = member;
    target.load = loadBeforeReport();
    m_targets.emplace(member.node, std::move(target));
    Nodes &nodes = m_services[member.service];
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
    return !query.excluded
        || std::find(query.excluded->begin(), query.excluded->end(), target.member.node)
        == query.excluded->end();
}

double Router::price(const Target &target) const
{
    double limit = std::max(1u, target.load.limit);
    double others = target.load.inFlight + target.load.queued;
    double load = (std::max<double>(others, target.outstanding) + 1) / limit;
    double seconds = inSeconds(target.load.serviceTime) * (1 + load * load);
    seconds *= 1 + priceOfFailure * target.failures;
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
    const std::vector<std::string> &near = service->second.ownZone;
    const Target *best = nullptr;
    std::size_t sampled = 0;
    auto consider = [&](const Target &target) {
        if (!isUsable(now, target, query))
            return;
        ++sampled;
        if (!best || price(target) < price(*best))
            best = &target;
    };
    for (int draw = 0; draw < ownZoneSamples && !near.empty(); ++draw)
        consider(m_targets.at(near[pickIndex(random, near.size())]));
    sampled = 0;
    bool few = nodes.size() <= samplesPerChoice;
    for (int draw = 0; !few && draw < drawsPerChoice && sampled < samplesPerChoice; ++draw)
        consider(m_targets.at(nodes[pickIndex(random, nodes.size())]));
    if (few || !best) {
        for (const std::string &node : nodes)
            consider(m_targets.at(node));
    }
    if (!best) {
        m_lastError = Error {ErrorKind::NoTarget,
                             fmt::format("{} targets of service \"{}\" are known, "
                                         "none takes work",
                                         nodes.size(), query.service)};
        return std::nullopt;
    }
    std::string_view reason = best->member.zone == m_ownZone ? "earliest answer, own zone"
                                                             : "earliest answer, other zone";
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
    target->failures += failureSmoothing * ((failed ? 1 : 0) - target->failures);
    target->silences = 0;
    target->avoidUntil = {};
}

void Router::onNoResponse(TimePoint now, const std::string &node)
{
    Target *target = findTarget(node);
    if (!target)
        return;
    target->outstanding = std::max(0, target->outstanding - 1);
    ++target->silences;
    if (target->silences < 2)
        return;
    int doublings = std::min(target->silences - 2, mostAvoidanceDoublings);
    target->avoidUntil = now + firstAvoidance * (1 << doublings);
}

void Router::onAbandoned(const std::string &node)
{
    if (Target *target = findTarget(node))
        target->outstanding = std::max(0, target->outstanding - 1);
}

} // namespace ibiswell
