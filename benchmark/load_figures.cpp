/** Compares ibiswell with the baselines in virtual time, with fixed seeds, and prints tables. */

#include "fleet_model.h"
#include "rate_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>

using namespace ibiswell;
using namespace ibiswell::model;
using namespace std::chrono_literals;

namespace {

constexpr Duration runLength = 14s;
constexpr Duration measureFrom = 4s;

Measurements runSteadyLoad(const Deployment &deployment, Control control, Retries retries,
                           double multiple)
{
    Scenario scenario;
    scenario.control = control;
    scenario.retries = retries;
    scenario.load = {{0s, 0.5}, {1s, multiple}};
    scenario.length = runLength + 3s;
    scenario.measureFrom = measureFrom;
    scenario.measureUntil = runLength;
    return FleetModel(deployment, scenario).run();
}

/** Goodput: complete responses per second, between measureFrom and runLength. */
double computeGoodput(const Measurements &measurements)
{
    double sum = 0;
    for (auto i = static_cast<std::size_t>(measureFrom / Measurements::bucketLength);
         i < static_cast<std::size_t>(runLength / Measurements::bucketLength); ++i)
        sum += static_cast<double>(measurements.succeededByBucket[i]);
    return sum / inSeconds(runLength - measureFrom);
}

void printSteady(const Deployment &deployment, const std::vector<Control> &controls)
{
    fmt::print("\n{}: capacity {:.0f} requests/s; goodput in succeeded requests/s\n",
               deployment.name, deployment.capacity());
    fmt::print("{:<16}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}{:>9}{:>12}{:>10}\n", "control", "1x", "2x",
               "5x", "10x", "10x/1x", "imp.5x%", "imp.10x%", "worst team", "wasted%");
    for (Control control : controls) {
        Retries retries =
            control == Control::Ibiswell ? Retries::CallTree : Retries::ThreeAtEachHop;
        std::vector<double> goodput;
        std::vector<double> important;
        Measurements last;
        for (double multiple : {1.0, 2.0, 5.0, 10.0}) {
            last = runSteadyLoad(deployment, control, retries, multiple);
            goodput.push_back(computeGoodput(last));
            important.push_back(
                100.0 * static_cast<double>(last.importantSucceeded)
                / static_cast<double>(std::max<std::uint64_t>(1, last.importantSent)));
        }
        double wasted = 100 * last.wastedSlotSeconds
            / std::max(1e-9, last.wastedSlotSeconds + last.usefulSlotSeconds);
        fmt::print(
            "{:<16}{:>8.1f}{:>8.1f}{:>8.1f}{:>8.1f}{:>9.3f}{:>9.2f}{:>9.2f}{:>12.3f}{:>10.1f}\n",
            toString(control), goodput[0], goodput[1], goodput[2], goodput[3],
            goodput[3] / goodput[0], important[2], important[3], last.worstTeamShare(), wasted);
    }
}

/** Prints how long after a 10 s overload goodput is back at 95% of its value before. */
void printRecovery(const Deployment &deployment, const std::vector<Control> &controls)
{
    fmt::print("\n{}: time to recover from 10 s at ten times capacity, base load 0.7\n",
               deployment.name);
    for (Control control : controls) {
        Scenario scenario;
        scenario.control = control;
        scenario.retries =
            control == Control::Ibiswell ? Retries::CallTree : Retries::ThreeAtEachHop;
        scenario.load = {{0s, 0.7}, {5s, 10}, {15s, 0.7}};
        scenario.length = 45s;
        Measurements measurements = FleetModel(deployment, scenario).run();
        auto mean = [&](std::size_t from, std::size_t count) {
            double sum = 0;
            for (std::size_t i = from; i < from + count; ++i)
                sum += static_cast<double>(measurements.succeededByBucket[i]);
            return sum / static_cast<double>(count);
        };
        // Buckets of 100 ms: the overload begins at bucket 50 and ends at 150, the run ends at 450.
        double before = mean(20, 30);
        std::size_t bucket = 150;
        while (bucket + 10 < 450 && mean(bucket, 10) < 0.95 * before)
            ++bucket;
        if (bucket + 10 >= 450)
            fmt::print("{:<16} not within 30 s\n", toString(control));
        else
            fmt::print("{:<16} {:.1f} s\n", toString(control),
                       static_cast<double>(bucket - 150) / 10);
    }
}

void printRetries(const Deployment &deployment)
{
    fmt::print("\n{}: retry policies without any other control, at 2x\n", deployment.name);
    fmt::print("{:<20}{:>12}{:>16}\n", "retries", "goodput/s", "sends/request");
    for (Retries retries :
         {Retries::Never, Retries::ThreeAtEachHop, Retries::NodeShare, Retries::CallTree}) {
        Measurements measurements = runSteadyLoad(deployment, Control::None, retries, 2);
        fmt::print("{:<20}{:>12.1f}{:>16.2f}\n", toString(retries), computeGoodput(measurements),
                   static_cast<double>(measurements.calls)
                       / static_cast<double>(measurements.sent));
    }
}

void printZoneChange(const Deployment &deployment)
{
    Scenario scenario;
    scenario.load = {{0s, 0.6}};
    scenario.length = 24s;
    scenario.measureFrom = 4s;
    scenario.measureUntil = 20s;
    scenario.zoneOutAt = 6s;
    scenario.zoneInAt = 14s;
    scenario.clientRetries = 0;
    Measurements measurements = FleetModel(deployment, scenario).run();
    double sent = static_cast<double>(measurements.sent);
    fmt::print("\n{}: a zone is out of service from 6 s to 14 s, load 0.6, no client retries\n",
               deployment.name);
    fmt::print("refused {:.3f}%  lost {}  calls started in the zone after 2 s: {}\n",
               100 * static_cast<double>(measurements.refused) / sent, measurements.lost,
               measurements.startsInZoneOut);
    for (const auto &[refusal, count] : measurements.refusals)
        fmt::print("    {:>6} {}\n", count, refusal);
}

void printColdStart(const Deployment &deployment)
{
    fmt::print("\n{}: all targets of {} become cold at 8 s, load 0.6\n", deployment.name,
               deployment.services.back().name);
    for (Control control : {Control::Ibiswell, Control::None, Control::StaticLimit}) {
        Scenario scenario;
        scenario.control = control;
        scenario.load = {{0s, 0.6}};
        scenario.length = 40s;
        scenario.measureFrom = 4s;
        scenario.measureUntil = 36s;
        scenario.coldAt = 8s;
        Measurements measurements = FleetModel(deployment, scenario).run();
        fmt::print("{:<16} succeeded {:.2f}%  important succeeded {:.2f}%  starts over the cold "
                   "limit {}\n",
                   toString(control),
                   100 * static_cast<double>(measurements.succeeded)
                       / static_cast<double>(measurements.sent),
                   100 * static_cast<double>(measurements.importantSucceeded)
                       / static_cast<double>(measurements.importantSent),
                   measurements.startsOverColdLimit);
    }
}

} // namespace

