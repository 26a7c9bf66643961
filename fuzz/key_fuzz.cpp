// Stateful fuzz test of idempotency keys. The commands are callers that repeat keys, entry nodes
// that fail before they settle a key, and owners that are replaced by new ones without state. The
// oracle counts the runs of each key's request: at most one, provided that callers correctly
// declare their first attempts and do not repeat a key after its record has expired.

#include "support.h"

#include "ibiswell/decisions/key_registry.h"

#include <map>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

struct System
{
    TimePoint now {1h};
    TimePoint ownedSince {1s};
    KeyRegistry registry;
    std::map<std::string, int> runs;
    std::map<std::string, bool> sent;
    std::vector<std::string> running; ///< Granted, not yet settled.
};

struct Empty
{
};
using Command = rc::state::Command<Empty, System>;

struct Claim : Command
{
    int number = *rc::gen::inRange(0, 6);
    void run(const Empty &, System &system) const override
    {
        std::string key = std::to_string(number);
        bool first = !system.sent[key];
        system.sent[key] = true;
        KeyClaimResponse response =
            system.registry.claim(system.now, system.ownedSince, {"team", key, first});
        if (std::holds_alternative<KeyGranted>(response.decision)) {
            ++system.runs[key];
            system.running.push_back(key);
        }
        if (const Refusal *refusal = std::get_if<Refusal>(&response.decision)) {
            if (refusal->execution == Execution::NotRun)
                RC_ASSERT(system.runs[key] == 0);
        }
        RC_ASSERT(system.runs[key] <= 1);
    }
};

struct Settle : Command
{
    std::size_t pick = *rc::gen::inRange<std::size_t>(0, 8);
    int outcome =
        *rc::gen::inRange(0, 4); // 0: response, 1: outcome unknown, 2: not run, 3: never settled
    void run(const Empty &, System &system) const override
    {
        if (system.running.empty())
            return;
        std::size_t index = pick % system.running.size();
        std::string key = system.running[index];
        system.running.erase(system.running.begin() + static_cast<std::ptrdiff_t>(index));
        if (outcome == 2)
            --system.runs[key]; // The request did not reach a backend server.
        CallResult result = HttpResponse {200, {}, key};
        if (outcome == 1)
            result = Refusal {ErrorKind::ConnectionLost, "", Execution::Unknown};
        if (outcome == 2)
            result = Refusal {ErrorKind::NoTarget, "", Execution::NotRun};
        if (outcome != 3)
            system.registry.settle(system.now, {"team", key, result});
    }
};

struct Advance : Command
{
    int seconds = *rc::gen::inRange(0, 40);
    void run(const Empty &, System &system) const override
    {
        system.now += std::chrono::seconds(seconds);
    }
};

struct ReplaceOwner : Command
{
    void run(const Empty &, System &system) const override
    {
        system.registry = KeyRegistry {};
        system.ownedSince = system.now;
        system.running.clear();
    }
};

} // namespace

TEST_CASE("a key's request runs at most once, also when its owner is lost")
{
    CHECK_PROPERTY([] {
        System system;
        rc::state::check(Empty {}, system,
                         rc::state::gen::execOneOfWithArgs<Claim, Claim, Claim, Settle, Settle,
                                                           Advance, ReplaceOwner>());
    });
}
