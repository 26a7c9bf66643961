#include "ibiswell/decisions/path_table.h"

#include <algorithm>
#include <cmath>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr double smoothing = 0.2; // least weight of one answer
constexpr Duration memory = 100ms; // an answer after a longer gap replaces what was known
constexpr Duration silenceBeforeOpening = 300ms;
constexpr Duration doublingTime = 100ms;

} // namespace

std::string downstreamPathName(const std::string &route)
{
    return "below " + route;
}

double PathTable::opened(const Entry &entry, TimePoint now)
{
    Duration silence = now - entry.updatedAt - silenceBeforeOpening;
    if (silence <= Duration::zero())
        return entry.fraction;
    return std::min(1.0, entry.fraction * std::exp2(inSeconds(silence) / inSeconds(doublingTime)));
}

double PathTable::fraction(TimePoint now, const PathKey &key) const
{
    auto found = m_entries.find(key);
    return found == m_entries.end() ? 1 : opened(found->second, now);
}

void PathTable::onResponse(TimePoint now, const PathKey &key, double pathFraction)
{
    auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        if (pathFraction >= 1)
            return;
        found = m_entries.emplace(key, Entry {1, now}).first;
    }
    Entry &entry = found->second;
    double current = opened(entry, now);
    double gap = inSeconds(now - entry.updatedAt) / inSeconds(memory);
    double weight = std::max(smoothing, 1 - std::exp(-gap));
    entry.fraction = current + weight * (pathFraction - current);
    entry.updatedAt = now;
}

void PathTable::tick(TimePoint now)
{
    constexpr double fullyOpen = 0.999;
    std::erase_if(m_entries,
                  [&](const auto &item) { return opened(item.second, now) >= fullyOpen; });
}

} // namespace ibiswell
