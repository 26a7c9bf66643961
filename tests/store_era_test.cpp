/** What a node believes of a store that comes back from an older copy, without the network. */

#include "ibiswell/core/random.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/store_confirmation.h"
#include "ibiswell/decisions/store_cursor.h"
#include "ibiswell/decisions/store_era.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start {1000s};

bool lists(const NextStoreCall &call)
{
    return std::holds_alternative<ListObjects>(call);
}

/** A store of zones out of service that can go back to a copy. */
class FakeStore
{
public:
    void setOut(const std::string &zone, bool isOut)
    {
        if (isOut)
            m_zones.insert(zone);
        else
            m_zones.erase(zone);
        ++m_position.revision;
        m_changes[m_position.revision] = {zone, isOut};
    }
    void copy() { m_copy = {m_zones, m_position.revision}; }
    void restore()
    {
        m_zones = m_copy.zones;
        m_position = {m_position.era + 1, m_copy.revision};
        m_changes.clear();
    }
    ZonesOut list() const { return {m_position, {m_zones.begin(), m_zones.end()}}; }
    /** The zones after the changes since @p after; nothing when the store would answer 410. */
    std::optional<ZonesOut> watch(const ZonesOut &base, std::uint64_t after) const
    {
        if (after > m_position.revision || after < m_copy.revision)
            return std::nullopt;
        std::set<std::string> zones(base.zones.begin(), base.zones.end());
        for (auto change = m_changes.upper_bound(after); change != m_changes.end(); ++change) {
            if (change->second.isOut)
                zones.insert(change->second.zone);
            else
                zones.erase(change->second.zone);
        }
        return ZonesOut {m_position, {zones.begin(), zones.end()}};
    }
    std::uint64_t era() const { return m_position.era; }

private:
    struct Change
    {
        std::string zone;
        bool isOut = false;
    };
    struct Copy
    {
        std::set<std::string> zones;
        std::uint64_t revision = 1;
    };

    std::set<std::string> m_zones;
    StorePosition m_position {1, 1};
    std::map<std::uint64_t, Change> m_changes;
    Copy m_copy;
};

/** A node that reads the store or hears another node, one step at a time. */
struct FakeNode
{
    PolicyStore policy;
    StoreEra era;
    StoreCursor cursor;

    void read(TimePoint now, const FakeStore &store)
    {
        NextStoreCall next = cursor.next(now, era.latest());
        const WatchObjects *watched = std::get_if<WatchObjects>(&next);
        std::optional<ZonesOut> read = watched
            ? store.watch(policy.zonesOut(), watched->after.revision)
            : std::optional(store.list());
        era.onStated(store.era());
        policy.onStoreEra(now, era.latest());
        bool isUsable = read && (!watched || read->position.era == watched->after.era);
        if (isUsable)
            cursor.onRead(now, read->position);
        if (!isUsable || policy.adoptZones(now, *read) == ZonesUpdate::Held)
            cursor.onInterrupted();
    }
    void hear(TimePoint now, const FakeNode &other)
    {
        const ZonesOut &stated = other.policy.zonesOut();
        era.onStated(other.era.latest());
        policy.onStoreEra(now, era.latest());
        policy.confirmZones(stated.position, other.policy.zonesDigest());
        if (policy.isBehind(stated.position, other.policy.zonesDigest()))
            policy.adoptZones(now,
                              other.policy.respondToPull({0, policy.zonesOut().position}).zones);
    }
};

} // namespace

TEST_CASE("a watch continues only from a position that the store gave out just before")
{
    StoreCursor cursor;
    CHECK(lists(cursor.next(start, 1)));
    cursor.onRead(start, {1, 50});
    CHECK_FALSE(lists(cursor.next(start, 1)));
    CHECK(lists(cursor.next(start, 2))); // another node has told of a newer era
    CHECK(lists(cursor.next(start + 2s, 1))); // the node was paused, or did not watch
    cursor.onInterrupted();
    CHECK(lists(cursor.next(start, 1)));
    CHECK(cursor.hasRead());
}

TEST_CASE("zones out of an earlier era do not come back by their greater revision")
{
    PolicyStore store;
    CHECK(store.adoptZones(start, {{1, 90}, {}}) == ZonesUpdate::Changed);
    CHECK(store.adoptZones(start, {{2, 40}, {}}) == ZonesUpdate::Confirmed);
    CHECK(store.adoptZones(start, {{1, 95}, {"b"}}) == ZonesUpdate::Older);
    CHECK_FALSE(store.isBehind({1, 95}, 7));
    CHECK(store.isBehind({2, 41}, 7));
    CHECK_FALSE(store.isBehind({2, 41}, store.zonesDigest()));
}

TEST_CASE("a zone stays out for a while when the store has lost that it is")
{
    PolicyStore store;
    store.adoptZones(start, {{1, 90}, {"b"}});
    CHECK(store.adoptZones(start, {{2, 40}, {}}) == ZonesUpdate::Held);
    CHECK(store.isZoneOut("b"));
    CHECK(store.adoptZones(start + 2s, {{2, 41}, {"b"}}) == ZonesUpdate::Confirmed);
    CHECK(store.adoptZones(start + 3s, {{2, 42}, {}}) == ZonesUpdate::Changed);
    CHECK_FALSE(store.isZoneOut("b"));

    store.adoptZones(start, {{2, 43}, {"b"}});
    store.onStoreEra(start, 3);
    CHECK(store.adoptZones(start, {{3, 40}, {}}) == ZonesUpdate::Held);
    CHECK(store.adoptZones(start + 3s, {{3, 40}, {}}) == ZonesUpdate::Changed);
}

// Load: random writes, restores, pauses and messages; some nodes reach only some of the others.
TEST_CASE("nodes agree with the store after it went back, whatever they heard meanwhile")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        Random random {seed};
        FakeStore store;
        std::vector<FakeNode> nodes(5);
        TimePoint now = start;
        for (int step = 0; step < 400; ++step) {
            now += std::chrono::milliseconds(random() % 400);
            std::string zone(1, static_cast<char>('a' + random() % 3));
            FakeNode &node = nodes[random() % nodes.size()];
            switch (random() % 16) {
            case 0:
                store.copy();
                break;
            case 1:
                store.restore();
                break;
            case 2:
            case 3:
                store.setOut(zone, random() % 2 == 0);
                break;
            case 4:
                now += 1500ms; // nobody reads
                break;
            case 5:
            case 6:
            case 7:
            case 8:
                node.hear(now, nodes[random() % nodes.size()]);
                break;
            default:
                node.read(now, store);
            }
        }
        // The first node reads; the others hear it alone.
        for (int i = 0; i < 10; ++i, now += 500ms) {
            nodes[0].read(now, store);
            for (FakeNode &node : nodes)
                node.hear(now, nodes[0]);
        }
        for (const FakeNode &node : nodes)
            CHECK_MESSAGE(node.policy.zonesOut().zones == store.list().zones, "seed " << seed);
    }
}
