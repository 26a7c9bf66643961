#include "ibiswell/decisions/retry_window.h"

#include <algorithm>

namespace ibiswell {

namespace {

/** The rest is for calls that arrive in a later window than they were counted in. */
constexpr double usedPartOfBudget = 0.9;
/**
 * Largest part of the budget that is used within two slices, so that services upstream learn in
 * time how much is left: their retries spend this budget too.
 */
constexpr double usedPartAtOnce = 0.12;
/** Weight of the earlier count; most failures last less than a window. */
constexpr double weightOfEarlierWindow = 0.75;
/** A node with few calls may still retry one in each window, from the slack. */
constexpr double retriesFromSlack = 1;

} // namespace

RetryWindow::RetryWindow(const FleetRetryBudget &budget)
    : m_budget(budget)
{
}

std::int64_t RetryWindow::sliceNumber(TimePoint now) const
{
    return now.time_since_epoch() / (m_budget.window / slicesPerWindow);
}

RetryWindow::Slice &RetryWindow::slice(TimePoint now)
{
    std::int64_t number = sliceNumber(now);
    Slice &current = m_slices[static_cast<std::size_t>(number) % sliceCount];
    if (current.number != number)
        current = Slice {number, 0, 0};
    return current;
}

double RetryWindow::sum(TimePoint now, std::int64_t oldest, std::int64_t newest,
                        double Slice::*field) const
{
    std::int64_t number = sliceNumber(now);
    double total = 0;
    for (const Slice &slice : m_slices) {
        std::int64_t age = number - slice.number;
        if (slice.number >= 0 && age >= newest && age <= oldest)
            total += slice.*field;
    }
    return total;
}

void RetryWindow::onFirstAttempt(TimePoint now, double inheritedShare)
{
    Slice &current = slice(now);
    current.firstAttempts += 1 - inheritedShare;
    current.retries += inheritedShare;
}

double RetryWindow::allowedRetries(TimePoint now) const
{
    constexpr std::int64_t half = slicesPerWindow / 2;
    double recent = sum(now, slicesPerWindow - 1, 0, &Slice::firstAttempts);
    double earlier = sum(now, slicesPerWindow + half - 1, half, &Slice::firstAttempts);
    double mean = weightOfEarlierWindow * earlier + (1 - weightOfEarlierWindow) * recent;
    double allowed = usedPartOfBudget * m_budget.ratio * mean;
    if (m_budget.slack > 0)
        allowed += retriesFromSlack;
    return allowed;
}

bool RetryWindow::mayRetry(TimePoint now) const
{
    double allowed = allowedRetries(now);
    double recentlyAllowed = std::max(retriesFromSlack, allowed * usedPartAtOnce);
    // The window of the retries is one slice longer, since the slices do not begin with it.
    return sum(now, slicesPerWindow, 0, &Slice::retries) + 1 <= allowed
        && sum(now, 1, 0, &Slice::retries) + 1 <= recentlyAllowed;
}

double RetryWindow::headroom(TimePoint now) const
{
    double allowed = allowedRetries(now);
    double used = sum(now, slicesPerWindow, 0, &Slice::retries);
    return allowed > used ? (allowed - used) / allowed : 0;
}

void RetryWindow::onRetry(TimePoint now)
{
    slice(now).retries += 1;
}

} // namespace ibiswell
