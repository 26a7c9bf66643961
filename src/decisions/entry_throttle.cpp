#include "ibiswell/decisions/entry_throttle.h"

#include "ibiswell/decisions/max_min_fairness.h"

#include <algorithm>
#include <numeric>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration allocationInterval = 100ms;
constexpr Duration recoveredRetention = 5s;
/** Share of the admitted load for a class that would otherwise get nothing. */
constexpr double minimumClassShare = 0.03;

} // namespace

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
        service.admitted.adjust(now);
        allocate(now, service);
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
        service.admitted.onFailure(now);
    }
    for (auto &[name, service] : m_services) {
        if (name != outcome.saturatedService && service.routes.contains(outcome.route))
            service.admitted.onSuccess(now);
    }
}

void EntryThrottle::onStatement(TimePoint now, const std::string &route, double fraction)
{
    for (auto &[name, service] : m_services) {
        if (service.routes.contains(route))
            service.stated.state(now, fraction);
    }
}

double EntryThrottle::admittedFraction(TimePoint now, const SaturatedService &service)
{
    double stated = service.stated.value(now);
    if (service.stated.isFresh(now))
        return stated;
    return std::min(service.admitted.value(), stated);
}

/** Sets each team's fraction: higher classes first, max-min fair between the teams of a class. */
void EntryThrottle::allocate(TimePoint now, SaturatedService &service)
{
    if (now - service.allocatedAt < allocationInterval)
        return;
    service.allocatedAt = now;
    std::array<std::vector<CapacityClaim>, priorityClassCount> claims;
    double total = 0;
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        for (const auto &[name, demand] : service.demand[i]) {
            claims[i].push_back({demand.requests.value(now), demand.weight});
            total += claims[i].back().wanted;
        }
    }
    double capacity = admittedFraction(now, service) * total;
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
        const SaturatedService &service = item.second;
        return admittedFraction(now, service) >= 1
            && now - service.admitted.lastFailureAt() > recoveredRetention;
    });
}

} // namespace ibiswell
