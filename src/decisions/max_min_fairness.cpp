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
    double weights = 0;
    for (const CapacityClaim &claim : claims)
        weights += claim.weight;
    std::vector<double> given(claims.size());
    double left = capacity;
    for (std::size_t index : order) {
        double due = left * claims[index].weight / weights;
        given[index] = std::min(claims[index].wanted, due);
        left -= given[index];
        weights -= claims[index].weight;
    }
    return given;
}

} // namespace ibiswell
