#pragma once

#include <vector>

namespace ibiswell {

/** What one of several claimants asks for, and its weight against the others. */
struct CapacityClaim
{
    double wanted = 0;
    double weight = 1;
};

/**
 * Divides @p capacity by weighted max-min fairness: claims that want less than their even part get
 * what they want, and what they leave goes to the others.
 *
 * @return what each claim is given, in the order of the claims.
 */
std::vector<double> allocateMaxMinFair(const std::vector<CapacityClaim> &claims, double capacity);

} // namespace ibiswell
