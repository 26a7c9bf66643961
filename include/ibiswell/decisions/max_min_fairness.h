#pragma once

#include <vector>

namespace ibiswell {

/** The capacity that one claimant wants, and its weight relative to the others. */
struct CapacityClaim
{
    double wanted = 0;
    double weight = 1;
};

/**
 * Divides @p capacity by weighted max-min fairness: a claim that wants less than its fair share
 * gets what it wants, and the rest of its share goes to the other claims.
 *
 * @return the capacity allocated to each claim, in the order of @p claims.
 */
std::vector<double> allocateMaxMinFair(const std::vector<CapacityClaim> &claims, double capacity);

} // namespace ibiswell
