/**
 * Runs one kind of work COUNT times, so that its instructions can be counted with callgrind.
 * Usage: counted_costs call|control|policy COUNT
 * The exit status is 1 if there were fewer than COUNT completed calls, control effects or adopted
 * policy changes.
 */

#include "fixtures.h"

#include <cstdlib>
#include <string>

using namespace ibiswell;
using namespace ibiswell::benchmarks;

namespace {

constexpr int plannedMembers = 19'000;
constexpr int plannedServices = 820;
constexpr std::uint32_t plannedLeases = 1024;

int runCalls(int count)
{
    CallDecisions call(plannedMembers, plannedServices);
    int completed = 0;
    for (int i = 0; i < count; ++i)
        completed += call.run() ? 1 : 0;
    return completed;
}

int runControl(int count)
{
    Membership membership = makeMembership(plannedMembers);
    Random random(1);
    TimePoint now {std::chrono::seconds(1)};
    std::size_t effects = 0;
    for (int i = 0; i < count; ++i)
        effects += runControlSecond(membership, now, random, plannedLeases);
    return static_cast<int>(effects);
}

int runPolicy(int count)
{
    PolicyStore store;
    PolicyDocument document = makePolicy(plannedServices);
    store.adopt(document);
    int adopted = 0;
    for (int i = 0; i < count; ++i) {
        std::uint64_t version = document.version + static_cast<std::uint64_t>(i);
        std::string json = fmt::format("{{\"rate_per_s\":{}}}", i + 1);
        PolicyDelta delta {version, version + 1, {{"teams/team-0", json}}};
        adopted += store.adopt(PolicyResponse {std::vector<PolicyDelta> {delta}}) ? 1 : 0;
    }
    return adopted;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3)
        return 2;
    std::string kind = argv[1];
    int count = std::atoi(argv[2]);
    int done = kind == "call" ? runCalls(count)
        : kind == "control"   ? runControl(count)
                              : runPolicy(count);
    return done >= count ? 0 : 1;
}
