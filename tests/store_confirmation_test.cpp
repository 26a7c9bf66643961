#include "ibiswell/decisions/store_confirmation.h"

#include "ibiswell/core/random.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/store_check.h"
#include "ibiswell/decisions/watch_trust.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start {1000s};
constexpr std::size_t watchersPerZone = 6;

std::vector<Member> makeMembers(int zones, int perZone)
{
    std::vector<Member> members;
    for (int i = 0; i < zones * perZone; ++i) {
        Member member;
        member.node = "node-" + std::to_string(i);
        member.zone = "zone-" + std::to_string(i % zones);
        members.push_back(member);
    }
    return members;
}

std::vector<const Member *> activeOf(const std::vector<Member> &members)
{
    std::vector<const Member *> active;
    active.reserve(members.size());
    for (const Member &member : members)
        active.push_back(&member);
    return active;
}

int countWatchers(const std::vector<Member> &members)
{
    std::vector<const Member *> active = activeOf(members);
    int watchers = 0;
    for (const Member &member : members)
        watchers += isPolicyWatcher(member, active, watchersPerZone) ? 1 : 0;
    return watchers;
}

/** How a model of a fleet keeps its knowledge of the store recent. */
struct FreshnessFigures
{
    Duration greatestAge {}; ///< At any node, after the first seconds.
    double checksPerSecond = 0; ///< Of the whole fleet.
};

/** A fleet as each of its nodes sees it. */
struct Fleet
{
    explicit Fleet(int zones, int perZone)
        : members(makeMembers(zones, perZone))
        , watchers(policyWatchers(activeOf(members), watchersPerZone))
    {
    }
    std::size_t indexOf(const Member *member) const
    {
        return static_cast<std::size_t>(member - members.data());
    }

    std::vector<Member> members;
    std::vector<const Member *> watchers;
};

/**
 * Nodes that exchange what they know: each probes a random other one each half second, which
 * responds, and so do the four holders of rates, to whom it reports. The watchers alone ask the
 * store; those with a rank before @p firstAnswered get no response. Who was answered tells the
 * other watchers and a few nodes.
 */
FreshnessFigures playFreshness(const Fleet &fleet, std::size_t firstAnswered, Duration length)
{
    constexpr Duration step = 50ms;
    constexpr Duration warmUp = 5s;
    constexpr std::size_t holders = 4;
    constexpr std::size_t spreadTo = 8;
    std::size_t nodes = fleet.members.size();
    std::vector<StoreConfirmation> knowledge(nodes);
    std::vector<TimePoint> nextCheckAt(nodes, start);
    for (StoreConfirmation &node : knowledge)
        node.onStatement(start, 0s);
    Random random {3};
    FreshnessFigures figures;
    int checks = 0;
    auto tell = [&](TimePoint now, std::size_t from, std::size_t to) {
        knowledge[to].onStatement(now, knowledge[from].age(now));
    };
    int round = 0;
    for (TimePoint now = start; now < start + length; now += step, ++round) {
        for (std::size_t i = 0; i < nodes; ++i) {
            if ((i + static_cast<std::size_t>(round)) % 10 != 0)
                continue;
            std::vector<std::size_t> partners {pickIndex(random, nodes)};
            for (std::size_t holder = 1; holder <= holders; ++holder)
                partners.push_back(nodes - holder);
            for (std::size_t partner : partners) {
                tell(now, i, partner);
                tell(now, partner, i);
            }
        }
        for (const Member *watcher : fleet.watchers) {
            std::size_t i = fleet.indexOf(watcher);
            std::size_t rank = storeCheckRank(*watcher, fleet.watchers);
            if (knowledge[i].age(now) < storeCheckAge(rank) || now < nextCheckAt[i])
                continue;
            ++checks;
            if (rank < firstAnswered) {
                nextCheckAt[i] = now + storeCheckRetryDelay;
                continue;
            }
            for (StoreTopic topic : {StoreTopic::Policy, StoreTopic::ZonesOut})
                knowledge[i].onResponse(topic, now);
            for (const Member *other : fleet.watchers)
                tell(now, i, fleet.indexOf(other));
            for (std::size_t told = 0; told < spreadTo; ++told)
                tell(now, i, pickIndex(random, nodes));
        }
        for (const StoreConfirmation &node : knowledge) {
            if (now > start + warmUp)
                figures.greatestAge = std::max(figures.greatestAge, node.age(now));
        }
    }
    figures.checksPerSecond = checks / inSeconds(length);
    return figures;
}

} // namespace

