#include "deployments.h"

#include <map>

namespace ibiswell::model {

namespace {

using namespace std::chrono_literals;
using P = PriorityClass;

const std::vector<double> fewLargeTeams {0.40, 0.20, 0.10, 0.10, 0.08, 0.06, 0.04, 0.02};

/** Time for which the work holds a slot, which includes waiting for its downstream calls. */
Duration slotHoldTime(const WorkShape &work)
{
    Duration time = work.ownTime;
    for (const WorkShape &downstream : work.downstream)
        time += slotHoldTime(downstream);
    return time;
}

/** Adds the slot time that the work needs at each service, weighted by @p share. */
void addSlotTime(const WorkShape &work, double share, std::map<std::string, double> &slotSeconds)
{
    slotSeconds[work.service] += share * inSeconds(slotHoldTime(work));
    for (const WorkShape &downstream : work.downstream)
        addSlotTime(downstream, share, slotSeconds);
}

} // namespace

double Deployment::capacity() const
{
    std::map<std::string, double> slotSeconds; // needed for one request on average
    for (const RequestShape &request : requests)
        addSlotTime(request.work, request.share, slotSeconds);
    double lowest = 1e18;
    for (const ServiceShape &service : services) {
        if (slotSeconds[service.name] > 0)
            lowest = std::min(lowest, service.targets * service.slots / slotSeconds[service.name]);
    }
    return lowest;
}

Deployment guild()
{
    WorkShape ledger {"club-record", "ledger", 40ms, {}};
    WorkShape stock {"stock", "catalogue", 30ms, {}};
    Deployment deployment;
    deployment.name = "guild";
    deployment.services = {{"catalogue", 6, 120, 800},
                           {"orders", 4, 180, 1200},
                           {"sheets", 4, 180, 1200},
                           {"ledger", 4, 20, 200}};
    deployment.requests = {
        {{"browse", "catalogue", 50ms, {ledger}}, P::Normal, true, 2s, 0.70},
        {{"order", "orders", 80ms, {stock, ledger}}, P::Critical, false, 3s, 0.08},
        {{"refund", "orders", 60ms, {ledger}}, P::Critical, false, 3s, 0.02},
        {{"sheet", "sheets", 400ms, {stock, ledger}}, P::Bulk, true, 10s, 0.20},
    };
    deployment.teamShares = fewLargeTeams;
    deployment.zones = 4;
    deployment.otherZoneLatency = 1500us;
    return deployment;
}

Deployment tidewater()
{
    WorkShape fitting {"fitting", "fittings", 40ms, {}};
    WorkShape profile {"profile", "profiles", 30ms, {fitting}};
    Deployment deployment;
    deployment.name = "tidewater";
    deployment.services = {{"profiles", 7, 80, 550},
                           {"orders", 4, 130, 900},
                           {"patterns", 4, 130, 900},
                           {"fittings", 4, 30, 300}};
    deployment.requests = {
        {{"lookup", "profiles", 40ms, {fitting}}, P::Important, true, 1s, 0.05},
        {{"alteration", "orders", 80ms, {profile}}, P::Critical, false, 3s, 0.04},
        {{"crew-list", "profiles", 60ms, {fitting}}, P::Normal, true, 2s, 0.61},
        {{"pattern", "patterns", 300ms, {profile}}, P::Bulk, true, 10s, 0.30},
    };
    deployment.teamShares = fewLargeTeams;
    deployment.zones = 4;
    deployment.otherZoneLatency = 500us;
    return deployment;
}

Deployment sevenDeep()
{
    Deployment deployment;
    deployment.name = "seven-deep";
    WorkShape work {"level-7", "level-7", 20ms, {}};
    deployment.services.push_back({"level-7", 4, 20, 200});
    for (int level = 6; level >= 1; --level) {
        std::string name = "level-" + std::to_string(level);
        work = {name, name, 20ms, {work}};
        deployment.services.push_back({name, 4, 200, 1200});
    }
    WorkShape important = work;
    important.route = "important";
    deployment.requests = {{work, P::Normal, true, 2s, 0.95},
                           {important, P::Critical, false, 2s, 0.05}};
    deployment.teamShares = fewLargeTeams;
    deployment.zones = 4;
    deployment.otherZoneLatency = 1ms;
    return deployment;
}

} // namespace ibiswell::model
