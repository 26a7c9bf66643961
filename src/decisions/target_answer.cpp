#include "ibiswell/decisions/target_answer.h"

#include "ibiswell/core/decimal.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;
constexpr Duration firstRetryDelay = 100ms;
constexpr Duration longestRetryDelay = 1s;

std::optional<double> readNumber(const HttpResponse &response, const std::string &name)
{
    return name.empty() ? std::nullopt : readDecimal(response.header(name));
}

bool isOtherInstance(const HeaderNames &names, const TargetQuestion &question,
                     const HttpResponse &response)
{
    std::string_view instance = response.header(names.instance);
    return response.status == statusMisdirected
        || (!instance.empty() && instance != question.instance);
}

} // namespace

TargetAnswer readTargetAnswer(const HeaderNames &names, const TargetQuestion &question,
                              const CallResult &result)
{
    if (const Refusal *refusal = std::get_if<Refusal>(&result)) {
        bool isAbsent = refusal->kind == ErrorKind::ConnectFailed;
        return isAbsent ? TargetAnswer(TargetAbsent {}) : TargetUndecided {};
    }
    const HttpResponse &response = std::get<HttpResponse>(result);
    if (isOtherInstance(names, question, response))
        return TargetAbsent {};
    if (response.hasHeader(names.leaving))
        return TargetLeaving {};
    // It drains, fails, or has no slot for the question.
    if (response.status == statusUnavailable)
        return TargetUndecided {};
    Duration warmup = fromSeconds(readNumber(response, names.remainingWarmup).value_or(0) / 1000);
    return TargetReady {warmup, readNumber(response, names.admittedRate)};
}

Duration targetQuestionRetryDelay(int count)
{
    Duration delay = firstRetryDelay;
    for (int i = 1; i < count && delay < longestRetryDelay; ++i)
        delay *= 2;
    return std::min(delay, longestRetryDelay);
}

} // namespace ibiswell
