#include "fleet_model.h"

#include "ibiswell/decisions/call_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>

namespace ibiswell::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration sameZoneLatency = 200us; // one way
constexpr Duration clientRetryDelay = 100ms;
constexpr Duration tickInterval = 10ms;
constexpr int removedZone = 1; // the zone that a scenario takes out of service
constexpr int coldWork = 100; // calls that a cold target runs until it is warm
constexpr double coldSlotFraction = 0.2; // fraction of its slots that a cold target can use
constexpr double coldSlowdown = 5; // factor by which a call at a cold target takes longer
constexpr int retriesPerTree = 2;
constexpr int retriesPerHop = 3;

} // namespace

std::string_view toString(Control control)
{
    constexpr std::string_view names[] {"ibiswell", "no control", "static limit", "AIMD alone",
                                        "CoDel and LIFO"};
    return names[static_cast<int>(control)];
}

std::string_view toString(Retries retries)
{
    constexpr std::string_view names[] {"call tree budget", "3 at each hop", "node share 10%",
                                        "no retry"};
    return names[static_cast<int>(retries)];
}

double Measurements::goodput(Duration measured) const
{
    return static_cast<double>(succeeded) / inSeconds(measured);
}

double Measurements::worstTeamShare() const
{
    double worst = 1;
    for (std::size_t c = 0; c < priorityClassCount; ++c) {
        std::vector<std::pair<double, double>> teams; // requested, served
        double served = 0;
        double requested = 0;
        for (const auto &[key, teamRequested] : requestedByTeam) {
            if (static_cast<std::size_t>(key.first) != c)
                continue;
            auto teamServed = servedByTeam.find(key);
            teams.emplace_back(teamRequested,
                               teamServed == servedByTeam.end() ? 0 : teamServed->second);
            served += teams.back().second;
            requested += teamRequested;
        }
        constexpr double fullyServed = 0.98; // fraction of the class's requests
        if (requested <= 0 || served > fullyServed * requested)
            continue;
        // Max-min fair shares of what the class was served, by water-filling.
        std::sort(teams.begin(), teams.end());
        double remaining = served;
        for (std::size_t i = 0; i < teams.size(); ++i) {
            double fairShare =
                std::min(teams[i].first, remaining / static_cast<double>(teams.size() - i));
            remaining -= fairShare;
            if (fairShare > 0)
                worst = std::min(worst, teams[i].second / fairShare);
        }
        return worst; // Less important classes are served only by chance, so they are ignored.
    }
    return worst;
}

/** A simulated backend server with its limiter, slots, internal queue and cold start. */
struct FleetModel::Target
{
    const ServiceShape *shape = nullptr;
    int zone = 0;
    Limiter limiter;
    int held = 0; ///< Calls at the backend server, running or in its internal queue.
    int running = 0; ///< Calls that have a slot.
    int remainingColdWork = 0; ///< Calls to run until the target is warm; 0: it is warm.
    std::deque<std::shared_ptr<Call>> queue;
    std::unordered_map<Ticket, std::shared_ptr<Call>> calls;

    int usableSlots() const
    {
        return remainingColdWork > 0
            ? std::max(1, static_cast<int>(shape->slots * coldSlotFraction))
            : shape->slots;
    }
};

/** The node of the target with the same index. It also receives requests of callers. */
struct FleetModel::Node
{
    std::string name;
    int zone = 0;
    std::unique_ptr<Router> router;
    PathTable paths;
    RetryPolicy retries;
};

/** How a call ended, with what its response reports. */
struct FleetModel::Outcome
{
    bool succeeded = false;
    /** Valid only if the call did not succeed. */
    Refusal refusal {ErrorKind::OutcomeUnknown, "", Execution::Unknown};
    LoadReport load;
    std::uint8_t remainingRetries = 0;
    double pathFraction = 1;
};

/** A request of a caller, with all its attempts. */
struct FleetModel::Request
{
    const RequestShape *shape = nullptr;
    int team = 0;
    TimePoint sentAt;
    int attempts = 0; ///< Attempts by the caller; retries by nodes are not counted.
    bool ended = false;
    double slotSeconds = 0; ///< Slot time that all calls for this request have used.
};

