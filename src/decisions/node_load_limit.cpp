#include "ibiswell/decisions/node_load_limit.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration acceptedDelay = 10ms;
constexpr Duration adjustInterval = 100ms;
constexpr double maximumDecrease = 0.7; // factor in one adjustment
constexpr double increase = 1.05; // factor in one adjustment
constexpr double minimumSlotFraction = 0.05; // always usable, so that the target is never closed
constexpr double minimumCalls = 4;

} // namespace

/** Uses the lowest delay of an interval: a single long handler does not mean a lack of capacity. */
void NodeLoadLimit::onEventDelay(TimePoint now, Duration delay, int inFlight, int slots)
{
    m_lowestDelay = m_lowestDelay ? std::min(*m_lowestDelay, delay) : delay;
    if (now - m_adjustedAt < adjustInterval)
        return;
    m_adjustedAt = now;
    if (*m_lowestDelay > acceptedDelay)
        lower(*m_lowestDelay, inFlight, slots);
    else
        raise(inFlight, slots);
    m_lowestDelay.reset();
}

void NodeLoadLimit::lower(Duration delay, int inFlight, int slots)
{
    double current = std::min<double>(m_limit.value_or(slots), inFlight);
    double factor = std::max(maximumDecrease, inSeconds(acceptedDelay) / inSeconds(delay));
    double minimum = std::max(minimumCalls, minimumSlotFraction * slots);
    m_limit = std::max(minimum, current * factor);
}

/** Short delays say little about a limit that is not used, so it rises more slowly then. */
void NodeLoadLimit::raise(int inFlight, int slots)
{
    if (!m_limit)
        return;
    bool isUsed = inFlight >= *m_limit / increase;
    *m_limit = isUsed ? *m_limit * increase : *m_limit + 1;
    if (*m_limit >= slots)
        m_limit.reset();
}

std::optional<int> NodeLoadLimit::limit() const
{
    return m_limit ? std::optional(static_cast<int>(*m_limit)) : std::nullopt;
}

} // namespace ibiswell
