#include "call_dispatcher.h"

#include "target_service.h"

#include "ibiswell/decisions/downstream_saturation.h"

#include <fmt/format.h>

namespace ibiswell {

/** State of one call across all its attempts. */
struct CallDispatcher::Attempt
{
    AdmittedRequest entered;
    TimePoint deadline;
    std::vector<std::string> excluded;
    int sends = 0;
    int targetsReached = 0; ///< Backend servers that received the request, or may have.
    double pathFraction = 1;
    std::uint8_t remainingRetries = 0;
    std::string target;
    std::string saturatedService; ///< The saturated service that the last response named.

    CallOutcome outcome(CallResult result) const
    {
        const Refusal *refusal = std::get_if<Refusal>(&result);
        bool targetSaturated = refusal && indicatesSaturation(refusal->kind);
        return {std::move(result),
                pathFraction,
                remainingRetries,
                target,
                sends,
                targetSaturated ? entered.service : saturatedService};
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
    , m_links(kernel.get<PeerConnectionPool>("peer-links"))
    , m_target(kernel.get<TargetService>("target"))
    , m_decisions(kernel.get<DecisionLog>("decisions"))
    , m_metrics(kernel.get<Metrics>("metrics"))
{
}

Task<CallOutcome> CallDispatcher::dispatch(AdmittedRequest entered)
{
    Attempt attempt;
    attempt.deadline = steadyNow() + entered.context.remainingTime;
    attempt.remainingRetries = entered.context.remainingRetries;
    attempt.entered = std::move(entered);
    m_retries.onFirstAttempt(attempt.entered.service);
    Refusal refusal {ErrorKind::NoTarget, "", Execution::NotRun};
    for (;;) {
        std::optional<RouteChoice> choice = choose(attempt);
        if (!choice) {
            if (attempt.sends == 0)
                refusal.detail = m_router.lastError()->detail;
            co_return attempt.outcome(std::move(refusal));
        }
        attempt.target = choice->node;
        ResponseMessage message = co_await send(attempt, *choice);
        if (HttpResponse *response = std::get_if<HttpResponse>(&message.result))
            co_return attempt.outcome(std::move(*response));
        refusal = std::get<Refusal>(message.result);
        bool resend = co_await prepareRetry(attempt, *choice, refusal);
        if (!resend)
            co_return attempt.outcome(std::move(refusal));
    }
}

std::optional<RouteChoice> CallDispatcher::choose(Attempt &attempt)
{
    RouteQuery query {attempt.entered.service,
                      [this](std::string_view zone) { return m_policy.isZoneOut(zone); },
                      &attempt.excluded};
    std::optional<RouteChoice> choice = m_router.choose(steadyNow(), query, m_node.random);
    const CallContext &context = attempt.entered.context;
    std::string attemptNumber = fmt::to_string(attempt.sends + 1);
    if (!choice) {
        m_decisions.record(context.requestId, "route",
                           {{"team", context.team},
                            {"class", std::string(toString(context.priority))},
                            {"service", attempt.entered.service},
                            {"attempt", attemptNumber},
                            {"outcome", std::string(responseFor(ErrorKind::NoTarget).name)},
                            {"reason", m_router.lastError()->detail}});
        return std::nullopt;
    }
    if (attempt.sends == 0 && !m_decisions.recordsEachStep())
        return choice; // the record of the response names the target
    m_decisions.record(context.requestId, "route",
                       {{"team", context.team},
                        {"class", std::string(toString(context.priority))},
                        {"service", attempt.entered.service},
                        {"attempt", attemptNumber},
                        {"target", choice->node},
                        {"zone", choice->zone},
                        {"alternatives", fmt::to_string(choice->candidates - 1)},
                        {"reason", std::string(choice->reason)}});
    return choice;
}

Task<ResponseMessage> CallDispatcher::send(Attempt &attempt, const RouteChoice &choice)
{
    ++attempt.sends;
    CallMessage call;
    call.callId = m_node.nextId++;
    call.service = attempt.entered.service;
    call.route = attempt.entered.route.name;
    call.context = attempt.entered.context;
    call.context.remainingTime = attempt.deadline - steadyNow();
    call.context.attempt = static_cast<std::uint8_t>(attempt.sends);
    // Half of the remaining retries go with the call; the rest stay for retries from this node.
    call.context.remainingRetries = attempt.remainingRetries / 2;
    attempt.remainingRetries =
        static_cast<std::uint8_t>(attempt.remainingRetries - call.context.remainingRetries);
    call.request = attempt.entered.request;
    SendGuard guard(m_router, choice.node);
    ResponseMessage response;
    if (choice.node == m_node.settings.node) {
        response = co_await m_target.run(std::move(call));
    } else {
        PeerReply reply = co_await m_links.call(choice.endpoint, std::move(call));
        if (Refusal *refusal = std::get_if<Refusal>(&reply)) {
            guard.markCompleted();
            m_router.onNoResponse(steadyNow(), choice.node);
            response.result = std::move(*refusal);
            co_return response;
        }
        response = std::move(std::get<ResponseMessage>(std::get<PeerMessage>(reply)));
    }
    guard.markCompleted();
    attempt.saturatedService = std::move(response.saturatedService);
    const Refusal *refusal = std::get_if<Refusal>(&response.result);
    bool failed = refusal && refusal->execution == Execution::Unknown;
    m_router.onResponse(steadyNow(), choice.node, response.load, failed);
    const CallContext &context = attempt.entered.context;
    m_paths.onResponse(steadyNow(), {attempt.entered.route.name, context.team, context.priority},
                       response.load.pathFraction);
    attempt.pathFraction = std::min(attempt.pathFraction, response.load.pathFraction);
    attempt.remainingRetries =
        static_cast<std::uint8_t>(attempt.remainingRetries + response.remainingRetries);
    co_return response;
}

Task<bool> CallDispatcher::prepareRetry(Attempt &attempt, const RouteChoice &choice,
                                        const Refusal &refusal)
{
    FailedAttempt failed {refusal,
                          attempt.entered.route.idempotent,
                          attempt.sends,
                          attempt.remainingRetries,
                          attempt.deadline - steadyNow(),
                          attempt.entered.service,
                          attempt.targetsReached,
                          attempt.entered.route.maximumTargets};
    bool reachedTarget = refusal.execution != Execution::NotRun
        || responseFor(refusal.kind).rechoice == Rechoice::FromBudget;
    attempt.targetsReached += reachedTarget ? 1 : 0;
    failed.targetsReached = attempt.targetsReached;
    RetryDecision decision = m_retries.decide(failed);
    attempt.excluded.push_back(choice.node);
    std::string_view reason;
    if (std::holds_alternative<GiveUp>(decision)) {
        reason = std::get<GiveUp>(decision).reason;
    } else if (std::holds_alternative<ChooseOtherTarget>(decision)) {
        reason = "the target refused for a reason of its own";
        m_metrics.recordRechoice();
    } else {
        reason = "uses one retry of the call tree's budget";
        m_metrics.recordRetry();
        --attempt.remainingRetries;
    }
    bool resend = !std::holds_alternative<GiveUp>(decision);
    m_decisions.record(attempt.entered.context.requestId, "retry",
                       {{"team", attempt.entered.context.team},
                        {"target", choice.node},
                        {"error", std::string(responseFor(refusal.kind).name)},
                        {"execution", std::string(toString(refusal.execution))},
                        {"again", resend ? "yes" : "no"},
                        {"reason", std::string(reason)}});
    if (const RetryCall *retryCall = std::get_if<RetryCall>(&decision))
        co_await sleepFor(retryCall->wait);
    co_return resend;
}

} // namespace ibiswell
