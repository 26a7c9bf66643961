#pragma once

#include "deployments.h"
#include "event_queue.h"
#include "gates.h"

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

/** Which control stands before the backend servers. */
enum class Control { Ibiswell, None, StaticLimit, Aimd, Codel };

/** How nodes retry. */
enum class Retries { CallTree, ThreeAtEachHop, NodeShare, Never };

std::string_view toString(Control control);
std::string_view toString(Retries retries);

/** A load that changes in steps; multiples of the deployment's capacity. */
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
    Duration measureFrom {}; ///< Requests sent from then on count.
    Duration measureUntil = std::chrono::hours(1);
    std::uint64_t seed = 1;
    bool shedAtEntry = true;
    int clientRetries = 3; ///< Callers retry hard: at once, this often.
    Duration zoneOutAt {}; ///< Zero: never.
    Duration zoneInAt {};
    Duration coldAt {}; ///< Zero: never. All targets of the last service go cold.
    Duration traceInterval {}; ///< Zero: no trace. Prints the state of each service.
};

/** What callers and backend servers saw from measureFrom on. */
struct Measurements
{
    std::uint64_t sent = 0; ///< Requests, a caller's retries not counted.
    std::uint64_t succeeded = 0; ///< Answered whole and in time.
    std::uint64_t refused = 0; ///< Ended as "not run".
    std::uint64_t lost = 0; ///< Ended otherwise.
    std::uint64_t importantSent = 0;
    std::uint64_t importantSucceeded = 0;
    std::uint64_t calls = 0; ///< Sends to targets, retries included.
    std::uint64_t startsOverColdLimit = 0; ///< Starts beyond what a cold target bears.
    std::uint64_t startsInZoneOut = 0; ///< Starts in the zone later than two seconds after.
    double usefulSlotSeconds = 0;
    double wastedSlotSeconds = 0; ///< Of trees without a whole answer.
    std::map<std::string, std::uint64_t> refusals; ///< By kind and route, of single calls.
    std::vector<std::uint64_t> succeededByBucket; ///< Of bucketLength, from the start.
    std::map<std::pair<PriorityClass, int>, double> requestedByTeam; ///< Requests.
    std::map<std::pair<PriorityClass, int>, double> servedByTeam;

    static constexpr Duration bucketLength = std::chrono::milliseconds(100);

    double goodput(Duration measured) const;
    /** Smallest share that a team got of its due in the class that was only partly served. */
    double worstTeamShare() const;
};

/** Runs a scenario with the real decision objects and fake backend servers in virtual time. */
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
    using Done = std::function<void(const Outcome &)>;

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
    bool retryCall(const std::shared_ptr<Call> &call, const Outcome &outcome);
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
