#include "ibiswell/core/random.h"
#include "ibiswell/decisions/ranked_holders.h"
#include "ibiswell/decisions/rate_share.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <vector>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t share = 0;
constexpr double rate = 200; // requests a second
constexpr double burst = 200; // requests

/** Nodes that spend tokens as fast as they get them. Partitions cannot reach each other. */
class Fleet
{
public:
    explicit Fleet(std::size_t nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            Member member;
            member.node = fmt::format("node-{}", i);
            m_members.push_back(member);
        }
        m_nodes.resize(nodes);
        m_partitions.resize(nodes, 0);
    }

    void setPartition(std::size_t node, int partition) { m_partitions[node] = partition; }
    std::size_t size() const { return m_nodes.size(); }

    /** Each node requests as many tokens as it can get. */
    void step(TimePoint now)
    {
        for (std::size_t requester = 0; requester < size(); ++requester)
            requestTokens(now, requester);
    }

    /** Tokens that all nodes spent within @p window from @p from on. */
    double spentWithin(TimePoint from, Duration window) const
    {
        double sum = 0;
        for (const auto &[at, tokens] : m_spent)
            sum += at >= from && at < from + window ? tokens : 0;
        return sum;
    }
    double largestInWindow(Duration window) const
    {
        double largest = 0;
        for (const auto &[at, tokens] : m_spent)
            largest = std::max(largest, spentWithin(at, window));
        return largest;
    }

private:
    struct Node
    {
        RankedHolders holders;
        LocalTokenBuckets localBuckets;
        std::optional<std::pair<TimePoint, RateShare>> share;
    };

    std::vector<const Member *> activeMembers() const
    {
        std::vector<const Member *> members;
        for (const Member &member : m_members)
            members.push_back(&member);
        return members;
    }

    void requestTokens(TimePoint now, std::size_t requester)
    {
        Node &node = m_nodes[requester];
        const Member *holder = node.holders.holderOf(now, share, activeMembers());
        if (!holder) {
            spendLocally(now, node);
            return;
        }
        auto index = static_cast<std::size_t>(holder - m_members.data());
        node.holders.onRequestSent(now, holder->node);
        if (m_partitions[index] != m_partitions[requester])
            return; // the request is lost
        double tokens = grant(now, index, m_members[requester].node);
        node.holders.onResponse(holder->node);
        if (tokens > 0)
            m_spent.emplace_back(now, tokens);
    }

    void spendLocally(TimePoint now, Node &node)
    {
        double rateFraction = node.holders.isolatedFraction(now, size());
        while (node.localBuckets.spend(now, "team", rate * rateFraction, burst * rateFraction))
            m_spent.emplace_back(now, 1);
    }

    double grant(TimePoint now, std::size_t holder, const std::string &requester)
    {
        Node &node = m_nodes[holder];
        node.holders.onRequestReceived(now, share, requester);
        std::optional<TimePoint> since = node.holders.heldSince(now, share);
        if (!since)
            return 0;
        if (!node.share || node.share->first != *since)
            node.share.emplace(*since, RateShare(*since));
        double rateFraction = node.holders.rateFraction(now, share, size());
        TeamPolicy team {rate * rateFraction, burst * rateFraction, 1, false, std::nullopt};
        return node.share->second.grant(now, "team", team, 1, 1000).tokens;
    }

    std::vector<Member> m_members;
    std::vector<Node> m_nodes;
    std::vector<int> m_partitions;
    std::vector<std::pair<TimePoint, double>> m_spent;
};

/** The required bound for a window: a tenth above rate and burst, and twenty requests more. */
double boundFor(Duration window)
{
    return (rate * inSeconds(window) + burst) * 1.1 + 20;
}

} // namespace

TEST_CASE("one ranked holder issues the whole rate, and no window exceeds the bound")
{
    Fleet fleet(18);
    TimePoint now {100s};
    TimePoint begin = now;
    for (; now < begin + 30s; now += 20ms)
        fleet.step(now);
    CHECK(fleet.largestInWindow(5s) <= boundFor(5s));
    CHECK(fleet.spentWithin(begin + 10s, 10s) >= 0.95 * rate * 10);
}

TEST_CASE("partitioned nodes together issue no more than the rate")
{
    // Load: a team over its rate at all nodes, while the nodes are partitioned and rejoined.
    // Each partition selects a holder of its own, which must not issue the whole rate.
    Random random(11);
    for (int run = 0; run < 6; ++run) {
        Fleet fleet(12);
        TimePoint now {100s};
        TimePoint begin = now;
        while (now < begin + 30s) {
            bool changes = pickIndex(random, 100) == 0;
            if (changes)
                fleet.setPartition(pickIndex(random, fleet.size()),
                                   static_cast<int>(pickIndex(random, 3)));
            fleet.step(now);
            now += 20ms;
        }
        CHECK(fleet.largestInWindow(5s) <= boundFor(5s));
    }
}

TEST_CASE("one second after two nodes are isolated, the fleet spends at least 80 % of the rate")
{
    Fleet fleet(6);
    TimePoint now {100s};
    for (; now < TimePoint {110s}; now += 20ms)
        fleet.step(now);
    for (std::size_t node = 0; node < 2; ++node)
        fleet.setPartition(node, static_cast<int>(10 + node));
    for (; now < TimePoint {120s}; now += 20ms)
        fleet.step(now);
    // Two of the six nodes are isolated and use their own fractions; the others share the rest.
    CHECK(fleet.spentWithin(TimePoint {111s}, 8s) >= 0.8 * rate * 8);
    CHECK(fleet.largestInWindow(5s) <= boundFor(5s));
}
