#include "call_path.h"

#include "target_service.h"

#include "ibiswell/decisions/broken_calls.h"

#include <fmt/format.h>

namespace ibiswell {

/** The state of one call while it goes from target to target. */
struct CallPath::Attempt
{
    Entered entered;
    TimePoint deadline;
    std::vector<std::string> excluded;
    int sends = 0;
    int targetsReached = 0; ///< Backend servers that got the request, or may have got it.
    double pathFraction = 1;
    std::uint8_t retriesLeft = 0;
    std::string target;
    std::string shortService; ///< By the last answer.

    CallOutcome outcome(CallResult result) const
    {
        const Refusal *refusal = std::get_if<Refusal>(&result);
        bool ownService = refusal && tellsShortage(refusal->kind);
        return {std::move(result),
                pathFraction,
                retriesLeft,
                target,
                sends,
                ownService ? entered.service : shortService};
    }
};

/** Tells the router of a send whose answer never came because the call was cancelled. */
class CallPath::SendGuard
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
        if (!m_settled)
            m_router.onAbandoned(m_node);
    }
    void settled() { m_settled = true; }

private:
    Router &m_router;
    std::string m_node;
    bool m_settled = false;
};

CallPath::CallPath(Kernel &kernel)
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

Task<CallOutcome> CallPath::run(Entered entered)
{
    Attempt attempt;
    attempt.deadline = steadyNow() + entered.context.timeLeft;
    attempt.retriesLeft = entered.context.retriesLeft;
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
        AnswerMessage answer = co_await send(attempt, *choice);
        if (HttpAnswer *whole = std::get_if<HttpAnswer>(&answer.result))
            co_return attempt.outcome(std::move(*whole));
        refusal = std::get<Refusal>(answer.result);
        bool again = co_await retry(attempt, *choice, refusal);
        if (!again)
            co_return attempt.outcome(std::move(refusal));
    }
}

std::optional<RouteChoice> CallPath::choose(Attempt &attempt)
{
    RouteQuery query {attempt.entered.service,
                      [this](std::string_view zone) { return m_policy.isZoneOut(zone); },
                      &attempt.excluded};
    std::optional<RouteChoice> choice = m_router.choose(steadyNow(), query, m_node.random);
    const CallContext &context = attempt.entered.context;
    std::string attemptNumber = fmt::to_string(attempt.sends + 1);
    if (!choice) {
        m_decisions.note(context.requestId, "route",
                         {{"team", context.team},
                          {"class", std::string(toString(context.priority))},
                          {"service", attempt.entered.service},
                          {"attempt", attemptNumber},
                          {"outcome", std::string(answerFor(ErrorKind::NoTarget).name)},
                          {"reason", m_router.lastError()->detail}});
        return std::nullopt;
    }
    if (attempt.sends == 0 && !m_decisions.tellsEachStep())
        return choice; // the line on the answer tells of it
    m_decisions.note(context.requestId, "route",
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

Task<AnswerMessage> CallPath::send(Attempt &attempt, const RouteChoice &choice)
{
    ++attempt.sends;
    CallMessage call;
    call.callId = m_node.nextId++;
    call.service = attempt.entered.service;
    call.route = attempt.entered.route.name;
    call.context = attempt.entered.context;
    call.context.timeLeft = attempt.deadline - steadyNow();
    call.context.attempt = static_cast<std::uint8_t>(attempt.sends);
    // Half of the budget goes down, half stays for a retry from here.
    call.context.retriesLeft = attempt.retriesLeft / 2;
    attempt.retriesLeft = static_cast<std::uint8_t>(attempt.retriesLeft - call.context.retriesLeft);
    call.request = attempt.entered.request;
    SendGuard guard(m_router, choice.node);
    AnswerMessage answer;
    if (choice.node == m_node.settings.node) {
        answer = co_await m_target.run(std::move(call));
    } else {
        PeerReply reply = co_await m_links.call(choice.endpoint, std::move(call));
        if (Refusal *refusal = std::get_if<Refusal>(&reply)) {
            guard.settled();
            m_router.onSilence(steadyNow(), choice.node);
            answer.result = std::move(*refusal);
            co_return answer;
        }
        answer = std::move(std::get<AnswerMessage>(std::get<PeerMessage>(reply)));
    }
    guard.settled();
    attempt.shortService = std::move(answer.shortService);
    const Refusal *refusal = std::get_if<Refusal>(&answer.result);
    bool failed = refusal && refusal->execution == Execution::Unknown;
    m_router.onAnswer(steadyNow(), choice.node, answer.load, failed);
    const CallContext &context = attempt.entered.context;
    m_paths.onAnswer(steadyNow(), {attempt.entered.route.name, context.team, context.priority},
                     answer.load.pathFraction);
    attempt.pathFraction = std::min(attempt.pathFraction, answer.load.pathFraction);
    attempt.retriesLeft = static_cast<std::uint8_t>(attempt.retriesLeft + answer.retriesLeft);
    co_return answer;
}

Task<bool> CallPath::retry(Attempt &attempt, const RouteChoice &choice, const Refusal &refusal)
{
    FailedAttempt failed {refusal,
                          attempt.entered.route.idempotent,
                          attempt.sends,
                          attempt.retriesLeft,
                          attempt.deadline - steadyNow(),
                          attempt.entered.service,
                          attempt.targetsReached,
                          attempt.entered.route.maximumTargets};
    bool reachedTarget = refusal.execution != Execution::NotRun
        || answerFor(refusal.kind).rechoice == Rechoice::FromBudget;
    attempt.targetsReached += reachedTarget ? 1 : 0;
    failed.targetsReached = attempt.targetsReached;
    RetryDecision decision = m_retries.decide(failed);
    attempt.excluded.push_back(choice.node);
    std::string_view verdict;
    if (std::holds_alternative<GiveUp>(decision)) {
        verdict = std::get<GiveUp>(decision).reason;
    } else if (std::holds_alternative<ChooseAgain>(decision)) {
        verdict = "the target refused for itself alone";
        m_metrics.rechosen();
    } else {
        verdict = "paid from the call tree's budget";
        m_metrics.retried();
        --attempt.retriesLeft;
    }
    bool again = !std::holds_alternative<GiveUp>(decision);
    m_decisions.note(attempt.entered.context.requestId, "retry",
                     {{"team", attempt.entered.context.team},
                      {"target", choice.node},
                      {"error", std::string(answerFor(refusal.kind).name)},
                      {"execution", std::string(toString(refusal.execution))},
                      {"again", again ? "yes" : "no"},
                      {"reason", std::string(verdict)}});
    if (const RetryCall *retryCall = std::get_if<RetryCall>(&decision))
        co_await sleepFor(retryCall->wait);
    co_return again;
}

} // namespace ibiswell
