#include "ibiswell/decisions/membership.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

/** A fleet that delivers datagrams immediately, except between pairs that a test disconnects. */
class FakeFleet
{
public:
    explicit FakeFleet(int count)
    {
        for (int i = 0; i < count; ++i)
            start(i, 1);
        for (auto &[name, node] : m_nodes) {
            std::vector<Member> all;
            for (auto &[other, state] : m_nodes)
                all.push_back(state->self());
            node->onRoster(m_now, all);
        }
    }

    void start(int number, std::uint64_t incarnation)
    {
        Member member;
        member.node = "n" + std::to_string(number);
        member.service = "s";
        member.zone = "z";
        member.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
        member.incarnation = incarnation;
        m_nodes[member.node] = std::make_unique<Membership>(member);
    }

    Membership &node(const std::string &name) { return *m_nodes.at(name); }
    void kill(const std::string &name) { m_dead.insert(name); }
    void revive(const std::string &name) { m_dead.erase(name); }
    void disconnect(const std::string &a, const std::string &b) { m_disconnected.insert({a, b}); }
    void heal() { m_disconnected.clear(); }

    void run(Duration length)
    {
        for (TimePoint end = m_now + length; m_now < end; m_now += Membership::probePeriod()) {
            for (auto &[name, node] : m_nodes) {
                if (!m_dead.contains(name))
                    send(name, node->tick(m_now, m_random));
            }
            deliver();
        }
    }

    void send(const std::string &from, const MembershipEffects &effects)
    {
        for (const MembershipEffect &effect : effects) {
            if (const auto *datagram = std::get_if<SendDatagram>(&effect))
                m_inFlight.push_back({from, *datagram});
        }
    }

    /** How many running nodes know @p name in @p state. */
    int countKnownAs(const std::string &name, MemberState state)
    {
        int count = 0;
        for (auto &[other, node] : m_nodes) {
            const Member *member = node->find(name);
            if (other != name && !m_dead.contains(other) && member && member->state == state)
                ++count;
        }
        return count;
    }

    Random &random() { return m_random; }
    TimePoint now() const { return m_now; }

private:
    struct InFlight
    {
        std::string from;
        SendDatagram datagram;
    };

    void deliver()
    {
        while (!m_inFlight.empty()) {
            InFlight next = std::move(m_inFlight.front());
            m_inFlight.pop_front();
            std::string to = "n" + std::to_string(next.datagram.to.port - 1000);
            if (m_dead.contains(to) || m_disconnected.contains({next.from, to})
                || m_disconnected.contains({to, next.from}) || !m_nodes.contains(to))
                continue;
            send(to, m_nodes[to]->onDatagram(m_now, next.datagram.datagram));
        }
    }

    std::map<std::string, std::unique_ptr<Membership>> m_nodes;
    std::set<std::string> m_dead;
    std::set<std::pair<std::string, std::string>> m_disconnected;
    std::deque<InFlight> m_inFlight;
    Random m_random {42};
    TimePoint m_now {1s};
};

} // namespace

TEST_CASE("all nodes learn of a dead node")
{
    FakeFleet fleet(20);
    fleet.run(5s);
    CHECK(fleet.countKnownAs("n3", MemberState::Alive) == 19);
    fleet.kill("n3");
    fleet.run(40s);
    CHECK(fleet.countKnownAs("n3", MemberState::Dead) == 19);
}

TEST_CASE("a node that only one other node cannot reach is not declared dead")
{
    FakeFleet fleet(10);
    fleet.disconnect("n1", "n2");
    fleet.run(60s);
    CHECK(fleet.countKnownAs("n2", MemberState::Dead) == 0);
    CHECK(fleet.countKnownAs("n1", MemberState::Dead) == 0);
}

TEST_CASE("a node that was paused and declared dead refutes it when it continues")
{
    FakeFleet fleet(10);
    fleet.kill("n4");
    fleet.run(40s);
    REQUIRE(fleet.countKnownAs("n4", MemberState::Dead) == 9);
    fleet.revive("n4");
    fleet.run(120s);
    CHECK(fleet.countKnownAs("n4", MemberState::Alive) == 9);
}

TEST_CASE("the two sides of a network partition find each other again after it heals")
{
    FakeFleet fleet(12);
    for (int a = 0; a < 6; ++a) {
        for (int b = 6; b < 12; ++b)
            fleet.disconnect("n" + std::to_string(a), "n" + std::to_string(b));
    }
    fleet.run(120s);
    REQUIRE(fleet.countKnownAs("n0", MemberState::Dead) == 6);
    fleet.heal();
    fleet.run(200s);
    for (int i = 0; i < 12; ++i)
        CHECK(fleet.countKnownAs("n" + std::to_string(i), MemberState::Alive) == 11);
}

TEST_CASE("all nodes learn within seconds that a node is leaving")
{
    FakeFleet fleet(20);
    fleet.send("n5", fleet.node("n5").announceState(MemberState::Leaving, fleet.random()));
    fleet.run(5s);
    CHECK(fleet.countKnownAs("n5", MemberState::Leaving) == 19);
}

TEST_CASE("the holder of a lease is known from its announcement until it releases the lease")
{
    FakeFleet fleet(8);
    fleet.send("n2", fleet.node("n2").announceLeases({7}, fleet.random()));
    fleet.run(5s);
    REQUIRE(fleet.node("n6").holderOf(7));
    CHECK(fleet.node("n6").holderOf(7)->node == "n2");
    fleet.send("n2", fleet.node("n2").announceLeases({}, fleet.random()));
    fleet.run(5s);
    CHECK(fleet.node("n6").holderOf(7) == nullptr);
}

TEST_CASE("nodes whose targets take no work yet still announce updates to each other")
{
    // This is the state when all nodes start together and no backend server has reported yet.
    Random random(9);
    Member first;
    first.node = "one";
    first.endpoint = {"127.0.0.1", 1};
    first.takesWork = false;
    Member second = first;
    second.node = "two";
    second.endpoint.port = 2;
    Membership one(first);
    Membership two(second);
    one.onRoster(TimePoint {1s}, {second});
    two.onRoster(TimePoint {1s}, {first});
    bool isSent = false;
    for (const MembershipEffect &effect : one.announceTakesWork(true, random)) {
        if (const SendDatagram *send = std::get_if<SendDatagram>(&effect)) {
            two.onDatagram(TimePoint {2s}, send->datagram);
            isSent = true;
        }
    }
    CHECK(isSent);
    REQUIRE(two.find("one"));
    CHECK(two.find("one")->takesWork);
}

TEST_CASE("a node that restarts with its clock set back is accepted by the others again")
{
    FakeFleet fleet(10);
    fleet.run(5s);
    // A node takes its incarnation from the time of day; the others know a greater one.
    fleet.start(4, 0);
    fleet.node("n4").onRoster(fleet.now(), fleet.node("n0").roster());
    fleet.send("n4", fleet.node("n4").announceTakesWork(false, fleet.random()));
    fleet.run(5s);
    for (int i = 0; i < 10; ++i) {
        const Member *known = fleet.node("n" + std::to_string(i)).find("n4");
        bool isOwn = i == 4;
        CHECK((isOwn || (known && known->state == MemberState::Alive && !known->takesWork)));
    }
}
