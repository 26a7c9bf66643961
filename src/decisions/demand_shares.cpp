#include "ibiswell/decisions/demand_shares.h"

#include "ibiswell/decisions/max_min_fairness.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration demandTimeConstant = 600ms; // of the exponential decay
constexpr Duration refreshInterval = 20ms;
constexpr Duration idleTeamTimeout = 30s;
constexpr Duration longQueueDelay = 15ms; // above it the estimated capacity is lowered
constexpr double maximumDecrease = 0.8; // factor on a fraction in one refresh
constexpr double maximumIncrease = 1.1; // factor on a fraction in one refresh
constexpr double gainStep = 0.005; // relative change of the gain in one refresh
constexpr double minimumGain = 0.7;
constexpr double maximumGain = 2.5;
constexpr double gainRelaxation = 0.02; // towards 1, in each refresh without shedding
constexpr double reservedFraction = 0.01; // of the limit, that every class gets at least
constexpr double unconfirmedHeadroom = 1.5; // factor on a limit that may still grow
constexpr double mostlyIdleFraction = 0.5; // of the limit; below it the target counts as idle
constexpr double fullUseFraction = 0.95; // of the limit; below it slots count as unused

} // namespace

double DemandShares::rate(const Demand &demand, TimePoint now)
{
    double age = inSeconds(now - demand.updatedAt) / inSeconds(demandTimeConstant);
    return demand.decayedSlotSeconds * std::exp(-age) / inSeconds(demandTimeConstant);
}

void DemandShares::onArrival(TimePoint now, const CallContext &context, double weight,
                             Duration slotTime)
{
    Demand &demand = m_classes[static_cast<std::size_t>(context.priority)][context.team];
    double age = inSeconds(now - demand.updatedAt) / inSeconds(demandTimeConstant);
    double representedCalls = 1 / std::max(context.admittedFraction, minimumFraction);
    demand.decayedSlotSeconds =
        demand.decayedSlotSeconds * std::exp(-age) + representedCalls * inSeconds(slotTime);
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
    double capacity =
        occupancy.limit * m_gain * (occupancy.limitIsConfirmed ? 1 : unconfirmedHeadroom);
    m_shedding = false;
    // Many unused slots and no queue show that the target is not overloaded, even while the
    // slowly decaying demand estimate is still high.
    bool isIdle = occupancy.inFlight < mostlyIdleFraction * occupancy.limit
        && occupancy.queueDelay == Duration::zero();
    double reserved = reservedFraction * occupancy.limit;
    for (Teams &teams : m_classes)
        capacity -= allocate(teams, std::max(reserved, capacity), now, isIdle);
}

/** Divides @p capacity (slots) between the teams of one class; returns how much they use. */
double DemandShares::allocate(Teams &teams, double capacity, TimePoint now, bool isIdle)
{
    std::vector<CapacityClaim> claims;
    claims.reserve(teams.size());
    for (const auto &[name, demand] : teams)
        claims.push_back({rate(demand, now), demand.weight});
    std::vector<double> allocated = allocateMaxMinFair(claims, capacity);
    std::size_t index = 0;
    for (auto &[name, demand] : teams) {
        double wanted = claims[index].wanted;
        double fraction = wanted > 0 && !isIdle ? allocated[index] / wanted : 1;
        double previous = demand.fraction;
        double limitedFraction =
            std::clamp(fraction, previous * maximumDecrease, previous * maximumIncrease);
        demand.fraction = std::clamp(limitedFraction, minimumFraction, 1.0);
        m_shedding = m_shedding || fraction < 1;
        ++index;
    }
    return std::accumulate(allocated.begin(), allocated.end(), 0.0);
}

void DemandShares::adjustGain(const TargetOccupancy &occupancy)
{
    if (occupancy.queueDelay > longQueueDelay)
        m_gain *= 1 - gainStep;
    else if (m_shedding && occupancy.inFlight < fullUseFraction * occupancy.limit)
        m_gain *= 1 + gainStep;
    else if (!m_shedding)
        m_gain += gainRelaxation * (1 - m_gain);
    m_gain = std::clamp(m_gain, minimumGain, maximumGain);
}

void DemandShares::removeIdleTeams(TimePoint now)
{
    for (Teams &teams : m_classes)
        std::erase_if(
            teams, [&](const auto &item) { return now - item.second.updatedAt > idleTeamTimeout; });
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