/** A call in the call tree of a request, with all its sends to targets. */
struct FleetModel::Call
{
    std::shared_ptr<Request> request;
    const WorkShape *work = nullptr;
    CallContext context;
    TimePoint deadline;
    int node = 0; ///< The node that sends the call.
    CompletionCallback onCompleted;
    int sends = 0; ///< Sends to targets, including retries.
    std::vector<std::string> excluded; ///< Nodes that have already responded to this call.
    std::uint8_t remainingRetries = 0;
    double pathFraction = 1;
    // State at the target:
    Ticket ticket = 0;
    std::string token;
    TimePoint startedAt;
    bool isActive = false;
    bool hasSlot = false;
    int inZoneOut = 0;
    CallTable callTable; ///< Contains only this call.
};

FleetModel::FleetModel(const Deployment &deployment, const Scenario &scenario)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_random(scenario.seed)
    , m_capacity(m_deployment.capacity())
{
    for (const ServiceShape &service : m_deployment.services) {
        for (int i = 0; i < service.targets; ++i) {
            auto target = std::make_unique<Target>();
            target->shape = &service;
            target->zone = i % m_deployment.zones;
            switch (m_scenario.control) {
            case Control::Ibiswell:
                break;
            case Control::None:
                target->limiter = NoLimiter {};
                break;
            case Control::StaticLimit:
                target->limiter = StaticLimiter {service.slots, 0, {}, 1};
                break;
            case Control::Aimd:
                target->limiter = AimdLimiter {10, 0, 600ms, 1};
                break;
            case Control::Codel:
                target->limiter = CodelLimiter {service.slots, 0, {}, {}, 1};
                break;
            }
            auto node = std::make_unique<Node>();
            node->name = service.name + "-" + std::to_string(i);
            node->zone = target->zone;
            m_nodeByName[node->name] = static_cast<int>(m_nodes.size());
            m_targets.push_back(std::move(target));
            m_nodes.push_back(std::move(node));
        }
    }
    for (auto &node : m_nodes) {
        node->router = std::make_unique<Router>("zone-" + std::to_string(node->zone),
                                                m_deployment.otherZoneLatency);
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            Member member;
            member.node = m_nodes[i]->name;
            member.service = m_targets[i]->shape->name;
            member.zone = "zone-" + std::to_string(m_targets[i]->zone);
            member.incarnation = 1;
            node->router->onMember(member);
        }
    }
}

FleetModel::~FleetModel() = default;

Duration FleetModel::latency(int fromZone, int toZone) const
{
    return fromZone == toZone ? sameZoneLatency : m_deployment.otherZoneLatency;
}

double FleetModel::loadAt(TimePoint time) const
{
    double multiple = 0;
    for (const LoadStep &step : m_scenario.load) {
        if (time.time_since_epoch() >= step.from)
            multiple = step.multiple;
    }
    return multiple;
}

bool FleetModel::isMeasured(TimePoint time) const
{
    return time.time_since_epoch() >= m_scenario.measureFrom
        && time.time_since_epoch() < m_scenario.measureUntil;
}

Measurements FleetModel::run()
{
    TimePoint end = TimePoint {} + m_scenario.length;
    m_measurements.succeededByBucket.resize(
        static_cast<std::size_t>(m_scenario.length / Measurements::bucketLength) + 1);
    scheduleNextArrival();
    std::function<void()> tickAll = [&] {
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            applyEffects(static_cast<int>(i), tick(m_targets[i]->limiter, m_events.now()));
        for (auto &node : m_nodes)
            node->paths.tick(m_events.now());
        m_events.after(tickInterval, tickAll);
    };
    m_events.after(tickInterval, tickAll);
    if (m_scenario.zoneOutAt > Duration::zero()) {
        m_events.at(TimePoint {} + m_scenario.zoneOutAt, [this] { changeZone(true); });
        m_events.at(TimePoint {} + m_scenario.zoneInAt, [this] { changeZone(false); });
    }
    if (m_scenario.coldAt > Duration::zero())
        m_events.at(TimePoint {} + m_scenario.coldAt, [this] { startCold(); });
    std::function<void()> trace = [&] {
        printTrace();
        m_events.after(m_scenario.traceInterval, trace);
    };
    if (m_scenario.traceInterval > Duration::zero())
        m_events.after(m_scenario.traceInterval, trace);
    m_events.runUntil(end);
    return m_measurements;
}

