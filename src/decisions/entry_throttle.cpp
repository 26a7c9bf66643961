#include "ibiswell/decisions/entry_throttle.h"

#include "ibiswell/decisions/max_min_fairness.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration decayTime = 400ms; // of demand and outcomes
constexpr Duration adjustInterval = 100ms;
constexpr Duration recoveredRetention = 5s;
constexpr Duration adjustmentTime = 200ms; // time constant of the changes of the admitted fraction
/** Requests admitted for each that succeeds; above 1, so that regained capacity is detected. */
constexpr double admittedPerSuccess = 1.1;
/**
 * Requests admitted for each that succeeds once none has failed for calmPeriod: the saturation is
 * then over, or the admitted load is far below what the service can take.
 */
constexpr double admittedPerSuccessWhenCalm = 1.5;
constexpr Duration calmPeriod = 300ms;
constexpr double priorSuccesses = 2; // added as successes, so that one outcome weighs little
constexpr double minimumAdmittedFraction = 0.15; // keeps probing for capacity
/** Share of the admitted load for a class that would otherwise get nothing. */
constexpr double minimumClassShare = 0.03;

} // namespace

void EntryThrottle::DecayingCounter::add(TimePoint now, double amount)
{
    m_value = value(now) + amount;
    m_updatedAt = now;
}

double EntryThrottle::DecayingCounter::value(TimePoint now) const
{
    return m_value * std::exp(-inSeconds(now - m_updatedAt) / inSeconds(decayTime));
}

void EntryThrottle::onArrival(TimePoint now, const std::string &route, PriorityClass priority,
                              const std::string &team, double weight)
{
    if (m_services.empty())
        return;
    dropRecovered(now);
    for (auto &[name, service] : m_services) {
        if (!service.routes.contains(route))
            continue;
        Demand &demand = service.demand[static_cast<std::size_t>(priority)][team];
        demand.requests.add(now, 1);
        demand.weight = weight;
        adjust(now, service);
    }
}

double EntryThrottle::fraction(const std::string &route, PriorityClass priority,
                               const std::string &team) const
{
    double lowest = 1;
    for (const auto &[name, service] : m_services) {
        if (!service.routes.contains(route))
            continue;
        const Teams &teams = service.demand[static_cast<std::size_t>(priority)];
        auto found = teams.find(team);
        if (found != teams.end())
            lowest = std::min(lowest, found->second.fraction);
    }
    return lowest;
}

void EntryThrottle::onEnd(TimePoint now, const RequestOutcome &outcome)
{
    if (!outcome.saturatedService.empty()) {
        SaturatedService &service = m_services[outcome.saturatedService];
        service.routes.insert(outcome.route);
        service.failed.add(now, 1);
        service.lastFailureAt = now;
    }
    for (auto &[name, service] : m_services) {
        if (name != outcome.saturatedService && service.routes.contains(outcome.route))
            service.succeeded.add(now, 1);
    }
}

void EntryThrottle::adjust(TimePoint now, SaturatedService &service)
{
    if (now - service.adjustedAt < adjustInterval)
        return;
    service.adjustedAt = now;
    double succeeded = service.succeeded.value(now) + priorSuccesses;
    double successRate = succeeded / (succeeded + service.failed.value(now));
    // The change is proportional, without a threshold, so that random deviations cancel out.
    bool isCalm = now - service.lastFailureAt > calmPeriod;
    double change = (isCalm ? admittedPerSuccessWhenCalm : admittedPerSuccess) * successRate - 1;
    service.admittedFraction *= 1 + change * inSeconds(adjustInterval) / inSeconds(adjustmentTime);
    service.admittedFraction = std::clamp(service.admittedFraction, minimumAdmittedFraction, 1.0);
    allocate(now, service);
}

/** Sets each team's fraction: higher classes first, max-min fair between the teams of a class. */
void EntryThrottle::allocate(TimePoint now, SaturatedService &service)
{
    std::array<std::vector<CapacityClaim>, priorityClassCount> claims;
    double total = 0;
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        for (const auto &[name, demand] : service.demand[i]) {
            claims[i].push_back({demand.requests.value(now), demand.weight});
            total += claims[i].back().wanted;
        }
    }
    double capacity = service.admittedFraction * total;
    double remaining = capacity;
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        std::vector<double> allocated =
            allocateMaxMinFair(claims[i], std::max(remaining, minimumClassShare * capacity));
        remaining -= std::accumulate(allocated.begin(), allocated.end(), 0.0);
        std::size_t index = 0;
        for (auto &[name, demand] : service.demand[i]) {
            double wanted = claims[i][index].wanted;
            demand.fraction = wanted > 0 ? allocated[index] / wanted : 1;
            ++index;
        }
    }
}

void EntryThrottle::dropRecovered(TimePoint now)
{
    std::erase_if(m_services, [&](const auto &item) {
        return item.second.admittedFraction >= 1
            && now - item.second.lastFailureAt > recoveredRetention;
    });
}

} // namespace ibiswell
