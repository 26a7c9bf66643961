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
constexpr Duration clientPause = 100ms; // before a caller's retry
constexpr Duration tickInterval = 10ms;
constexpr int zonePicked = 1; // the zone that is taken out
constexpr int coldWork = 100; // pieces of work until a cold target is warm
constexpr double coldShare = 0.2; // of its slots that a cold target bears
constexpr double coldSlowdown = 5;
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

double Figures::goodput(Duration measured) const
{
    return static_cast<double>(whole) / inSeconds(measured);
}

double Figures::worstTeamShare() const
{
    double worst = 1;
    for (std::size_t c = 0; c < priorityClassCount; ++c) {
        std::vector<std::pair<double, double>> teams; // wanted, served
        double served = 0;
        double wanted = 0;
        for (const auto &[key, want] : wantedByTeam) {
            if (static_cast<std::size_t>(key.first) != c)
                continue;
            auto got = servedByTeam.find(key);
            teams.emplace_back(want, got == servedByTeam.end() ? 0 : got->second);
            served += teams.back().second;
            wanted += want;
        }
        constexpr double fullyServed = 0.98; // of the class
        if (wanted <= 0 || served > fullyServed * wanted)
            continue;
        std::sort(teams.begin(), teams.end());
        double left = served;
        for (std::size_t i = 0; i < teams.size(); ++i) {
            double due = std::min(teams[i].first, left / static_cast<double>(teams.size() - i));
            left -= due;
            if (due > 0)
                worst = std::min(worst, teams[i].second / due);
        }
        return worst; // classes below this one get what is left by accident
    }
    return worst;
}

/** A backend server: slots, a queue of its own, a cold start. */
struct FleetModel::Target
{
    const ServiceShape *shape = nullptr;
    int zone = 0;
    Gate gate;
    int held = 0; ///< Calls at the backend server.
    int running = 0; ///< Calls that have a slot.
    int coldLeft = 0;
    std::deque<std::shared_ptr<Call>> queue;
    std::unordered_map<Ticket, std::shared_ptr<Call>> calls;

    int bears() const
    {
        return coldLeft > 0 ? std::max(1, static_cast<int>(shape->slots * coldShare))
                            : shape->slots;
    }
};

struct FleetModel::Node
{
    std::string name;
    int zone = 0;
    std::unique_ptr<Router> router;
    PathTable paths;
    RetryPolicy retries;
};

struct FleetModel::Outcome
{
    bool whole = false;
    Refusal refusal {ErrorKind::OutcomeUnknown, "", Execution::Unknown};
    LoadReport load;
    std::uint8_t retriesLeft = 0;
    double pathFraction = 1;
};

struct FleetModel::Request
{
    const RequestShape *shape = nullptr;
    int team = 0;
    TimePoint sentAt;
    int tries = 0;
    bool ended = false;
    double slotSeconds = 0;
};

struct FleetModel::Call
{
    std::shared_ptr<Request> request;
    const WorkShape *work = nullptr;
    CallContext context;
    TimePoint deadline;
    int node = 0; ///< That sends it.
    Done done;
    int sends = 0;
    std::vector<std::string> excluded;
    std::uint8_t retriesLeft = 0;
    double pathFraction = 1;
    // At the target:
    Ticket ticket = 0;
    std::string token;
    TimePoint startedAt;
    bool atWork = false;
    bool hasSlot = false;
    int inZoneOut = 0;
    CallTable below; ///< Holds this call alone.
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
                target->gate = OpenGate {};
                break;
            case Control::StaticLimit:
                target->gate = StaticGate {service.slots, 0, {}, 1};
                break;
            case Control::Aimd:
                target->gate = AimdGate {10, 0, 600ms, 1};
                break;
            case Control::Codel:
                target->gate = CodelGate {service.slots, 0, {}, {}, 1};
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

Figures FleetModel::run()
{
    TimePoint end = TimePoint {} + m_scenario.length;
    m_figures.wholeByBucket.resize(
        static_cast<std::size_t>(m_scenario.length / Figures::bucketLength) + 1);
    scheduleNextArrival();
    std::function<void()> tickAll = [&] {
        for (std::size_t i = 0; i < m_targets.size(); ++i)
            applyEffects(static_cast<int>(i), tick(m_targets[i]->gate, m_events.now()));
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
        m_events.at(TimePoint {} + m_scenario.coldAt, [this] { makeCold(); });
    std::function<void()> trace = [&] {
        printTrace();
        m_events.after(m_scenario.traceInterval, trace);
    };
    if (m_scenario.traceInterval > Duration::zero())
        m_events.after(m_scenario.traceInterval, trace);
    m_events.runUntil(end);
    return m_figures;
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
            cold += target->coldLeft;
            if (const auto *gate = std::get_if<TargetAdmission>(&target->gate)) {
                limit += gate->limit();
                queued += static_cast<double>(gate->queued());
                fraction += gate->worstFraction() / service.targets;
                detectedColdStarts +=
                    static_cast<double>(gate->learnedLimit().detectedColdStarts());
            }
        }
        fmt::print(" | {} limit {:.0f} held {} running {} queued {:.0f} fraction {:.3f} restarts "
                   "{:.0f} cold {}",
                   service.name, limit, held, running, queued, fraction, detectedColdStarts, cold);
    }
    fmt::print("\n");
}