void printRates()
{
    fmt::print("\nfleet-wide rate, 18 nodes: requests refused although within the rate\n");
    fmt::print("{:<34}{:>8}{:>8}{:>10}{:>10}{:>9}{:>14}{:>10}{:>12}\n", "load", "sent", "due",
               "admitted", "wrongful", "%", "excess/burst", "msgs/req", "max wait");
    struct Row
    {
        std::string_view name;
        double load;
        bool singleEntryNode;
        double messageLoss;
        double ratePerSecond;
    };
    for (const Row &row : {Row {"even, 0.9 of the rate", 0.9, false, 0, 200},
                           Row {"one node, 0.9 of the rate", 0.9, true, 0, 200},
                           Row {"even, 3 times the rate", 3, false, 0, 200},
                           Row {"one node, 3 times the rate", 3, true, 0, 200},
                           Row {"even, 1% of messages lost", 0.9, false, 0.01, 200},
                           Row {"even, 20 requests/s", 0.9, false, 0, 20},
                           Row {"one node, 20 requests/s", 0.9, true, 0, 20}}) {
        RateScenario scenario;
        scenario.load = row.load;
        scenario.singleEntryNode = row.singleEntryNode;
        scenario.messageLoss = row.messageLoss;
        scenario.ratePerSecond = scenario.burst = row.ratePerSecond;
        RateMeasurements measurements = runRateModel(scenario);
        fmt::print("{:<34}{:>8}{:>8}{:>10}{:>10}{:>9.3f}{:>14.3f}{:>10.2f}{:>9.1f} ms\n", row.name,
                   measurements.sent, measurements.centrallyAdmitted, measurements.admitted,
                   measurements.wronglyRefused,
                   100 * static_cast<double>(measurements.wronglyRefused)
                       / static_cast<double>(measurements.sent),
                   measurements.largestExcess / scenario.burst,
                   static_cast<double>(measurements.messages)
                       / static_cast<double>(measurements.sent),
                   inSeconds(measurements.longestWait) * 1000);
    }
}

/**
 * Usage: load_figures trace DEPLOYMENT MULTIPLE [cold]
 * Prints the state of each service over time, at MULTIPLE times the capacity of the deployment.
 * With a further argument, all targets of the last service become cold after 8 s.
 */
int printTrace(int argc, char **argv)
{
    std::string name = argc > 2 ? argv[2] : "guild";
    Scenario scenario;
    scenario.load = {{0s, 0.5}, {1s, argc > 3 ? std::atof(argv[3]) : 1}};
    scenario.length = 30s;
    scenario.traceInterval = 500ms;
    scenario.measureFrom = measureFrom;
    scenario.measureUntil = 26s;
    if (argc > 4)
        scenario.coldAt = 8s;
    for (const Deployment &deployment : {guild(), tidewater(), sevenDeep()}) {
        if (deployment.name != name)
            continue;
        Measurements measurements = FleetModel(deployment, scenario).run();
        for (const auto &[refusal, count] : measurements.refusals)
            fmt::print("{:>10} {}\n", count, refusal);
        for (const auto &[key, requested] : measurements.requestedByTeam)
            fmt::print("{:<10} team {} requested {:>8} served {:>8}\n",
                       ibiswell::toString(key.first), key.second, requested,
                       measurements.servedByTeam[key]);
        fmt::print("{:>10} sent\n{:>10} succeeded\n", measurements.sent, measurements.succeeded);
    }
    return 0;
}

int main(int argc, char **argv)
{
    if (argc > 1 && std::strcmp(argv[1], "trace") == 0)
        return printTrace(argc, argv);
    printRates();
    if (argc > 1 && std::strcmp(argv[1], "rates") == 0)
        return 0;
    bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
    std::vector<Control> controls {Control::Ibiswell};
    if (!quick)
        controls = {Control::Ibiswell, Control::None, Control::StaticLimit, Control::Aimd,
                    Control::Codel};
    for (const Deployment &deployment : {guild(), tidewater(), sevenDeep()}) {
        printSteady(deployment, controls);
        printRecovery(deployment, controls);
        if (!quick)
            printRetries(deployment);
        printZoneChange(deployment);
        printColdStart(deployment);
    }
    return 0;
}
