#include "ibiswell/decisions/entry_throttle.h"

#include "ibiswell/decisions/even_fill.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration memory = 400ms; // of demand and outcomes
constexpr Duration adjustInterval = 100ms;
constexpr Duration calmBeforeForgotten = 5s;
constexpr Duration responseTime = 200ms;
/** Requests let in for each that ends whole; above 1, so that returning room is found. */
constexpr double admittedForWhole = 1.1;
/** Likewise, once no request was broken for a while: the shortage is over or far below. */
constexpr double admittedWhenCalm = 1.5;
constexpr Duration calm = 300ms;
constexpr double outcomesInDoubt = 2; // taken as whole, so that one outcome alone says little
constexpr double leastAdmitted = 0.15; // goes on asking whether there is room
constexpr double leastOfClass = 0.03; // of what is let in, for a class that would get nothing

} // namespace

void EntryThrottle::FadingCount::add(TimePoint now, double amount)
{
    m_value = value(now) + amount;
    m_at = now;
}

double EntryThrottle::FadingCount::value(TimePoint now) const
{
    return m_value * std::exp(-inSeconds(now - m_at) / inSeconds(memory));
}

void EntryThrottle::onArrival(TimePoint now, const std::string &route, PriorityClass priority,
                              const std::string &team, double weight)
{
    if (m_services.empty())
        return;
    forgetCalm(now);
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
    double least = 1;
    for (const auto &[name, service] : m_services) {
        if (!service.routes.contains(route))
            continue;
        const Teams &teams = service.demand[static_cast<std::size_t>(priority)];
        auto found = teams.find(team);
        if (found != teams.end())
            least = std::min(least, found->second.fraction);
    }
    return least;
}

void EntryThrottle::onEnd(TimePoint now, const RequestEnd &end)
{
    if (!end.saturatedService.empty()) {
        ShortService &service = m_services[end.saturatedService];
        service.routes.insert(end.route);
        service.broken.add(now, 1);
        service.lastBroken = now;
    }
    for (auto &[name, service] : m_services) {
        if (name != end.saturatedService && service.routes.contains(end.route))
            service.whole.add(now, 1);
    }
}

void EntryThrottle::adjust(TimePoint now, ShortService &service)
{
    if (now - service.adjustedAt < adjustInterval)
        return;
    service.adjustedAt = now;
    double whole = service.whole.value(now) + outcomesInDoubt;
    double share = whole / (whole + service.broken.value(now));
    // In proportion, and not by a threshold: chance deviations to both sides then cancel out.
    bool isCalm = now - service.lastBroken > calm;
    double change = (isCalm ? admittedWhenCalm : admittedForWhole) * share - 1;
    service.admitted *= 1 + change * inSeconds(adjustInterval) / inSeconds(responseTime);
    service.admitted = std::clamp(service.admitted, leastAdmitted, 1.0);
    divide(now, service);
}

/** Works out each team's fraction: the important classes first, then evenly between teams. */
void EntryThrottle::divide(TimePoint now, ShortService &service)
{
    std::array<std::vector<FillClaim>, priorityClassCount> claims;
    double total = 0;
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        for (const auto &[name, demand] : service.demand[i]) {
            claims[i].push_back({demand.requests.value(now), demand.weight});
            total += claims[i].back().wanted;
        }
    }
    double capacity = service.admitted * total;
    double left = capacity;
    for (std::size_t i = 0; i < priorityClassCount; ++i) {
        std::vector<double> given = fillEvenly(claims[i], std::max(left, leastOfClass * capacity));
        left -= std::accumulate(given.begin(), given.end(), 0.0);
        std::size_t index = 0;
        for (auto &[name, demand] : service.demand[i]) {
            double wanted = claims[i][index].wanted;
            demand.fraction = wanted > 0 ? given[index] / wanted : 1;
            ++index;
        }
    }
}

void EntryThrottle::forgetCalm(TimePoint now)
{
    std::erase_if(m_services, [&](const auto &item) {
        return item.second.admitted >= 1 && now - item.second.lastBroken > calmBeforeForgotten;
    });
}

} // namespace ibiswell