void FleetModel::changeZone(bool out)
{
    std::string zone = "zone-" + std::to_string(zonePicked);
    if (out)
        m_zonesOut.insert(zone);
    else
        m_zonesOut.erase(zone);
}

void FleetModel::makeCold()
{
    for (auto &target : m_targets) {
        if (target->shape == &m_deployment.services.back())
            target->coldLeft = coldWork;
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
            ++m_figures.sent;
            m_figures.importantSent += request->shape->priority <= PriorityClass::Important;
            m_figures.wantedByTeam[{request->shape->priority, request->team}] += 1;
        }
        sendRequest(request);
    });
}

void FleetModel::sendRequest(const std::shared_ptr<Request> &request)
{
    ++request->tries;
    auto call = std::make_shared<Call>();
    call->node = static_cast<int>(pickIndex(m_random, m_nodes.size()));
    call->work = &request->shape->work;
    call->deadline = m_events.now() + request->shape->deadline;
    CallContext &context = call->context;
    context.team = "team-" + std::to_string(request->team);
    context.priority = request->shape->priority;
    context.admissionDraw = uniform(m_random);
    context.timeLeft = request->shape->deadline;
    context.retriesLeft = retriesPerTree;
    call->request = request;
    call->done = [this, request](const Outcome &outcome) { endRequest(request, outcome); };
    if (m_scenario.control == Control::Ibiswell && m_scenario.shedAtEntry) {
        PathTable &paths = m_nodes[static_cast<std::size_t>(call->node)]->paths;
        context.admittedFraction =
            paths.fraction(m_events.now(), {call->work->route, context.team, context.priority});
        if (context.admissionDraw >= context.admittedFraction) {
            Outcome refused;
            refused.refusal = {ErrorKind::PathOverloaded, "", Execution::NotRun};
            noteRefusal(*call, ErrorKind::PathOverloaded);
            endRequest(request, refused);
            return;
        }
    }
    beginCall(call);
}

void FleetModel::endRequest(const std::shared_ptr<Request> &request, const Outcome &outcome)
{
    bool inTime = m_events.now() <= request->sentAt + request->shape->deadline;
    bool whole = outcome.whole && inTime;
    bool mayRetry = request->shape->idempotent || outcome.refusal.execution == Execution::NotRun;
    bool retries = !whole && mayRetry && request->tries <= m_scenario.clientRetries && inTime;
    if (retries) {
        m_events.after(clientPause, [this, request] { sendRequest(request); });
        return;
    }
    if (whole)
        ++m_figures.wholeByBucket[static_cast<std::size_t>(m_events.now().time_since_epoch()
                                                           / Figures::bucketLength)];
    if (!isMeasured(request->sentAt))
        return;
    (whole ? m_figures.usefulSlotSeconds : m_figures.wastedSlotSeconds) += request->slotSeconds;
    if (whole) {
        ++m_figures.whole;
        m_figures.importantWhole += request->shape->priority <= PriorityClass::Important;
        m_figures.servedByTeam[{request->shape->priority, request->team}] += 1;
    } else if (outcome.refusal.execution == Execution::NotRun && !outcome.whole) {
        ++m_figures.refused;
    } else {
        ++m_figures.lost;
    }
}

void FleetModel::noteRefusal(const Call &call, ErrorKind kind)
{
    if (!isMeasured(m_events.now()))
        return;
    std::string name = fmt::format("{} {} depth {} {}", ibiswell::toString(call.context.priority),
                                   call.work->route, call.context.depth, answerFor(kind).name);
    ++m_figures.refusals[name];
}

