#include "ibiswell/decisions/call_table.h"

#include "ibiswell/decisions/retry_policy.h"

#include <algorithm>

namespace ibiswell {

void CallTable::start(TimePoint now, const std::string &token, const CallContext &context)
{
    RunningCall call;
    call.context = context;
    call.deadline = now + context.remainingTime;
    call.summary.remainingRetries = context.remainingRetries;
    m_calls[token] = std::move(call);
}

std::optional<CallContext> CallTable::beginDownstream(TimePoint now, const std::string &token)
{
    auto found = m_calls.find(token);
    if (found == m_calls.end())
        return std::nullopt;
    RunningCall &call = found->second;
    ++call.summary.downstreamCalls;
    if (call.downstreamInFlight++ == 0)
        call.downstreamSince = now;
    CallContext context = call.context;
    context.remainingTime = std::max(Duration::zero(), call.deadline - now);
    context.depth = static_cast<std::uint8_t>(context.depth + 1);
    context.attempt = 1;
    context.remainingRetries = retriesForDownstreamCall(call.summary.remainingRetries);
    call.summary.remainingRetries =
        static_cast<std::uint8_t>(call.summary.remainingRetries - context.remainingRetries);
    return context;
}

void CallTable::endDownstream(TimePoint now, const std::string &token,
                              std::uint8_t remainingRetries, double pathFraction)
{
    auto found = m_calls.find(token);
    if (found == m_calls.end())
        return;
    RunningCall &call = found->second;
    if (--call.downstreamInFlight == 0)
        call.summary.downstreamWait += now - call.downstreamSince;
    call.summary.remainingRetries =
        static_cast<std::uint8_t>(call.summary.remainingRetries + remainingRetries);
    call.summary.pathFraction = std::min(call.summary.pathFraction, pathFraction);
}

CallTable::CallSummary CallTable::end(TimePoint now, const std::string &token)
{
    auto found = m_calls.find(token);
    if (found == m_calls.end())
        return {};
    RunningCall call = std::move(found->second);
    m_calls.erase(found);
    if (call.downstreamInFlight > 0)
        call.summary.downstreamWait += now - call.downstreamSince;
    return call.summary;
}

} // namespace ibiswell
