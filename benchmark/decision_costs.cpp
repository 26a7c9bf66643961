/** Benchmarks of the decisions on the path of a request and in the periodic control work. */

#include "fixtures.h"

#include <benchmark/benchmark.h>

using namespace ibiswell;
using namespace ibiswell::benchmarks;

namespace {

void callDecisions(benchmark::State &state)
{
    CallDecisions call(static_cast<int>(state.range(0)), 20);
    for (auto _ : state)
        benchmark::DoNotOptimize(call.run());
}
BENCHMARK(callDecisions)->Arg(100)->Arg(1000)->Arg(10000);

void routerChoose(benchmark::State &state)
{
    Router router("zone-01", std::chrono::microseconds(1500));
    for (const Member &member : makeMembers(static_cast<int>(state.range(0))))
        router.onMember(member);
    Random random(1);
    for (auto _ : state)
        benchmark::DoNotOptimize(
            router.choose(TimePoint {}, {"service-000", nullptr, nullptr}, random));
}
BENCHMARK(routerChoose)->Arg(100)->Arg(10000);

void admissionArriveFinish(benchmark::State &state)
{
    TargetAdmission admission;
    Arrival arrival;
    arrival.route = "route";
    arrival.context.team = "team";
    arrival.context.remainingTime = std::chrono::seconds(1);
    TimePoint now {std::chrono::seconds(1)};
    for (auto _ : state) {
        now += std::chrono::microseconds(100);
        auto effects = admission.arrive(now, arrival);
        Ticket ticket = std::visit([](const auto &e) { return e.ticket; }, effects[0]);
        benchmark::DoNotOptimize(admission.finish(
            now, ticket, {WorkOutcome::Completed, std::chrono::milliseconds(1), {}, false}));
    }
}
BENCHMARK(admissionArriveFinish);

void rateShareGrant(benchmark::State &state)
{
    RateShare share(TimePoint {});
    TeamPolicy team {1e6, 1e6, 1};
    TimePoint now {std::chrono::seconds(1)};
    for (auto _ : state) {
        now += std::chrono::microseconds(100);
        benchmark::DoNotOptimize(share.grant(now, "team", team, 4, 5));
    }
}
BENCHMARK(rateShareGrant);

void membershipControlSecond(benchmark::State &state)
{
    Membership membership = makeMembership(static_cast<int>(state.range(0)));
    Random random(1);
    TimePoint now {std::chrono::seconds(1)};
    for (auto _ : state)
        benchmark::DoNotOptimize(runControlSecond(membership, now, random, 1024));
}
BENCHMARK(membershipControlSecond)->Arg(100)->Arg(1000)->Arg(10000);

void policyAdoptOneChange(benchmark::State &state)
{
    PolicyStore store;
    PolicyDocument document = makePolicy(static_cast<int>(state.range(0)));
    store.adopt(document);
    int rate = 1;
    for (auto _ : state) {
        PolicyDelta delta {document.version,
                           document.version + 1,
                           {{"teams/team-0", fmt::format("{{\"rate_per_s\":{}}}", ++rate)}}};
        applyDelta(document, delta);
        benchmark::DoNotOptimize(store.adopt(PolicyResponse {std::vector<PolicyDelta> {delta}}));
    }
}
BENCHMARK(policyAdoptOneChange)->Arg(8)->Arg(82)->Arg(820);

} // namespace

BENCHMARK_MAIN();