void FleetModel::beginCall(const std::shared_ptr<Call> &call)
{
    call->retriesLeft = call->context.retriesLeft;
    m_nodes[static_cast<std::size_t>(call->node)]->retries.onFirstAttempt();
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
        call->done(outcome);
        return;
    }
    ++call->sends;
    m_figures.calls += isMeasured(m_events.now()) ? 1 : 0;
    node.router->onSend(choice->node);
    call->context.retriesLeft = call->retriesLeft / 2;
    call->retriesLeft = static_cast<std::uint8_t>(call->retriesLeft - call->context.retriesLeft);
    int target = m_nodeByName[choice->node];
    Duration delay = latency(node.zone, m_targets[static_cast<std::size_t>(target)]->zone);
    m_events.after(delay, [this, call, target] { arriveAtTarget(call, target); });
}

PathKey FleetModel::keyBelow(const Call &call)
{
    return {pathBelow(call.work->route), call.context.team, call.context.priority};
}

void FleetModel::arriveAtTarget(const std::shared_ptr<Call> &call, int index)
{
    Target &target = *m_targets[static_cast<std::size_t>(index)];
    call->context.timeLeft = call->deadline - m_events.now();
    PathTable &paths = m_nodes[static_cast<std::size_t>(index)]->paths;
    Arrival arrival {call->work->route, call->context, 1, 1};
    arrival.downstreamFraction = paths.fraction(m_events.now(), keyBelow(*call));
    if (const auto *gate = std::get_if<TargetAdmission>(&target.gate))
        call->context.admittedFraction = gate->forwardedFraction(arrival);
    std::vector<AdmissionEffect> effects = arrive(target.gate, m_events.now(), arrival);
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
            noteRefusal(*call, refused->kind);
            outcome.retriesLeft = call->context.retriesLeft;
            answerCall(index, call, outcome);
        } else {
            startWork(index, call);
        }
    }
}