TEST_CASE("in a small fleet each node watches the store, and in a large one few of each zone")
{
    CHECK(countWatchers(makeMembers(3, 5)) == 15);
    CHECK(countWatchers(makeMembers(6, 33)) == 36);
    CHECK(countWatchers(makeMembers(10, 100)) == 60);
    std::vector<Member> members = makeMembers(10, 100);
    std::vector<const Member *> active = activeOf(members);
    std::vector<const Member *> watchers = policyWatchers(active, watchersPerZone);
    CHECK(watchers.size() == 60);
    for (const Member *watcher : watchers)
        CHECK(isPolicyWatcher(*watcher, active, watchersPerZone));
}

// Guards against the fault of review/9: a watch that waits counted as proof at any moment.
TEST_CASE("CONFIG: a node is current as of its requests that the store answered, on all topics")
{
    StoreConfirmation own;
    CHECK_FALSE(own.isCurrent(start));
    own.onResponse(StoreTopic::Policy, start);
    CHECK_FALSE(own.isCurrent(start)); // nothing is known of the zones yet
    own.onResponse(StoreTopic::ZonesOut, start + 1s);
    CHECK(own.age(start + 1s) == 1s);
    CHECK(own.age(start + 1h) == 1h); // whatever waits meanwhile
    own.onResponse(StoreTopic::Policy, start - 1s); // a watch that was opened earlier ends now
    CHECK(own.age(start + 1s) == 1s);

    StoreConfirmation other;
    other.onStatement(start, neverConfirmed);
    CHECK_FALSE(other.isCurrent(start));
    other.onStatement(start, 2s);
    CHECK(other.isCurrent(start + 500ms));
    CHECK_FALSE(other.isCurrent(start + 2s));
    other.onStatement(start + 2s, 5s); // older than what it knows
    CHECK(other.age(start + 2s) == 4s);
}

// Load: 18, 63 and 195 nodes, of which one after the other gets no response.
TEST_CASE("CONFIG: the calls that keep a fleet current do not grow with it")
{
    for (auto [zones, perZone] : {std::pair(3, 6), std::pair(3, 21), std::pair(6, 33)}) {
        Fleet fleet(zones, perZone);
        FreshnessFigures figures = playFreshness(fleet, 0, 60s);
        MESSAGE(fleet.members.size()
                << " nodes: " << figures.checksPerSecond << " checks a second, greatest age "
                << inSeconds(figures.greatestAge) << " s");
        CHECK(figures.checksPerSecond < 1.5);
        CHECK(figures.greatestAge < StoreConfirmation::maximumAge);
        figures = playFreshness(fleet, 1, 60s);
        MESSAGE("the first is not answered: " << figures.checksPerSecond << " checks a second, "
                                              << inSeconds(figures.greatestAge) << " s");
        CHECK(figures.greatestAge < StoreConfirmation::maximumAge);
        figures = playFreshness(fleet, fleet.watchers.size() - 1, 60s);
        MESSAGE("only the last is answered: " << inSeconds(figures.greatestAge) << " s");
        CHECK(figures.greatestAge < StoreConfirmation::maximumAge);
    }
}

TEST_CASE("CONFIG: nodes rank themselves without a message, and the first ranks ask first")
{
    std::vector<Member> members = makeMembers(3, 5);
    std::vector<const Member *> active = activeOf(members);
    std::set<std::size_t> ranks;
    for (const Member &member : members)
        ranks.insert(storeCheckRank(member, active));
    CHECK(ranks.size() == members.size());
    for (std::size_t rank = 1; rank < members.size(); ++rank)
        CHECK(storeCheckAge(rank) >= storeCheckAge(rank - 1));
    CHECK(storeCheckAge(1) > storeCheckAge(0));
    CHECK(storeCheckAge(18000) < 2s); // config-s, also for the last node that hears the store
}

TEST_CASE("CONFIG: a watch that others contradict is given up once its response is overdue")
{
    WatchTrust trust;
    CHECK_FALSE(trust.endsAt());
    trust.onChangeLearned(start);
    CHECK_FALSE(trust.hasEnded(start + 900ms)); // its response may be on the way
    trust.onChangeLearned(start + 900ms);
    CHECK(trust.hasEnded(start + WatchTrust::responseTime));
    trust.onOpened();
    CHECK_FALSE(trust.endsAt());
}

TEST_CASE("CONFIG: a watch from before lost responses is given up when the store responds again")
{
    WatchTrust trust;
    trust.onRequestAnswered(start);
    CHECK_FALSE(trust.endsAt());
    trust.onRequestLost();
    CHECK_FALSE(trust.endsAt()); // nothing better can be opened yet
    trust.onRequestAnswered(start + 5s);
    CHECK(trust.hasEnded(start + 5s));
}
