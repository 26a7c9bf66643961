#include "ibiswell/decisions/path_table.h"

#include <algorithm>
#include <cmath>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr double minimumWeight = 0.2; // of one response
/** A response that follows a much longer gap replaces the old fraction. */
constexpr Duration decayTime = 100ms;
constexpr Duration silenceBeforeRecovery = 300ms;
constexpr Duration doublingTime = 100ms;

} // namespace

std::string downstreamPathName(const std::string &route)
{
    return "below " + route;
}

double PathTable::recoveredFraction(const Entry &entry, TimePoint now)
{
    Duration silence = now - entry.updatedAt - silenceBeforeRecovery;
    if (silence <= Duration::zero())
        return entry.fraction;
    return std::min(1.0, entry.fraction * std::exp2(inSeconds(silence) / inSeconds(doublingTime)));
}

double PathTable::fraction(TimePoint now, const PathKey &key) const
{
    auto found = m_entries.find(key);
    return found == m_entries.end() ? 1 : recoveredFraction(found->second, now);
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
    double current = recoveredFraction(entry, now);
    double gap = inSeconds(now - entry.updatedAt) / inSeconds(decayTime);
    double weight = std::max(minimumWeight, 1 - std::exp(-gap));
    entry.fraction = current + weight * (pathFraction - current);
    entry.updatedAt = now;
}

void PathTable::tick(TimePoint now)
{
    constexpr double fullyRecovered = 0.999;
    std::erase_if(m_entries, [&](const auto &item) {
        return recoveredFraction(item.second, now) >= fullyRecovered;
    });
}

} // namespace ibiswell
