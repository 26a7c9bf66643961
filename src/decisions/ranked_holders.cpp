#include "ibiswell/decisions/ranked_holders.h"

#include "ibiswell/core/hash.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration responseTimeout = 300ms; // after which a holder counts as silent
constexpr Duration silentHolderAvoidance = 2s;
constexpr Duration requesterRetention = 1500ms; // nodes send at least two requests per second
constexpr Duration fleetSizeRetention = 30s; // partitions seldom last longer
constexpr double minimumLocalBurst = 1; // requests

} // namespace

const Member *RankedHolders::holderOf(TimePoint now, std::uint32_t share,
                                      const std::vector<const Member *> &activeMembers) const
{
    const Member *best = nullptr;
    std::uint64_t bestRank = 0;
    for (const Member *member : activeMembers) {
        auto found = m_holders.find(member->node);
        if (found != m_holders.end()) {
            const HolderState &state = found->second;
            bool isSilent = state.oldestRequestAt && now - *state.oldestRequestAt > responseTimeout;
            if (isSilent || now < state.avoidUntil)
                continue;
        }
        std::uint64_t rank = stableHash(member->node, share);
        if (best && rank <= bestRank)
            continue;
        best = member;
        bestRank = rank;
    }
    return best;
}

void RankedHolders::onRequestSent(TimePoint now, const std::string &holder)
{
    HolderState &state = m_holders[holder];
    if (state.oldestRequestAt && now - *state.oldestRequestAt > responseTimeout) {
        state.avoidUntil = *state.oldestRequestAt + responseTimeout + silentHolderAvoidance;
        state.oldestRequestAt.reset();
    }
    if (!state.oldestRequestAt)
        state.oldestRequestAt = now;
}

void RankedHolders::onResponse(const std::string &holder)
{
    m_holders.erase(holder);
}

void RankedHolders::onRequestReceived(TimePoint now, std::uint32_t share, const std::string &node)
{
    auto [it, isNew] = m_held.try_emplace(share);
    HeldShare &held = it->second;
    std::erase_if(held.requesters,
                  [&](const auto &item) { return now - item.second > requesterRetention; });
    if (held.requesters.empty())
        held.since = now;
    held.requesters[node] = now;
}

std::optional<TimePoint> RankedHolders::heldSince(TimePoint now, std::uint32_t share) const
{
    auto found = m_held.find(share);
    if (found == m_held.end())
        return std::nullopt;
    const HeldShare &held = found->second;
    bool isRequested =
        std::any_of(held.requesters.begin(), held.requesters.end(),
                    [&](const auto &item) { return now - item.second <= requesterRetention; });
    return isRequested ? std::optional(held.since) : std::nullopt;
}

std::size_t RankedHolders::recentFleetSize(TimePoint now, std::size_t activeMemberCount)
{
    while (!m_sizes.empty() && now - m_sizes.front().at > fleetSizeRetention)
        m_sizes.pop_front();
    while (!m_sizes.empty() && m_sizes.back().nodes <= activeMemberCount)
        m_sizes.pop_back();
    m_sizes.push_back({now, activeMemberCount});
    return std::max<std::size_t>(1, m_sizes.front().nodes);
}

double RankedHolders::rateFraction(TimePoint now, std::uint32_t share,
                                   std::size_t activeMemberCount)
{
    auto found = m_held.find(share);
    if (found == m_held.end())
        return 0;
    auto requesterCount =
        std::count_if(found->second.requesters.begin(), found->second.requesters.end(),
                      [&](const auto &item) { return now - item.second <= requesterRetention; });
    return std::min(1.0,
                    static_cast<double>(requesterCount)
                        / static_cast<double>(recentFleetSize(now, activeMemberCount)));
}

double RankedHolders::isolatedFraction(TimePoint now, std::size_t activeMemberCount)
{
    return 1.0 / static_cast<double>(recentFleetSize(now, activeMemberCount));
}

bool LocalTokenBuckets::spend(TimePoint now, const std::string &team, double ratePerSecond,
                              double burst)
{
    auto [it, isNew] = m_buckets.try_emplace(team);
    Bucket &bucket = it->second;
    double capacity = std::max(minimumLocalBurst, burst);
    if (!isNew)
        bucket.tokens += ratePerSecond * inSeconds(now - bucket.refilledAt);
    bucket.tokens = std::min(bucket.tokens, capacity);
    bucket.refilledAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

} // namespace ibiswell
