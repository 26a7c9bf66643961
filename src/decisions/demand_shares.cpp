#include "ibiswell/decisions/demand_shares.h"

#include "ibiswell/decisions/even_fill.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration memoryOfDemand = 600ms;
constexpr Duration refreshInterval = 20ms;
constexpr Duration idleTeamForgotten = 30s;
constexpr Duration longQueue = 15ms;
constexpr double steepestFall = 0.8; // of a fraction, in one refresh
constexpr double steepestRise = 1.1;
constexpr double gainStep = 0.005;
constexpr double smallestGain = 0.7;
constexpr double largestGain = 2.5;
constexpr double gainRelaxation = 0.02; // towards 1, each refresh without shedding
constexpr double reservedShare = 0.01; // of the limit, for a class that would get nothing
constexpr double unfeltHeadroom = 1.5; // room for a limit that still grows
constexpr double muchIdleShare = 0.5; // of the limit
constexpr double idleShare = 0.95; // of the limit; below it slots lie idle

} // namespace

double DemandShares::rate(const Demand &demand, TimePoint now)
{
    double age = inSeconds(now - demand.updatedAt) / inSeconds(memoryOfDemand);
    return demand.decayedSlotSeconds * std::exp(-age) / inSeconds(memoryOfDemand);
}

void DemandShares::onArrival(TimePoint now, const CallContext &context, double weight,
                             Duration slotTime)
{
    Demand &demand = m_classes[static_cast<std::size_t>(context.priority)][context.team];
    double age = inSeconds(now - demand.updatedAt) / inSeconds(memoryOfDemand);
    double standsFor = 1 / std::max(context.admittedFraction, minimumFraction);
    demand.decayedSlotSeconds =
        demand.decayedSlotSeconds * std::exp(-age) + standsFor * inSeconds(slotTime);
    demand.updatedAt = now;
    demand.weight = weight;
}

void DemandShares::refresh(TimePoint now, const TargetOccupancy &occupancy)
{
    if (now - m_refreshedAt < refreshInterval)
        return;
    m_refreshedAt = now;
    adjustGain(occupancy);
    removeIdleTeams(now);
    double capacity = occupancy.limit * m_gain * (occupancy.limitIsConfirmed ? 1 : unfeltHeadroom);
    m_shedding = false;
    // Slots that lie idle speak against the estimated demand, whatever its memory says.
    bool isIdle = occupancy.inFlight < muchIdleShare * occupancy.limit
        && occupancy.queueDelay == Duration::zero();
    double reserved = reservedShare * occupancy.limit;
    for (Teams &teams : m_classes)
        capacity -= allocate(teams, std::max(reserved, capacity), now, isIdle);
}

/** Gives @p capacity (slots) to the teams of one class; returns what they take of it. */
double DemandShares::allocate(Teams &teams, double capacity, TimePoint now, bool isIdle)
{
    std::vector<FillClaim> claims;
    claims.reserve(teams.size());
    for (const auto &[name, demand] : teams)
        claims.push_back({rate(demand, now), demand.weight});
    std::vector<double> given = fillEvenly(claims, capacity);
    std::size_t index = 0;
    for (auto &[name, demand] : teams) {
        double wanted = claims[index].wanted;
        double fraction = wanted > 0 && !isIdle ? given[index] / wanted : 1;
        double previous = demand.fraction;
        double stepped = std::clamp(fraction, previous * steepestFall, previous * steepestRise);
        demand.fraction = std::clamp(stepped, minimumFraction, 1.0);
        m_shedding = m_shedding || fraction < 1;
        ++index;
    }
    return std::accumulate(given.begin(), given.end(), 0.0);
}

void DemandShares::adjustGain(const TargetOccupancy &occupancy)
{
    if (occupancy.queueDelay > longQueue)
        m_gain *= 1 - gainStep;
    else if (m_shedding && occupancy.inFlight < idleShare * occupancy.limit)
        m_gain *= 1 + gainStep;
    else if (!m_shedding)
        m_gain += gainRelaxation * (1 - m_gain);
    m_gain = std::clamp(m_gain, smallestGain, largestGain);
}

void DemandShares::removeIdleTeams(TimePoint now)
{
    for (Teams &teams : m_classes)
        std::erase_if(teams, [&](const auto &item) {
            return now - item.second.updatedAt > idleTeamForgotten;
        });
}

double DemandShares::fraction(PriorityClass priority, const std::string &team) const
{
    const Teams &teams = m_classes[static_cast<std::size_t>(priority)];
    auto found = teams.find(team);
    return found == teams.end() ? 1 : found->second.fraction;
}

double DemandShares::worstFraction() const
{
    double worst = 1;
    for (const Teams &teams : m_classes) {
        for (const auto &[name, demand] : teams)
            worst = std::min(worst, demand.fraction);
    }
    return worst;
}

} // namespace ibiswell
