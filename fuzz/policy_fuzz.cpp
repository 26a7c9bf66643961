// Stateful fuzz test of policy changes. Operators race with conditional writes to a store whose
// responses may be lost; nodes receive versions from the store and from each other in any order.
// The oracles: a node's version never decreases, and an accepted change is part of the latest
// version unless a later accepted change of the same entry replaced it.

#include "support.h"

#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/policy/policy_change.h"
#include "ibiswell/policy/stored_policy.h"

#include <map>

using namespace ibiswell;

namespace {

constexpr std::size_t nodes = 3;
constexpr std::size_t operatorCount = 2;

struct Operator
{
    PolicyDocument shown; ///< The version that the operator saw when deciding on the change.
    std::optional<StoredPolicy> read; ///< The version that was read last before writing.
    std::optional<PolicyDocument> before; ///< The version of the previous attempt to write.
    PolicyChange change = RemoveEntry {};
    std::string id;
};

struct System
{
    StoredPolicy stored;
    std::array<PolicyStore, nodes> stores;
    std::array<Operator, operatorCount> operators;
    std::vector<PolicyDocument> history;
    std::map<std::string, std::string> accepted; ///< Latest accepted value of each entry.
    int nextId = 0;
};

struct Empty
{
};
using Command = rc::state::Command<Empty, System>;

struct BeginChange : Command
{
    std::size_t writerIndex = *rc::gen::inRange<std::size_t>(0, operatorCount);
    int team = *rc::gen::inRange(0, 3);
    int rate = *rc::gen::inRange(1, 100);
    void run(const Empty &, System &system) const override
    {
        Operator &writer = system.operators[writerIndex];
        if (!writer.id.empty())
            return;
        writer.change = SetEntry {"teams/team-" + std::to_string(team),
                                  "{\"rate_per_s\":" + std::to_string(rate) + "}"};
        writer.id = std::to_string(system.nextId++);
        writer.before.reset();
        writer.read = system.stored;
        writer.shown = system.stored.document;
    }
};

struct WriteChange : Command
{
    std::size_t writerIndex = *rc::gen::inRange<std::size_t>(0, operatorCount);
    bool responseLost = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    void run(const Empty &, System &system) const override
    {
        Operator &writer = system.operators[writerIndex];
        if (writer.id.empty())
            return;
        if (writer.read->hasChange(writer.id)) {
            writer.id.clear();
            return;
        }
        if (writer.before && !isIndependent(writer.change, *writer.before, writer.read->document)) {
            writer.id.clear(); // The operator gets a conflict; nothing was written.
            return;
        }
        writer.before = writer.read->document;
        StoredPolicy next = *writer.read;
        Error error;
        RC_ASSERT(applyChange(next.document, writer.change, error));
        next.addChange(writer.id);
        bool stored = writer.read->document.version == system.stored.document.version;
        if (stored) {
            // An operator never overwrites another operator's value without having seen it.
            const std::string &entry = std::get<SetEntry>(writer.change).entry;
            auto shownEntry = writer.shown.entries.find(entry);
            auto storedEntry = system.stored.document.entries.find(entry);
            bool wasShown = shownEntry != writer.shown.entries.end();
            RC_ASSERT(wasShown == (storedEntry != system.stored.document.entries.end()));
            RC_ASSERT(!wasShown || shownEntry->second == storedEntry->second);
            next.document.version += 1;
            system.stored = next;
            system.history.push_back(next.document);
            const SetEntry &set = std::get<SetEntry>(writer.change);
            system.accepted[set.entry] = set.json;
        }
        if (stored && !responseLost)
            writer.id.clear();
        else
            writer.read = system.stored;
    }
};

struct AdoptVersion : Command
{
    std::size_t node = *rc::gen::inRange<std::size_t>(0, nodes);
    std::size_t pick = *rc::gen::inRange<std::size_t>(0, 1000);
    bool fromPeer = *rc::gen::arbitrary<bool>();
    void run(const Empty &, System &system) const override
    {
        PolicyStore &store = system.stores[node];
        std::uint64_t before = store.version();
        if (fromPeer)
            store.adopt(system.stores[pick % nodes].respondToPull({before, 0}));
        else if (!system.history.empty())
            store.adopt(system.history[pick % system.history.size()]);
        RC_ASSERT(store.version() >= before);
        if (store.version() > 0)
            RC_ASSERT(store.document() == system.history[store.version() - 1]);
    }
};

struct CheckAccepted : Command
{
    void run(const Empty &, System &system) const override
    {
        for (const auto &[entry, json] : system.accepted)
            RC_ASSERT(system.stored.document.entries.at(entry) == json);
    }
};

} // namespace

TEST_CASE("accepted changes stay, and a node's policy never reverts")
{
    CHECK_PROPERTY([] {
        System system;
        rc::state::check(
            Empty {}, system,
            rc::state::gen::execOneOfWithArgs<BeginChange, WriteChange, WriteChange, AdoptVersion,
                                              AdoptVersion, CheckAccepted>());
    });
}
