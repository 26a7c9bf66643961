#pragma once

#include "ibiswell/core/hash.h"
#include "ibiswell/decisions/connectivity_monitor.h"
#include "ibiswell/decisions/entry_admission.h"
#include "ibiswell/decisions/membership.h"
#include "ibiswell/decisions/path_table.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/rate_share.h"
#include "ibiswell/decisions/retry_policy.h"
#include "ibiswell/decisions/router.h"
#include "ibiswell/decisions/target_admission.h"
#include "ibiswell/decisions/token_cache.h"

#include <fmt/format.h>

#include <vector>

namespace ibiswell::benchmarks {

/** The planned fleet has 19,000 targets in 820 services. */
inline constexpr int targetsPerService = 23;

inline Member makeMember(int number)
{
    Member member;
    member.node = fmt::format("node-{:05}", number);
    member.service = fmt::format("service-{:03}", number / targetsPerService);
    member.zone = fmt::format("zone-{:02}", number % 10);
    member.endpoint = {fmt::format("10.{}.{}.{}", number >> 16, (number >> 8) & 255, number & 255),
                       7000};
    member.httpPort = 8000;
    member.incarnation = 1'700'000'000'000;
    return member;
}

inline std::vector<Member> makeMembers(int count)
{
    std::vector<Member> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        members.push_back(makeMember(i));
    return members;
}

/** A policy with three routes per service, and one team and one key per two services. */
inline PolicyDocument makePolicy(int services)
{
    PolicyDocument document;
    document.version = 1;
    for (int i = 0; i < services; ++i) {
        for (const char *path : {"/items", "/orders", "/"})
            document.entries[fmt::format("routes/route-{}{}", i, path)] = fmt::format(
                R"({{"service":"service-{:03}","path":"{}","idempotent":true}})", i, path);
        document.entries[fmt::format("teams/team-{}", i / 2)] = R"({"rate_per_s":200,"burst":400})";
        document.entries["keys/" + sha256Hex(fmt::format("key-{}", i / 2))] =
            fmt::format(R"({{"team":"team-{}"}})", i / 2);
    }
    return document;
}

/** All decisions that a node makes for one call, from admission to its response. */
struct CallDecisions
{
    Kernel kernel;
    Dialect &dialect = kernel.add<Dialect>("dialect", nativeDialect());
    PolicyStore &policy = kernel.add<PolicyStore>("policy");
    PathTable &paths = kernel.add<PathTable>("paths");
    ConnectivityMonitor &connectivity = kernel.add<ConnectivityMonitor>("contact");
    Membership &membership = kernel.add<Membership>("membership", Member {});
    EntryAdmission entry {kernel};
    Router router {"zone-01", std::chrono::microseconds(1500)};
    TokenCache tokenCache;
    TargetAdmission admission;
    RetryPolicy retries;
    Random random {1};
    TimePoint now {std::chrono::seconds(1)};

    CallDecisions(int members, int services)
    {
        policy.adopt(makePolicy(services));
        for (const Member &member : makeMembers(members))
            router.onMember(member);
    }

    /** Returns whether the call was admitted and completed. */
    bool run()
    {
        now += std::chrono::milliseconds(1);
        HttpRequest request {"GET", "/service-000/items/7", {{"x-ibiswell-key", "key-0"}}, ""};
        EntryDecision decision = entry.admit(now, std::move(request), "request", random);
        AdmittedRequest *entered = std::get_if<AdmittedRequest>(&decision);
        if (!entered)
            return false;
        tokenCache.spend(now, entered->context.team);
        retries.onFirstAttempt(now);
        auto choice = router.choose(now, {entered->service, nullptr, nullptr}, random);
        if (!choice)
            return false;
        router.onSend(choice->node);
        Arrival arrival {entered->route.name, entered->context, 1, 1};
        auto effects = admission.arrive(now, arrival);
        Ticket ticket = std::visit([](const auto &effect) { return effect.ticket; }, effects[0]);
        admission.finish(now + std::chrono::milliseconds(5), ticket,
                         {WorkOutcome::Completed, std::chrono::milliseconds(5), {}, false});
        LoadReport load = admission.report(entered->context.priority, entered->context.team);
        router.onResponse(now, choice->node, load, false);
        paths.onResponse(now,
                         {entered->route.name, entered->context.team, entered->context.priority},
                         load.pathFraction);
        return true;
    }
};

/** The membership of one node that knows @p count members. */
inline Membership makeMembership(int count)
{
    Membership membership(makeMember(0));
    membership.onRoster(TimePoint {std::chrono::seconds(1)}, makeMembers(count));
    return membership;
}

/**
 * Simulates the control work of a node in one second: two ticks of the membership, acknowledgements
 * to its own probes, probes from other nodes, and one check each for leases to acquire and for
 * being a policy watcher. Returns the number of effects.
 */
inline std::size_t runControlSecond(Membership &membership, TimePoint &now, Random &random,
                                    std::uint32_t leases)
{
    std::size_t effects = 0;
    Datagram probe {makeMember(1).node, makeMember(1).endpoint, 1, {}, Probe {1}};
    for (int tick = 0; tick < 2; ++tick) {
        now += Membership::probePeriod();
        for (const MembershipEffect &effect : membership.tick(now, random)) {
            const SendDatagram *sent = std::get_if<SendDatagram>(&effect);
            const Probe *sentProbe = sent ? std::get_if<Probe>(&sent->datagram.body) : nullptr;
            if (!sentProbe)
                continue;
            Datagram ack {"node-00002", {}, 1, {}, ProbeAck {sentProbe->sequence}};
            effects += membership.onDatagram(now, ack).size() + 1;
        }
        effects += membership.onDatagram(now, probe).size();
    }
    std::vector<const Member *> activeMembers = membership.activeMembers();
    effects += leasesToAcquire(membership.self(), activeMembers, leases).size();
    effects += isPolicyWatcher(membership.self(), activeMembers) ? 1 : 0;
    return effects;
}

} // namespace ibiswell::benchmarks