void FleetModel::printTrace() const
{
    fmt::print("{:6.2f} s", inSeconds(m_events.now().time_since_epoch()));
    for (const ServiceShape &service : m_deployment.services) {
        int held = 0, running = 0, cold = 0;
        double limit = 0, queued = 0, fraction = 0, detectedColdStarts = 0;
        for (const auto &target : m_targets) {
            if (target->shape != &service)
                continue;
            held += target->held;
            running += target->running;
            cold += target->remainingColdWork;
            if (const auto *limiter = std::get_if<TargetAdmission>(&target->limiter)) {
                limit += limiter->limit();
                queued += static_cast<double>(limiter->queued());
                fraction += limiter->worstFraction() / service.targets;
                detectedColdStarts +=
                    static_cast<double>(limiter->learnedLimit().detectedColdStarts());
            }
        }
        fmt::print(" | {} limit {:.0f} held {} running {} queued {:.0f} fraction {:.3f} cold "
                   "starts {:.0f} cold work {}",
                   service.name, limit, held, running, queued, fraction, detectedColdStarts, cold);
    }
    fmt::print("\n");
}

void FleetModel::changeZone(bool out)
{
    std::string zone = "zone-" + std::to_string(removedZone);
    if (out)
        m_zonesOut.insert(zone);
    else
        m_zonesOut.erase(zone);
}

void FleetModel::startCold()
{
    for (auto &target : m_targets) {
        if (target->shape == &m_deployment.services.back())
            target->remainingColdWork = coldWork;
    }
}

void FleetModel::scheduleNextArrival()
{
    double perSecond = m_capacity * loadAt(m_events.now());
    double gap = -std::log(1 - uniform(m_random)) / perSecond;
    m_events.after(fromSeconds(gap), [this] {
        scheduleNextArrival();
        auto request = std::make_shared<Request>();
        double pick = uniform(m_random);
        request->shape = &m_deployment.requests.back();
        for (const RequestShape &shape : m_deployment.requests) {
            if (pick < shape.share) {
                request->shape = &shape;
                break;
            }
            pick -= shape.share;
        }
        pick = uniform(m_random);
        for (double share : m_deployment.teamShares) {
            if (pick < share)
                break;
            pick -= share;
            ++request->team;
        }
        int teams = static_cast<int>(m_deployment.teamShares.size());
        request->team = std::min(request->team, teams - 1);
        request->sentAt = m_events.now();
        if (isMeasured(request->sentAt)) {
            ++m_measurements.sent;
            m_measurements.importantSent += request->shape->priority <= PriorityClass::Important;
            m_measurements.requestedByTeam[{request->shape->priority, request->team}] += 1;
        }
        sendRequest(request);
    });
}

void FleetModel::sendRequest(const std::shared_ptr<Request> &request)
{
    ++request->attempts;
    auto call = std::make_shared<Call>();
    call->node = static_cast<int>(pickIndex(m_random, m_nodes.size()));
    call->work = &request->shape->work;
    call->deadline = m_events.now() + request->shape->deadline;
    CallContext &context = call->context;
    context.team = "team-" + std::to_string(request->team);
    context.priority = request->shape->priority;
    context.admissionDraw = uniform(m_random);
    context.remainingTime = request->shape->deadline;
    context.remainingRetries = retriesPerTree;
    call->request = request;
    call->onCompleted = [this, request](const Outcome &outcome) { endRequest(request, outcome); };
    if (m_scenario.control == Control::Ibiswell && m_scenario.shedAtEntry) {
        PathTable &paths = m_nodes[static_cast<std::size_t>(call->node)]->paths;
        context.admittedFraction =
            paths.fraction(m_events.now(), {call->work->route, context.team, context.priority});
        if (context.admissionDraw >= context.admittedFraction) {
            Outcome refused;
            refused.refusal = {ErrorKind::PathOverloaded, "", Execution::NotRun};
            recordRefusal(*call, ErrorKind::PathOverloaded);
            endRequest(request, refused);
            return;
        }
    }
    beginCall(call);
}

