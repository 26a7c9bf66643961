/**
 * Measures how memory, processor time and network traffic of a node grow with the number of known
 * members, and extrapolates them to the planned size. Prints the table of docs/CAPACITY.md.
 */

#include "fixtures.h"

#include "ibiswell/wire/codec.h"

#include <malloc.h>

#include <chrono>

using namespace ibiswell;
using namespace ibiswell::benchmarks;

namespace {

constexpr int plannedMembers = 19'000;
constexpr int plannedServices = 820;
constexpr double policyChangesPerSecond = 34'000.0 / 86'400;
constexpr double restartsPerSecond = 2'100.0 / 86'400;
constexpr double updatesPerRestart = 4; // leaving, dead, alive again, change of leases
constexpr double udpAndIpHeaderBytes = 28;

std::size_t heapBytesInUse()
{
    return mallinfo2().uordblks;
}

template<typename Work> double measureMeanSeconds(int times, Work work)
{
    auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i)
        work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count() / times;
}

struct Row
{
    double members;
    double heapBytes;
    double controlSeconds; ///< Processor time for the control work of one second.
};

Row measure(int members)
{
    std::size_t before = heapBytesInUse();
    Membership membership = makeMembership(members);
    Router router("zone-01", std::chrono::microseconds(1500));
    for (const Member &member : membership.roster())
        router.onMember(member);
    auto heapBytes = static_cast<double>(heapBytesInUse() - before);
    Random random(1);
    TimePoint now {std::chrono::seconds(1)};
    double controlSeconds =
        measureMeanSeconds(200, [&] { runControlSecond(membership, now, random, 1024); });
    return {static_cast<double>(members), heapBytes, controlSeconds};
}

double extrapolateToPlan(const Row &small, const Row &large, double Row::*value)
{
    double slope = (large.*value - small.*value) / (large.members - small.members);
    return large.*value + slope * (plannedMembers - large.members);
}

} // namespace

int main()
{
    std::vector<Row> rows;
    fmt::print("{:>8}{:>16}{:>14}{:>22}\n", "members", "heap bytes", "bytes/member",
               "control us per second");
    for (int members : {10, 100, 1'000, 10'000}) {
        rows.push_back(measure(members));
        const Row &row = rows.back();
        fmt::print("{:>8}{:>16.0f}{:>14.0f}{:>22.1f}\n", members, row.heapBytes,
                   row.heapBytes / members, row.controlSeconds * 1e6);
    }
    double extrapolatedHeapBytes = extrapolateToPlan(rows[2], rows[3], &Row::heapBytes);
    double controlSeconds = extrapolateToPlan(rows[2], rows[3], &Row::controlSeconds);

    PolicyStore store;
    std::size_t before = heapBytesInUse();
    PolicyDocument document = makePolicy(plannedServices);
    store.adopt(document);
    auto policyHeapBytes = static_cast<double>(heapBytesInUse() - before);
    std::uint64_t version = 1;
    double adoptSeconds = measureMeanSeconds(20, [&] {
        PolicyDelta delta {version,
                           version + 1,
                           {{"teams/team-0", fmt::format("{{\"rate_per_s\":{}}}", version)}}};
        store.adopt(PolicyResponse {std::vector<PolicyDelta> {delta}});
        ++version;
    });

    Datagram empty {makeMember(1).node, makeMember(1).endpoint, 1, {}, Probe {1}};
    Datagram oneUpdate = empty;
    oneUpdate.updates.push_back(makeMember(2));
    double frameBytes = static_cast<double>(encode(empty).size()) + udpAndIpHeaderBytes;
    double updateBytes = static_cast<double>(encode(oneUpdate).size() - encode(empty).size());
    PolicyDelta delta {1, 2, {{"teams/team-0", R"({"rate_per_s":200,"burst":400})"}}};
    // The pull and its response each have a length prefix of 4 bytes.
    double pullBytes = static_cast<double>(
        encode(PeerMessage(PolicyResponse {std::vector<PolicyDelta> {delta}})).size()
        + encode(PeerMessage(PolicyPull {1})).size() + 8);
    // Number of datagrams in which a node sends each member update, as in Membership.
    double transmissions = 3 * std::ceil(std::log2(plannedMembers + 1));
    // One probe per second in each direction, each with its acknowledgement. Each probe carries the
    // sender's own member record.
    double probeBytes = 4 * frameBytes + 2 * updateBytes;
    double memberUpdateBytes =
        2 * restartsPerSecond * updatesPerRestart * transmissions * updateBytes;
    // For each change, a node sends and receives four notices, and makes and receives one pull.
    double policyUpdateBytes = policyChangesPerSecond * (8 * frameBytes + 2 * pullBytes);

    fmt::print(
        "\none node in a fleet of {} targets, {} services (extrapolated from the last two rows)\n",
        plannedMembers, plannedServices);
    fmt::print("state of members      {:>10.1f} MB\n", extrapolatedHeapBytes / 1e6);
    fmt::print("state of the policy   {:>10.1f} MB\n", policyHeapBytes / 1e6);
    fmt::print("control               {:>10.3f} % of a core\n", controlSeconds * 100);
    fmt::print("policy changes        {:>10.3f} % of a core ({:.2f} ms per change, {:.2f}/s)\n",
               adoptSeconds * policyChangesPerSecond * 100, adoptSeconds * 1e3,
               policyChangesPerSecond);
    fmt::print("probes                {:>10.0f} B/s sent and received\n", probeBytes);
    fmt::print("member updates        {:>10.0f} B/s sent and received\n", memberUpdateBytes);
    fmt::print("policy notices, pulls {:>10.0f} B/s sent and received\n", policyUpdateBytes);
    fmt::print("sum                   {:>10.0f} B/s of 3000\n",
               probeBytes + memberUpdateBytes + policyUpdateBytes);
    return 0;
}