void FleetModel::startWork(int index, const std::shared_ptr<Call> &call)
{
    Target &target = *m_targets[static_cast<std::size_t>(index)];
    call->startedAt = m_events.now();
    call->atWork = true;
    bool zoneIsOut = target.zone == zonePicked && !m_zonesOut.empty()
        && m_events.now().time_since_epoch() > m_scenario.zoneOutAt + 2s;
    m_figures.workInZoneOut += zoneIsOut ? 1 : 0;
    bool tooMuch = target.held >= target.shape->connections
        || (target.coldLeft > 0 && target.held >= target.bears());
    m_figures.overBearing += target.coldLeft > 0 && target.held >= target.bears() ? 1 : 0;
    if (target.coldLeft > 0 && target.held >= 2 * target.bears())
        target.coldLeft = coldWork; // it falls over and begins anew
    ++target.held;
    if (tooMuch) {
        m_events.after(1ms, [this, index, call] { endWork(index, call, true, WorkOutcome::Shed); });
        return;
    }
    call->token = "call";
    call->context.timeLeft = call->deadline - m_events.now();
    call->below.start(m_events.now(), call->token, call->context);
    if (target.running < target.bears()) {
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
    double varied = 0.5 - 0.5 * std::log(1 - uniform(m_random));
    double factor = target.coldLeft > 0 ? coldSlowdown : 1;
    Duration own = fromSeconds(inSeconds(call->work->ownTime) * varied * factor);
    m_events.after(own, [this, index, call] { runBelow(index, call, 0); });
}

void FleetModel::runBelow(int index, const std::shared_ptr<Call> &call, std::size_t position)
{
    if (!call->atWork)
        return;
    bool late = m_events.now() >= call->deadline;
    if (late && m_scenario.control == Control::Ibiswell) {
        endWork(index, call, true, WorkOutcome::Failed);
        return;
    }
    if (position >= call->work->below.size()) {
        endWork(index, call, false, WorkOutcome::Completed);
        return;
    }
    std::optional<CallContext> inherited = call->below.beginBelow(m_events.now(), call->token);
    auto next = std::make_shared<Call>();
    next->request = call->request;
    next->work = &call->work->below[position];
    next->context = *inherited;
    next->deadline = call->deadline;
    next->node = index;
    next->done = [this, index, call, position](const Outcome &outcome) {
        call->below.endBelow(m_events.now(), call->token, outcome.retriesLeft,
                             outcome.pathFraction);
        if (!call->atWork)
            return;
        if (outcome.whole)
            runBelow(index, call, position + 1);
        else
            endWork(index, call, true, WorkOutcome::Completed);
    };
    beginCall(next);
}

void FleetModel::endWork(int index, const std::shared_ptr<Call> &call, bool failed,
                         WorkOutcome outcome)
{
    Target &target = *m_targets[static_cast<std::size_t>(index)];
    call->atWork = false;
    --target.held;
    bool hadSlot = call->hasSlot;
    call->hasSlot = false;
    target.calls.erase(call->ticket);
    CallTable::Ended ended;
    if (!call->token.empty())
        ended = call->below.end(m_events.now(), call->token);
    if (ended.callsBelow > 0)
        m_nodes[static_cast<std::size_t>(index)]->paths.onAnswer(m_events.now(), keyBelow(*call),
                                                                 ended.pathFraction);
    Duration slotTime = m_events.now() - call->startedAt;
    call->request->slotSeconds += inSeconds(slotTime);
    WorkResult end {outcome, slotTime, ended.downstreamWait, outcome == WorkOutcome::Failed};
    std::vector<AdmissionEffect> effects = finish(target.gate, m_events.now(), call->ticket, end);
    if (hadSlot) {
        target.coldLeft = std::max(0, target.coldLeft - 1);
        freeSlot(index);
    }
    Outcome result;
    result.whole = !failed;
    result.retriesLeft = ended.retriesLeft;
    result.pathFraction = ended.pathFraction;
    ErrorKind kind =
        outcome == WorkOutcome::Shed ? ErrorKind::BackendShed : ErrorKind::OutcomeUnknown;
    result.refusal = {kind, "", Execution::Unknown};
    if (failed)
        noteRefusal(*call, kind);
    answerCall(index, call, result);
    applyEffects(index, effects);
}

void FleetModel::freeSlot(int index)
{
    Target &target = *m_targets[static_cast<std::size_t>(index)];
    --target.running;
    while (!target.queue.empty() && target.running < target.bears()) {
        std::shared_ptr<Call> next = target.queue.front();
        target.queue.pop_front();
        if (next->atWork)
            runOwnTime(index, next);
    }
}

void FleetModel::answerCall(int index, const std::shared_ptr<Call> &call, const Outcome &outcome)
{
    Target &target = *m_targets[static_cast<std::size_t>(index)];
    Outcome answer = outcome;
    answer.load = report(target.gate, call->context);
    Node &own = *m_nodes[static_cast<std::size_t>(index)];
    double below = own.paths.fraction(m_events.now(), keyBelow(*call));
    answer.pathFraction = std::min({answer.load.pathFraction, outcome.pathFraction, below});
    Node &node = *m_nodes[static_cast<std::size_t>(call->node)];
    m_events.after(latency(target.zone, node.zone), [this, call, answer, index] {
        Node &caller = *m_nodes[static_cast<std::size_t>(call->node)];
        const std::string &name = m_nodes[static_cast<std::size_t>(index)]->name;
        bool failed = !answer.whole && answer.refusal.execution == Execution::Unknown;
        caller.router->onAnswer(m_events.now(), name, answer.load, failed);
        caller.paths.onAnswer(m_events.now(),
                              {call->work->route, call->context.team, call->context.priority},
                              answer.pathFraction);
        call->excluded.push_back(name);
        afterAnswer(call, answer);
    });
}

void FleetModel::afterAnswer(const std::shared_ptr<Call> &call, const Outcome &answer)
{
    call->pathFraction = std::min(call->pathFraction, answer.pathFraction);
    call->retriesLeft = static_cast<std::uint8_t>(call->retriesLeft + answer.retriesLeft);
    if (!answer.whole && retryCall(call, answer)) {
        sendCall(call);
        return;
    }
    Outcome outcome = answer;
    outcome.retriesLeft = call->retriesLeft;
    outcome.pathFraction = call->pathFraction;
    call->done(outcome);
}

bool FleetModel::retryCall(const std::shared_ptr<Call> &call, const Outcome &outcome)
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
    bool wholeTree = m_scenario.retries == Retries::CallTree;
    FailedAttempt attempt {outcome.refusal, idempotent, call->sends,
                           wholeTree ? call->retriesLeft : retriesPerHop,
                           call->deadline - m_events.now()};
    RetryPolicy &policy = m_nodes[static_cast<std::size_t>(call->node)]->retries;
    RetryDecision decision = policy.decide(attempt);
    if (std::holds_alternative<RetryCall>(decision) && wholeTree)
        --call->retriesLeft;
    return !std::holds_alternative<GiveUp>(decision);
}

} // namespace ibiswell::model
