#pragma once

#include "deployments.h"
#include "event_queue.h"
#include "limiters.h"

#include "ibiswell/core/random.h"
#include "ibiswell/decisions/path_table.h"
#include "ibiswell/decisions/retry_policy.h"
#include "ibiswell/decisions/router.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace ibiswell::model {

/** How the load on the backend servers is limited. */
enum class Control { Ibiswell, None, StaticLimit, Aimd, Codel };

/** How nodes retry failed calls. */
enum class Retries { CallTree, ThreeAtEachHop, NodeShare, Never };

std::string_view toString(Control control);
std::string_view toString(Retries retries);

/** From @p from on, the load is @p multiple times the deployment's capacity. */
struct LoadStep
{
    Duration from {};
    double multiple = 1;
};

struct Scenario
{
    Control control = Control::Ibiswell;
    Retries retries = Retries::CallTree;
    std::vector<LoadStep> load;
    Duration length {};
    Duration measureFrom {}; ///< Only requests sent between these two times are counted.
    Duration measureUntil = std::chrono::hours(1);
    std::uint64_t seed = 1;
    bool shedAtEntry = true;
    int clientRetries = 3; ///< Maximum number of retries by a caller, after a constant delay.
    Duration zoneOutAt {}; ///< When a zone is taken out of service; zero: never.
    Duration zoneInAt {}; ///< When that zone is back in service.
    Duration coldAt {}; ///< When all targets of the last service become cold; zero: never.
    Duration traceInterval {}; ///< Interval for printing the state of each service; zero: never.
};

/** What callers and backend servers observed in the measured time of a scenario. */
struct Measurements
{
    std::uint64_t sent = 0; ///< Requests; retries by callers are not counted.
    std::uint64_t succeeded = 0; ///< Requests with a complete response before the deadline.
    std::uint64_t refused = 0; ///< Requests that failed without having run.
    std::uint64_t lost = 0; ///< All other failed requests.
    std::uint64_t importantSent = 0;
    std::uint64_t importantSucceeded = 0;
    std::uint64_t calls = 0; ///< Calls sent to targets, including retries.
    /** Calls started at a cold target that had no usable slot. */
    std::uint64_t startsOverColdLimit = 0;
    /** Calls started in the zone that is out of service, more than 2 s after it was taken out. */
    std::uint64_t startsInZoneOut = 0;
    double usefulSlotSeconds = 0;
    double wastedSlotSeconds = 0; ///< Slot time of call trees whose request failed.
    /** Refused calls by priority class, route, depth and error kind. */
    std::map<std::string, std::uint64_t> refusals;
    /** Succeeded requests in each interval of bucketLength since the start of the scenario. */
    std::vector<std::uint64_t> succeededByBucket;
    std::map<std::pair<PriorityClass, int>, double> requestedByTeam; ///< Requests sent.
    std::map<std::pair<PriorityClass, int>, double> servedByTeam; ///< Requests that succeeded.

    static constexpr Duration bucketLength = std::chrono::milliseconds(100);

    double goodput(Duration measured) const;
    /**
     * The smallest ratio of served requests to the max-min fair share over all teams, in the most
     * important class that was served only in part; 1 if all classes were served.
     */
    double worstTeamShare() const;
};

/** Runs a scenario in virtual time, with the real decision code and simulated backend servers. */
class FleetModel
{
public:
    FleetModel(const Deployment &deployment, const Scenario &scenario);
    ~FleetModel();

    Measurements run();

private:
    struct Target;
    struct Node;
    struct Request;
    struct Call;
    struct Outcome;
    using CompletionCallback = std::function<void(const Outcome &)>;

    void scheduleArrivals();
    void scheduleNextArrival();
    void sendRequest(const std::shared_ptr<Request> &request);
    void endRequest(const std::shared_ptr<Request> &request, const Outcome &outcome);
    static PathKey downstreamKey(const Call &call);
    void recordRefusal(const Call &call, ErrorKind kind);
    void beginCall(const std::shared_ptr<Call> &call);
    void sendCall(const std::shared_ptr<Call> &call);
    void arriveAtTarget(const std::shared_ptr<Call> &call, int target);
    void applyEffects(int target, const std::vector<AdmissionEffect> &effects);
    void startWork(int target, const std::shared_ptr<Call> &call);
    void runOwnTime(int target, const std::shared_ptr<Call> &call);
    void runDownstream(int target, const std::shared_ptr<Call> &call, std::size_t index);
    void endWork(int target, const std::shared_ptr<Call> &call, bool failed, WorkOutcome outcome);
    void sendResponse(int target, const std::shared_ptr<Call> &call, const Outcome &outcome);
    void onResponse(const std::shared_ptr<Call> &call, const Outcome &outcome);
    bool decideRetry(const std::shared_ptr<Call> &call, const Outcome &outcome);
    void releaseSlot(int target);
    void changeZone(bool out);
    void startCold();
    void printTrace() const;
    Duration latency(int fromZone, int toZone) const;
    double loadAt(TimePoint time) const;
    bool isMeasured(TimePoint time) const;

    Deployment m_deployment;
    Scenario m_scenario;
    EventQueue m_events;
    Random m_random;
    double m_capacity;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::map<std::string, int> m_nodeByName;
    std::set<std::string> m_zonesOut;
    Measurements m_measurements;
};

} // namespace ibiswell::model
