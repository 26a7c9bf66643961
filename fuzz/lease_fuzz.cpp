// Stateful fuzz test of leases. Three nodes, which may pause, have clocks that run at different
// rates; the platform loses responses and is unavailable at times. The oracle checks all nodes at
// the same point in true time: at most one holds the lease.

#include "support.h"

#include "ibiswell/decisions/lease_manager.h"

#include <deque>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodes = 3;
constexpr std::uint32_t lease = 4;

struct System
{
    TimePoint now {1s};
    std::array<double, nodes> clockRates {1.0, 1.02, 0.98};
    std::vector<LeaseManager> managers {{"a", "1", 3s}, {"b", "2", 3s}, {"c", "3", 3s}};
    LeaseRecord stored;
    bool isPlatformUnavailable = false;
    std::deque<std::function<void()>> responses; ///< Responses of the platform in transit.

    TimePoint clock(std::size_t node) const
    {
        return TimePoint {fromSeconds(inSeconds(now.time_since_epoch()) * clockRates[node])};
    }
    void execute(std::size_t node, const std::vector<LeaseEffect> &effects)
    {
        for (const LeaseEffect &effect : effects) {
            if (isPlatformUnavailable)
                continue;
            if (std::holds_alternative<ReadLease>(effect)) {
                responses.push_back([this, node, record = stored] {
                    execute(node, managers[node].onRead(clock(node), lease, record));
                });
                continue;
            }
            const WriteLease &write = std::get<WriteLease>(effect);
            TimePoint sentAt = clock(node);
            if (write.ifVersion != stored.version) {
                responses.push_back(
                    [this, node] { execute(node, managers[node].onWriteFailed(lease)); });
                continue;
            }
            LeaseRecord record = write.record;
            record.version = stored.version + 1;
            stored = record;
            responses.push_back(
                [this, node, sentAt, record] { managers[node].onWritten(sentAt, lease, record); });
        }
    }
    void check() const
    {
        int holders = 0;
        for (std::size_t node = 0; node < nodes; ++node)
            holders += managers[node].holds(clock(node), lease) ? 1 : 0;
        RC_ASSERT(holders <= 1);
    }
};

struct Empty
{
};
using Command = rc::state::Command<Empty, System>;

struct Advance : Command
{
    int milliseconds = *rc::gen::weightedOneOf<int>(
        {{6, rc::gen::inRange(1, 700)}, {2, rc::gen::inRange(2500, 3500)}});
    void run(const Empty &, System &system) const override
    {
        system.check();
        system.now += std::chrono::milliseconds(milliseconds);
        system.check();
    }
};

struct Tick : Command
{
    std::size_t node = *rc::gen::inRange<std::size_t>(0, nodes);
    void run(const Empty &, System &system) const override
    {
        system.execute(node, system.managers[node].tick(system.clock(node), {lease}));
        system.check();
    }
};

struct DeliverResponse : Command
{
    bool lost = *rc::gen::weightedElement<bool>({{5, false}, {1, true}});
    void run(const Empty &, System &system) const override
    {
        if (system.responses.empty())
            return;
        auto deliver = std::move(system.responses.front());
        system.responses.pop_front();
        if (!lost)
            deliver();
        system.check();
    }
};

struct Outage : Command
{
    bool isPlatformUnavailable = *rc::gen::weightedElement<bool>({{6, false}, {1, true}});
    void run(const Empty &, System &system) const override
    {
        system.isPlatformUnavailable = isPlatformUnavailable;
    }
};

struct Release : Command
{
    std::size_t node = *rc::gen::inRange<std::size_t>(0, nodes);
    void run(const Empty &, System &system) const override
    {
        system.execute(node, system.managers[node].releaseAll(system.clock(node)));
        system.managers[node] =
            LeaseManager(std::string(1, static_cast<char>('a' + node)),
                         std::to_string(inSeconds(system.now.time_since_epoch())), 6s);
        system.check();
    }
};

} // namespace

TEST_CASE("at most one node holds a lease at any moment")
{
    CHECK_PROPERTY([] {
        System system;
        rc::state::check(
            Empty {}, system,
            rc::state::gen::execOneOfWithArgs<Advance, Advance, Tick, Tick, DeliverResponse,
                                              DeliverResponse, Outage, Release>());
    });
}
