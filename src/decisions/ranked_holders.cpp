#include "ibiswell/decisions/ranked_holders.h"

#include "ibiswell/core/hash.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration answerLimit = 300ms; // of a holder that lives
constexpr Duration silentHolderAvoided = 2s;
constexpr Duration askKept = 1500ms; // nodes ask twice a second at least
constexpr Duration knownKept = 30s; // a partition seldom lasts longer
constexpr double smallestAloneBurst = 1; // requests

} // namespace

const Member *RankedHolders::holderOf(TimePoint now, std::uint32_t share,
                                      const std::vector<const Member *> &present) const
{
    const Member *best = nullptr;
    std::uint64_t bestRank = 0;
    for (const Member *member : present) {
        auto found = m_holders.find(member->node);
        if (found != m_holders.end()) {
            const Answering &answering = found->second;
            bool silent = answering.askedAt && now - *answering.askedAt > answerLimit;
            if (silent || now < answering.avoidUntil)
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
    Answering &answering = m_holders[holder];
    if (answering.askedAt && now - *answering.askedAt > answerLimit) {
        answering.avoidUntil = *answering.askedAt + answerLimit + silentHolderAvoided;
        answering.askedAt.reset();
    }
    if (!answering.askedAt)
        answering.askedAt = now;
}

void RankedHolders::onResponse(const std::string &holder)
{
    m_holders.erase(holder);
}

void RankedHolders::onRequestReceived(TimePoint now, std::uint32_t share, const std::string &node)
{
    auto [it, isNew] = m_held.try_emplace(share);
    Held &held = it->second;
    std::erase_if(held.askedBy, [&](const auto &item) { return now - item.second > askKept; });
    if (held.askedBy.empty())
        held.since = now;
    held.askedBy[node] = now;
}

std::optional<TimePoint> RankedHolders::heldSince(TimePoint now, std::uint32_t share) const
{
    auto found = m_held.find(share);
    if (found == m_held.end())
        return std::nullopt;
    const Held &held = found->second;
    bool asked = std::any_of(held.askedBy.begin(), held.askedBy.end(),
                             [&](const auto &item) { return now - item.second <= askKept; });
    return asked ? std::optional(held.since) : std::nullopt;
}

std::size_t RankedHolders::known(TimePoint now, std::size_t present)
{
    while (!m_sizes.empty() && now - m_sizes.front().at > knownKept)
        m_sizes.pop_front();
    while (!m_sizes.empty() && m_sizes.back().nodes <= present)
        m_sizes.pop_back();
    m_sizes.push_back({now, present});
    return std::max<std::size_t>(1, m_sizes.front().nodes);
}

double RankedHolders::rateFraction(TimePoint now, std::uint32_t share, std::size_t present)
{
    auto found = m_held.find(share);
    if (found == m_held.end())
        return 0;
    auto heard = std::count_if(found->second.askedBy.begin(), found->second.askedBy.end(),
                               [&](const auto &item) { return now - item.second <= askKept; });
    return std::min(1.0, static_cast<double>(heard) / static_cast<double>(known(now, present)));
}

double RankedHolders::isolatedFraction(TimePoint now, std::size_t present)
{
    return 1.0 / static_cast<double>(known(now, present));
}

bool LocalTokenBucket::spend(TimePoint now, const std::string &team, double ratePerSecond,
                             double burst)
{
    auto [it, isNew] = m_buckets.try_emplace(team);
    Bucket &bucket = it->second;
    double depth = std::max(smallestAloneBurst, burst);
    if (!isNew)
        bucket.tokens += ratePerSecond * inSeconds(now - bucket.filledAt);
    bucket.tokens = std::min(bucket.tokens, depth);
    bucket.filledAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

} // namespace ibiswell