void FleetModel::endRequest(const std::shared_ptr<Request> &request, const Outcome &outcome)
{
    bool isInTime = m_events.now() <= request->sentAt + request->shape->deadline;
    bool succeeded = outcome.succeeded && isInTime;
    bool mayRetry = request->shape->idempotent || outcome.refusal.execution == Execution::NotRun;
    bool retry =
        !succeeded && mayRetry && request->attempts <= m_scenario.clientRetries && isInTime;
    if (retry) {
        m_events.after(clientRetryDelay, [this, request] { sendRequest(request); });
        return;
    }
    if (succeeded)
        ++m_measurements.succeededByBucket[static_cast<std::size_t>(
            m_events.now().time_since_epoch() / Measurements::bucketLength)];
    if (!isMeasured(request->sentAt))
        return;
    (succeeded ? m_measurements.usefulSlotSeconds : m_measurements.wastedSlotSeconds) +=
        request->slotSeconds;
    if (succeeded) {
        ++m_measurements.succeeded;
        m_measurements.importantSucceeded += request->shape->priority <= PriorityClass::Important;
        m_measurements.servedByTeam[{request->shape->priority, request->team}] += 1;
    } else if (outcome.refusal.execution == Execution::NotRun && !outcome.succeeded) {
        ++m_measurements.refused;
    } else {
        ++m_measurements.lost;
    }
}

void FleetModel::recordRefusal(const Call &call, ErrorKind kind)
{
    if (!isMeasured(m_events.now()))
        return;
    std::string name = fmt::format("{} {} depth {} {}", ibiswell::toString(call.context.priority),
                                   call.work->route, call.context.depth, responseFor(kind).name);
    ++m_measurements.refusals[name];
}

void FleetModel::beginCall(const std::shared_ptr<Call> &call)
{
    call->remainingRetries = call->context.remainingRetries;
    m_nodes[static_cast<std::size_t>(call->node)]->retries.onFirstAttempt(m_events.now());
    sendCall(call);
}

void FleetModel::sendCall(const std::shared_ptr<Call> &call)
{
    Node &node = *m_nodes[static_cast<std::size_t>(call->node)];
    RouteQuery query {
        call->work->service,
        [this](std::string_view zone) { return m_zonesOut.contains(std::string(zone)); },
        &call->excluded};
    std::optional<RouteChoice> choice = node.router->choose(m_events.now(), query, m_random);
    if (!choice) {
        Outcome outcome;
        outcome.refusal = {ErrorKind::NoTarget, "", Execution::NotRun};
        call->onCompleted(outcome);
        return;
    }
    ++call->sends;
    m_measurements.calls += isMeasured(m_events.now()) ? 1 : 0;
    node.router->onSend(choice->node);
    call->context.remainingRetries = call->remainingRetries / 2;
    call->remainingRetries =
        static_cast<std::uint8_t>(call->remainingRetries - call->context.remainingRetries);
    int target = m_nodeByName[choice->node];
    Duration delay = latency(node.zone, m_targets[static_cast<std::size_t>(target)]->zone);
    m_events.after(delay, [this, call, target] { arriveAtTarget(call, target); });
}

PathKey FleetModel::downstreamKey(const Call &call)
{
    return {downstreamPathName(call.work->route), call.context.team, call.context.priority};
}

void FleetModel::arriveAtTarget(const std::shared_ptr<Call> &call, int index)
{
    Target &target = *m_targets[static_cast<std::size_t>(index)];
    call->context.remainingTime = call->deadline - m_events.now();
    PathTable &paths = m_nodes[static_cast<std::size_t>(index)]->paths;
    Arrival arrival {call->work->route, call->context, 1, 1};
    arrival.downstreamFraction = paths.fraction(m_events.now(), downstreamKey(*call));
    if (const auto *limiter = std::get_if<TargetAdmission>(&target.limiter))
        call->context.admittedFraction = limiter->forwardedFraction(arrival);
    std::vector<AdmissionEffect> effects = arrive(target.limiter, m_events.now(), arrival);
    call->ticket = std::visit([](const auto &effect) { return effect.ticket; }, effects.front());
    target.calls[call->ticket] = call;
    applyEffects(index, effects);
}

void FleetModel::applyEffects(int index, const std::vector<AdmissionEffect> &effects)
{
    Target &target = *m_targets[static_cast<std::size_t>(index)];
    for (const AdmissionEffect &effect : effects) {
        if (std::holds_alternative<QueueCall>(effect))
            continue;
        Ticket ticket = std::visit([](const auto &e) { return e.ticket; }, effect);
        auto found = target.calls.find(ticket);
        if (found == target.calls.end())
            continue;
        std::shared_ptr<Call> call = found->second;
        if (const RefuseCall *refused = std::get_if<RefuseCall>(&effect)) {
            target.calls.erase(found);
            Outcome outcome;
            outcome.refusal = {refused->kind, "", Execution::NotRun};
            recordRefusal(*call, refused->kind);
            outcome.remainingRetries = call->context.remainingRetries;
            sendResponse(index, call, outcome);
        } else {
            startWork(index, call);
        }
    }
}

