#include "ibiswell/decisions/max_min_fairness.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace ibiswell {

std::vector<double> allocateMaxMinFair(const std::vector<CapacityClaim> &claims, double capacity)
{
    std::vector<std::size_t> order(claims.size());
    std::iota(order.begin(), order.end(), std::size_t {0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return claims[a].wanted / claims[a].weight < claims[b].wanted / claims[b].weight;
    });
    double remainingWeight = 0;
    for (const CapacityClaim &claim : claims)
        remainingWeight += claim.weight;
    std::vector<double> allocated(claims.size());
    double remaining = capacity;
    for (std::size_t index : order) {
        double fairShare = remaining * claims[index].weight / remainingWeight;
        allocated[index] = std::min(claims[index].wanted, fairShare);
        remaining -= allocated[index];
        remainingWeight -= claims[index].weight;
    }
    return allocated;
}

} // namespace ibiswell
