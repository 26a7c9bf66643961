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

/** A few nodes that take tokens as fast as they get them, some of them cut off from the others. */
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
        m_island.resize(nodes, 0);
    }

    void setIsland(std::size_t node, int island) { m_island[node] = island; }
    std::size_t size() const { return m_nodes.size(); }

    /** Each node wants all that it can get. */
    void step(TimePoint now)
    {
        for (std::size_t asking = 0; asking < size(); ++asking)
            ask(now, asking);
    }

    /** Tokens spent in the last @p window of all. */
    double spentWithin(TimePoint from, Duration window) const
    {
        double sum = 0;
        for (const auto &[at, tokens] : m_spent)
            sum += at >= from && at < from + window ? tokens : 0;
        return sum;
    }
    double worstWindow(Duration window) const
    {
        double worst = 0;
        for (const auto &[at, tokens] : m_spent)
            worst = std::max(worst, spentWithin(at, window));
        return worst;
    }

private:
    struct Node
    {
        RankedHolders holders;
        LocalTokenBucket alone;
        std::optional<std::pair<TimePoint, RateShare>> share;
    };

    std::vector<const Member *> present() const
    {
        std::vector<const Member *> members;
        for (const Member &member : m_members)
            members.push_back(&member);
        return members;
    }

    void ask(TimePoint now, std::size_t asking)
    {
        Node &node = m_nodes[asking];
        const Member *holder = node.holders.holderOf(now, share, present());
        if (!holder) {
            spendAlone(now, node);
            return;
        }
        auto index = static_cast<std::size_t>(holder - m_members.data());
        node.holders.onRequestSent(now, holder->node);
        if (m_island[index] != m_island[asking])
            return; // lost
        double tokens = grant(now, index, m_members[asking].node);
        node.holders.onResponse(holder->node);
        if (tokens > 0)
            m_spent.emplace_back(now, tokens);
    }

    void spendAlone(TimePoint now, Node &node)
    {
        double rateFraction = node.holders.isolatedFraction(now, size());
        while (node.alone.spend(now, "team", rate * rateFraction, burst * rateFraction))
            m_spent.emplace_back(now, 1);
    }

    double grant(TimePoint now, std::size_t holder, const std::string &asking)
    {
        Node &node = m_nodes[holder];
        node.holders.onRequestReceived(now, share, asking);
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
    std::vector<int> m_island;
    std::vector<std::pair<TimePoint, double>> m_spent;
};

/** The users' bound on a window: rate and burst, a tenth more, and twenty requests. */
double allowedIn(Duration window)
{
    return (rate * inSeconds(window) + burst) * 1.1 + 20;
}

} // namespace

TEST_CASE("one ranked holder hands out the whole rate, and no window gets more")
{
    Fleet fleet(18);
    TimePoint now {100s};
    TimePoint begin = now;
    for (; now < begin + 30s; now += 20ms)
        fleet.step(now);
    CHECK(fleet.worstWindow(5s) <= allowedIn(5s));
    CHECK(fleet.spentWithin(begin + 10s, 10s) >= 0.95 * rate * 10);
}

TEST_CASE("islands of nodes that a cut leaves mint together no more than the rate")
{
    // Load: a team over its rate at all nodes, while the nodes fall into islands and join again.
    Random random(11);
    for (int run = 0; run < 6; ++run) {
        Fleet fleet(12);
        TimePoint now {100s};
        TimePoint begin = now;
        while (now < begin + 30s) {
            bool changes = pickIndex(random, 100) == 0;
            if (changes)
                fleet.setIsland(pickIndex(random, fleet.size()),
                                static_cast<int>(pickIndex(random, 3)));
            fleet.step(now);
            now += 20ms;
        }
        CHECK(fleet.worstWindow(5s) <= allowedIn(5s));
    }
}

TEST_CASE("a holder that falls silent is replaced within half a second")
{
    Fleet fleet(6);
    TimePoint now {100s};
    for (; now < TimePoint {110s}; now += 20ms)
        fleet.step(now);
    for (std::size_t node = 0; node < 2; ++node)
        fleet.setIsland(node, static_cast<int>(10 + node));
    for (; now < TimePoint {120s}; now += 20ms)
        fleet.step(now);
    // Two of six are cut off and keep to their parts; the others share the rest.
    CHECK(fleet.spentWithin(TimePoint {111s}, 8s) >= 0.8 * rate * 8);
    CHECK(fleet.worstWindow(5s) <= allowedIn(5s));
}