void FleetModel::startWork(int index, const std::shared_ptr<Call> &call)
{
    Target &target = *m_targets[static_cast<std::size_t>(index)];
    call->startedAt = m_events.now();
    call->isActive = true;
    bool isZoneOut = target.zone == removedZone && !m_zonesOut.empty()
        && m_events.now().time_since_epoch() > m_scenario.zoneOutAt + 2s;
    m_measurements.startsInZoneOut += isZoneOut ? 1 : 0;
    bool overloaded = target.held >= target.shape->connections
        || (target.remainingColdWork > 0 && target.held >= target.usableSlots());
    m_measurements.startsOverColdLimit +=
        target.remainingColdWork > 0 && target.held >= target.usableSlots() ? 1 : 0;
    if (target.remainingColdWork > 0 && target.held >= 2 * target.usableSlots())
        target.remainingColdWork = coldWork; // Overload makes the cold start begin again.
    ++target.held;
    if (overloaded) {
        m_events.after(1ms, [this, index, call] { endWork(index, call, true, WorkOutcome::Shed); });
        return;
    }
    call->token = "call";
    call->context.remainingTime = call->deadline - m_events.now();
    call->callTable.start(m_events.now(), call->token, call->context);
    if (target.running < target.usableSlots()) {
        runOwnTime(index, call);
    } else {
        target.queue.push_back(call);
    }
}

void FleetModel::runOwnTime(int index, const std::shared_ptr<Call> &call)
{
    Target &target = *m_targets[static_cast<std::size_t>(index)];
    ++target.running;
    call->hasSlot = true;
    // Half of the time is constant, half exponentially distributed; the mean is ownTime.
    double randomFactor = 0.5 - 0.5 * std::log(1 - uniform(m_random));
    double slowdown = target.remainingColdWork > 0 ? coldSlowdown : 1;
    Duration own = fromSeconds(inSeconds(call->work->ownTime) * randomFactor * slowdown);
    m_events.after(own, [this, index, call] { runDownstream(index, call, 0); });
}

void FleetModel::runDownstream(int index, const std::shared_ptr<Call> &call, std::size_t position)
{
    if (!call->isActive)
        return;
    bool isLate = m_events.now() >= call->deadline;
    if (isLate && m_scenario.control == Control::Ibiswell) {
        endWork(index, call, true, WorkOutcome::Failed);
        return;
    }
    if (position >= call->work->downstream.size()) {
        endWork(index, call, false, WorkOutcome::Completed);
        return;
    }
    std::optional<CallContext> inherited =
        call->callTable.beginDownstream(m_events.now(), call->token);
    auto next = std::make_shared<Call>();
    next->request = call->request;
    next->work = &call->work->downstream[position];
    next->context = *inherited;
    next->deadline = call->deadline;
    next->node = index;
    next->onCompleted = [this, index, call, position](const Outcome &outcome) {
        call->callTable.endDownstream(m_events.now(), call->token, outcome.remainingRetries,
                                      outcome.pathFraction);
        if (!call->isActive)
            return;
        if (outcome.succeeded)
            runDownstream(index, call, position + 1);
        else
            endWork(index, call, true, WorkOutcome::Completed);
    };
    beginCall(next);
}

