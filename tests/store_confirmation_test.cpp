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

int countWatchers(const std::vector<Member> &members)
{
    std::vector<const Member *> active;
    active.reserve(members.size());
    for (const Member &member : members)
        active.push_back(&member);
    int watchers = 0;
    for (const Member &member : members)
        watchers += isPolicyWatcher(member, active, 6) ? 1 : 0;
    return watchers;
}

/** How a model of a fleet keeps its knowledge of the store recent. */
struct FreshnessFigures
{
    Duration greatestAge {}; ///< At any node, after the first seconds.
    double checksPerSecond = 0; ///< Of the whole fleet.
};

/**
 * Nodes that exchange what they know: each probes a random other one each half second, which
 * responds, and reports to four holders of rates. The nodes before @p firstAnswered get no response
 * from the store, in the order of their ranks.
 */
FreshnessFigures playFreshness(std::size_t nodes, std::size_t firstAnswered, Duration length)
{
    constexpr Duration step = 50ms;
    constexpr Duration warmUp = 5s;
    constexpr std::size_t holders = 4;
    constexpr std::size_t spreadTo = 8;
    std::vector<StoreConfirmation> fleet(nodes);
    std::vector<TimePoint> nextCheckAt(nodes, start);
    for (StoreConfirmation &node : fleet)
        node.onStatement(start, 0s);
    Random random {3};
    FreshnessFigures figures;
    int checks = 0;
    auto exchange = [](TimePoint now, StoreConfirmation &a, StoreConfirmation &b) {
        b.onStatement(now, a.age(now));
        a.onStatement(now, b.age(now));
    };
    int round = 0;
    for (TimePoint now = start; now < start + length; now += step, ++round) {
        for (std::size_t i = 0; i < nodes; ++i) {
            StoreConfirmation &node = fleet[i];
            bool isTurn = (i + static_cast<std::size_t>(round)) % 10 == 0;
            if (isTurn) {
                exchange(now, node, fleet[pickIndex(random, nodes)]);
                for (std::size_t holder = 0; holder < holders; ++holder)
                    exchange(now, node, fleet[nodes - 1 - holder]);
            }
            if (node.age(now) < storeCheckAge(i) || now < nextCheckAt[i])
                continue;
            ++checks;
            if (i < firstAnswered) {
                nextCheckAt[i] = now + storeCheckRetryDelay;
                continue;
            }
            for (StoreTopic topic : {StoreTopic::Policy, StoreTopic::ZonesOut})
                node.onResponse(topic, now);
            for (std::size_t told = 0; told < spreadTo; ++told)
                exchange(now, node, fleet[pickIndex(random, nodes)]);
        }
        for (const StoreConfirmation &node : fleet) {
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
    for (std::size_t nodes : {18, 63, 195}) {
        FreshnessFigures figures = playFreshness(nodes, 0, 60s);
        MESSAGE(nodes << " nodes: " << figures.checksPerSecond << " checks a second, greatest age "
                      << inSeconds(figures.greatestAge) << " s");
        CHECK(figures.checksPerSecond < 1.5);
        CHECK(figures.greatestAge < StoreConfirmation::maximumAge);
        figures = playFreshness(nodes, 1, 60s);
        MESSAGE("the first is not answered: " << figures.checksPerSecond << " checks a second, "
                                              << inSeconds(figures.greatestAge) << " s");
        CHECK(figures.greatestAge < StoreConfirmation::maximumAge);
        figures = playFreshness(nodes, nodes - 1, 60s);
        MESSAGE("only the last is answered: " << inSeconds(figures.greatestAge) << " s");
        CHECK(figures.greatestAge < StoreConfirmation::maximumAge);
    }
}

TEST_CASE("CONFIG: nodes rank themselves without a message, and the first ranks ask first")
{
    std::vector<Member> members = makeMembers(3, 5);
    std::vector<const Member *> active;
    active.reserve(members.size());
    for (const Member &member : members)
        active.push_back(&member);
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
