#include "call_dispatcher.h"

#include "target_service.h"

#include "ibiswell/decisions/downstream_saturation.h"

#include <fmt/format.h>

#include <algorithm>

namespace ibiswell {

/** State of one call across all its attempts. */
struct CallDispatcher::CallState
{
    AdmittedRequest admitted;
    TimePoint deadline;
    std::vector<std::string> excluded;
    /** Nodes whose backend servers received the request, or may have. */
    std::vector<std::string> reached;
    /** The last failure would have been retried, had the budget had more retries. */
    bool retryBudgetSpent = false;
    bool onlyReached = false; ///< The call may go to none but these.
    int sends = 0;
    double pathFraction = 1;
    std::uint8_t remainingRetries = 0;
    std::string target;
    std::string saturatedService; ///< The saturated service that the last response named.

    CallOutcome outcome(CallResult result) const
    {
        const Refusal *refusal = std::get_if<Refusal>(&result);
        bool targetSaturated = refusal && (indicatesSaturation(refusal->kind) || retryBudgetSpent);
        return {std::move(result),
                pathFraction,
                remainingRetries,
                target,
                sends,
                targetSaturated ? admitted.service : saturatedService};
    }
};

/**
 * Reports a send to the router, and reports it as abandoned when the call is cancelled before its
 * response arrives.
 */
class CallDispatcher::SendGuard
{
public:
    SendGuard(Router &router, std::string node)
        : m_router(router)
        , m_node(std::move(node))
    {
        m_router.onSend(m_node);
    }
    SendGuard(const SendGuard &) = delete;
    SendGuard &operator=(const SendGuard &) = delete;
    ~SendGuard()
    {
        if (!m_completed)
            m_router.onAbandoned(m_node);
    }
    void markCompleted() { m_completed = true; }

private:
    Router &m_router;
    std::string m_node;
    bool m_completed = false;
};

CallDispatcher::CallDispatcher(Kernel &kernel)
    : m_node(kernel.get<NodeState>("node"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_router(kernel.get<Router>("router"))
    , m_paths(kernel.get<PathTable>("paths"))
    , m_retries(kernel.get<RetryPolicy>("retries"))
    , m_connections(kernel.get<PeerConnectionPool>("peer-links"))
    , m_target(kernel.get<TargetService>("target"))
    , m_downstreamCapacity(kernel.find<DownstreamCapacity>("downstream-capacity"))
    , m_throttle(kernel.find<EntryThrottle>("throttle"))
    , m_decisions(kernel.get<DecisionLog>("decisions"))
    , m_metrics(kernel.get<Metrics>("metrics"))
{
}

Task<CallOutcome> CallDispatcher::dispatch(AdmittedRequest admitted, const CallerConnection &caller)
{
    CallState state;
    state.deadline = steadyNow() + admitted.context.remainingTime;
    state.remainingRetries = admitted.context.remainingRetries;
    state.admitted = std::move(admitted);
    const CallContext &context = state.admitted.context;
    m_retries.onFirstAttempt(steadyNow(), {state.admitted.service, context.inheritedRetryShare});
    if (context.depth > 0 && m_downstreamCapacity)
        m_downstreamCapacity->onCall(steadyNow(), state.admitted.service);
    Refusal refusal {ErrorKind::NoTarget, "", Execution::NotRun};
    for (;;) {
        std::optional<RouteChoice> choice = choose(state);
        if (!choice) {
            if (state.sends == 0)
                refusal.detail = m_router.lastError()->detail;
            co_return state.outcome(std::move(refusal));
        }
        state.target = choice->node;
        ResponseMessage message = co_await send(state, *choice, caller);
        if (HttpResponse *response = std::get_if<HttpResponse>(&message.result))
            co_return state.outcome(std::move(*response));
        refusal = std::get<Refusal>(message.result);
        bool shouldResend = co_await prepareRetry(state, *choice, refusal);
        if (!shouldResend)
            co_return state.outcome(std::move(refusal));
    }
}

std::optional<RouteChoice> CallDispatcher::choose(CallState &state)
{
    RouteQuery query {state.admitted.service,
                      [this](std::string_view zone) { return m_policy.isZoneOut(zone); }};
    if (state.onlyReached)
        query.only = &state.reached;
    else
        query.excluded = &state.excluded;
    std::optional<RouteChoice> choice = m_router.choose(steadyNow(), query, m_node.random);
    recordChoice(state, choice);
    return choice;
}

void CallDispatcher::recordChoice(const CallState &state, const std::optional<RouteChoice> &choice)
{
    const CallContext &context = state.admitted.context;
    std::string attemptNumber = fmt::to_string(state.sends + 1);
    if (!choice) {
        m_decisions.record(context.requestId, "route",
                           {{"team", context.team},
                            {"class", std::string(toString(context.priority))},
                            {"service", state.admitted.service},
                            {"attempt", attemptNumber},
                            {"outcome", std::string(responseFor(ErrorKind::NoTarget).name)},
                            {"reason", m_router.lastError()->detail}});
        return;
    }
    if (state.sends == 0 && !m_decisions.recordsEachStep())
        return; // the record of the response names the target
    m_decisions.record(context.requestId, "route",
                       {{"team", context.team},
                        {"class", std::string(toString(context.priority))},
                        {"service", state.admitted.service},
                        {"attempt", attemptNumber},
                        {"target", choice->node},
                        {"zone", choice->zone},
                        {"alternatives", fmt::to_string(choice->candidates - 1)},
                        {"reason", std::string(choice->reason)}});
}

Task<ResponseMessage> CallDispatcher::send(CallState &state, const RouteChoice &choice,
                                           const CallerConnection &caller)
{
    ++state.sends;
    CallMessage call;
    call.callId = m_node.nextId++;
    call.service = state.admitted.service;
    call.route = state.admitted.route.name;
    call.context = state.admitted.context;
    call.context.remainingTime = state.deadline - steadyNow();
    call.context.attempt = static_cast<std::uint8_t>(state.sends);
    // A choice after refusals by nodes alone is no retry: no backend server has received the call.
    if (!state.reached.empty())
        call.context.inheritedRetryShare = 1;
    // Half of the remaining retries go with the call; the rest stay for retries from this node.
    call.context.remainingRetries = state.remainingRetries / 2;
    state.remainingRetries =
        static_cast<std::uint8_t>(state.remainingRetries - call.context.remainingRetries);
    call.request = state.admitted.request;
    SendGuard guard(m_router, choice.node);
    ResponseMessage response;
    if (choice.node == m_node.settings.node) {
        response = co_await m_target.run(std::move(call), caller);
    } else {
        PeerReply reply = co_await m_connections.call(choice.endpoint, std::move(call), caller);
        if (Refusal *refusal = std::get_if<Refusal>(&reply)) {
            bool sent = refusal->kind != ErrorKind::Cancelled;
            if (sent) {
                guard.markCompleted();
                m_router.onNoResponse(steadyNow(), choice.node);
            }
            response.result = std::move(*refusal);
            co_return response;
        }
        response = std::move(std::get<ResponseMessage>(std::get<PeerMessage>(reply)));
    }
    guard.markCompleted();
    state.saturatedService = std::move(response.saturatedService);
    const Refusal *refusal = std::get_if<Refusal>(&response.result);
    bool failed = refusal && refusal->execution == Execution::Unknown;
    applyLoad(state, choice.node, response.load, failed);
    state.pathFraction = std::min(state.pathFraction, response.load.pathFraction);
    state.remainingRetries =
        static_cast<std::uint8_t>(state.remainingRetries + response.remainingRetries);
    co_return response;
}

void CallDispatcher::applyLoad(const CallState &state, const std::string &node,
                               const LoadReport &load, bool failed)
{
    TimePoint now = steadyNow();
    const AdmittedRequest &admitted = state.admitted;
    const CallContext &context = admitted.context;
    m_router.onResponse(now, node, load, failed);
    m_retries.onDownstreamHeadroom(now, admitted.service, load.retryHeadroom);
    m_paths.onResponse(now, {admitted.route.name, context.team, context.priority},
                       load.pathFraction);
    bool isDownstream = context.depth > 0;
    if (isDownstream && m_downstreamCapacity)
        m_downstreamCapacity->onStatement(now, admitted.service, load.completableFraction);
    if (!isDownstream && m_throttle)
        m_throttle->onStatement(now, admitted.route.name, load.completableFraction);
}

Task<bool> CallDispatcher::prepareRetry(CallState &state, const RouteChoice &choice,
                                        const Refusal &refusal)
{
    if (m_downstreamCapacity && state.admitted.context.depth > 0)
        m_downstreamCapacity->onRefusedCall(steadyNow());
    bool reachedTarget = refusal.execution != Execution::NotRun
        || responseFor(refusal.kind).rechoice == Rechoice::FromBudget;
    bool isFirstReach =
        std::find(state.reached.begin(), state.reached.end(), choice.node) == state.reached.end();
    if (reachedTarget && isFirstReach)
        state.reached.push_back(choice.node);
    FailedAttempt failed {refusal,
                          state.admitted.route.idempotent,
                          state.sends,
                          state.remainingRetries,
                          state.deadline - steadyNow(),
                          state.admitted.service,
                          static_cast<int>(state.reached.size()),
                          state.admitted.route.maximumTargets};
    RetryDecision decision = m_retries.decide(steadyNow(), failed);
    state.excluded.push_back(choice.node);
    state.onlyReached = std::holds_alternative<RetryAtSameTargets>(decision);
    std::string_view reason;
    if (const GiveUp *giveUp = std::get_if<GiveUp>(&decision)) {
        reason = giveUp->reason;
        state.retryBudgetSpent = giveUp->isBudgetSpent;
    } else if (std::holds_alternative<ChooseOtherTarget>(decision)) {
        reason = "the refusal concerns only this target";
        m_metrics.recordRechoice();
    } else {
        reason = "uses one retry of the call tree's budget";
        m_metrics.recordRetry();
        --state.remainingRetries;
    }
    bool shouldResend = !std::holds_alternative<GiveUp>(decision);
    m_decisions.record(state.admitted.context.requestId, "retry",
                       {{"team", state.admitted.context.team},
                        {"target", choice.node},
                        {"error", std::string(responseFor(refusal.kind).name)},
                        {"execution", std::string(toString(refusal.execution))},
                        {"again", shouldResend ? "yes" : "no"},
                        {"reason", std::string(reason)}});
    if (const RetryCall *retryCall = std::get_if<RetryCall>(&decision))
        co_await sleepFor(retryCall->wait);
    co_return shouldResend;
}

} // namespace ibiswell