void FleetModel::endWork(int index, const std::shared_ptr<Call> &call, bool failed,
                         WorkOutcome outcome)
{
    Target &target = *m_targets[static_cast<std::size_t>(index)];
    call->isActive = false;
    --target.held;
    bool hadSlot = call->hasSlot;
    call->hasSlot = false;
    target.calls.erase(call->ticket);
    CallTable::CallSummary summary;
    if (!call->token.empty())
        summary = call->callTable.end(m_events.now(), call->token);
    if (summary.downstreamCalls > 0)
        m_nodes[static_cast<std::size_t>(index)]->paths.onResponse(
            m_events.now(), downstreamKey(*call), summary.pathFraction);
    Duration slotTime = m_events.now() - call->startedAt;
    call->request->slotSeconds += inSeconds(slotTime);
    WorkResult workResult {outcome, slotTime, summary.downstreamWait,
                           outcome == WorkOutcome::Failed};
    std::vector<AdmissionEffect> effects =
        finish(target.limiter, m_events.now(), call->ticket, workResult);
    if (hadSlot) {
        target.remainingColdWork = std::max(0, target.remainingColdWork - 1);
        releaseSlot(index);
    }
    Outcome result;
    result.succeeded = !failed;
    result.remainingRetries = summary.remainingRetries;
    result.pathFraction = summary.pathFraction;
    ErrorKind kind =
        outcome == WorkOutcome::Shed ? ErrorKind::BackendShed : ErrorKind::OutcomeUnknown;
    result.refusal = {kind, "", Execution::Unknown};
    if (failed)
        recordRefusal(*call, kind);
    sendResponse(index, call, result);
    applyEffects(index, effects);
}

void FleetModel::releaseSlot(int index)
{
    Target &target = *m_targets[static_cast<std::size_t>(index)];
    --target.running;
    while (!target.queue.empty() && target.running < target.usableSlots()) {
        std::shared_ptr<Call> next = target.queue.front();
        target.queue.pop_front();
        if (next->isActive)
            runOwnTime(index, next);
    }
}

void FleetModel::sendResponse(int index, const std::shared_ptr<Call> &call, const Outcome &outcome)
{
    Target &target = *m_targets[static_cast<std::size_t>(index)];
    Outcome response = outcome;
    response.load = report(target.limiter, call->context);
    Node &targetNode = *m_nodes[static_cast<std::size_t>(index)];
    double downstream = targetNode.paths.fraction(m_events.now(), downstreamKey(*call));
    response.pathFraction =
        std::min({response.load.pathFraction, outcome.pathFraction, downstream});
    Node &node = *m_nodes[static_cast<std::size_t>(call->node)];
    m_events.after(latency(target.zone, node.zone), [this, call, response, index] {
        Node &caller = *m_nodes[static_cast<std::size_t>(call->node)];
        const std::string &name = m_nodes[static_cast<std::size_t>(index)]->name;
        bool failed = !response.succeeded && response.refusal.execution == Execution::Unknown;
        caller.router->onResponse(m_events.now(), name, response.load, failed);
        caller.paths.onResponse(m_events.now(),
                                {call->work->route, call->context.team, call->context.priority},
                                response.pathFraction);
        call->excluded.push_back(name);
        onResponse(call, response);
    });
}

void FleetModel::onResponse(const std::shared_ptr<Call> &call, const Outcome &response)
{
    call->pathFraction = std::min(call->pathFraction, response.pathFraction);
    call->remainingRetries =
        static_cast<std::uint8_t>(call->remainingRetries + response.remainingRetries);
    if (!response.succeeded && decideRetry(call, response)) {
        sendCall(call);
        return;
    }
    Outcome outcome = response;
    outcome.remainingRetries = call->remainingRetries;
    outcome.pathFraction = call->pathFraction;
    call->onCompleted(outcome);
}

bool FleetModel::decideRetry(const std::shared_ptr<Call> &call, const Outcome &outcome)
{
    bool idempotent = call->request->shape->idempotent || call->context.depth > 0;
    bool mayRun = idempotent || outcome.refusal.execution == Execution::NotRun;
    switch (m_scenario.retries) {
    case Retries::Never:
        return false;
    case Retries::ThreeAtEachHop:
        return mayRun && call->sends <= retriesPerHop && m_events.now() < call->deadline;
    case Retries::NodeShare:
    case Retries::CallTree:
        break;
    }
    bool usesTreeBudget = m_scenario.retries == Retries::CallTree;
    FailedAttempt attempt {outcome.refusal, idempotent, call->sends,
                           usesTreeBudget ? call->remainingRetries : retriesPerHop,
                           call->deadline - m_events.now()};
    RetryPolicy &policy = m_nodes[static_cast<std::size_t>(call->node)]->retries;
    RetryDecision decision = policy.decide(m_events.now(), attempt);
    if (std::holds_alternative<RetryCall>(decision) && usesTreeBudget)
        --call->remainingRetries;
    return !std::holds_alternative<GiveUp>(decision);
}

} // namespace ibiswell::model
