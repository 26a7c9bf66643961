#include "target_monitor.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration applyInterval = 50ms;
constexpr Duration longestWait = 1h; // for a question, which ends it

std::string_view nameOf(ReportOutcome outcome)
{
    switch (outcome) {
    case ReportOutcome::Stale:
        return "stale";
    case ReportOutcome::OtherService:
        return "other-service";
    case ReportOutcome::Refreshed:
        return "refreshed";
    case ReportOutcome::Unconfirmed:
        return "unconfirmed";
    case ReportOutcome::Opened:
        return "opened";
    case ReportOutcome::Closed:
        return "closed";
    }
    return "unknown";
}

} // namespace

TargetMonitor::TargetMonitor(Kernel &kernel)
    : m_node(kernel.get<NodeState>("node"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_admission(kernel.get<TargetAdmission>("admission"))
    , m_target(kernel.get<TargetService>("target"))
    , m_gate(kernel.get<TargetGate>("target-gate"))
    , m_inquiry(kernel.get<TargetInquiry>("target-inquiry"))
    , m_gossip(kernel.get<Gossip>("gossip"))
    , m_log(kernel.get<Log>("log"))
    , m_questionTimer(kernel.get<asio::io_context>("io"))
{
}

ReportOutcome TargetMonitor::onReport(const TargetReport &report)
{
    m_readError.clear();
    std::int64_t knownStart = m_gate.startedAtMs();
    ReportOutcome outcome = m_gate.onReport(steadyNow(), report);
    if (m_gate.startedAtMs() != knownStart)
        m_admission.awaitFirstResponse();
    applyGate();
    if (outcome != ReportOutcome::Refreshed)
        m_log.write(steadyNow(), LogLevel::Info, "target",
                    {{"instance", report.instance},
                     {"service", report.service},
                     {"sequence", fmt::to_string(report.sequence)},
                     {"started_at_ms", fmt::to_string(report.startedAtMs)},
                     {"draining", report.draining ? "yes" : "no"},
                     {"warmup_s", fmt::format("{:.1f}", inSeconds(report.remainingWarmup))},
                     {"outcome", std::string(nameOf(outcome))}});
    return outcome;
}

void TargetMonitor::onUnreadableReport(const Error &error)
{
    if (error.detail == m_readError)
        return;
    m_readError = error.detail;
    m_log.write(steadyNow(), LogLevel::Warning, "target-report-unreadable",
                {{"detail", error.detail}});
}

void TargetMonitor::onDeparture(const std::string &instance)
{
    bool closed = m_gate.onDeparture(steadyNow(), instance);
    applyGate();
    m_log.write(steadyNow(), LogLevel::Info, "target",
                {{"instance", instance}, {"outcome", closed ? "left" : "other-instance"}});
}

bool TargetMonitor::takesWork() const
{
    return m_gate.isOpen() && !m_gate.isZoneOut();
}

void TargetMonitor::applyGate()
{
    m_gate.setZoneOut(steadyNow(), m_policy.isZoneOut(m_node.settings.zone));
    const auto &services = m_policy.policy().services;
    auto service = services.find(m_node.settings.service);
    bool isPaced = service != services.end() && m_gate.isCold(steadyNow());
    m_admission.setColdStartRate(isPaced ? service->second.coldRequestsPerSecond : 0);
    m_admission.setSlots(m_gate.slots());
    m_admission.setStatedRate(m_gate.statedRate());
    if (question() && question() != m_lastQuestion)
        m_questionTimer.cancel();
    if (!takesWork())
        m_target.apply(m_admission.refuseWaiting(ErrorKind::TargetLeaving));
    if (m_node.stopping)
        return;
    bool warmUpEnded = m_wasPaced && !isPaced;
    m_wasPaced = isPaced;
    if (warmUpEnded && takesWork())
        m_gossip.announceUpdate();
    m_gossip.announceTakesWork(takesWork());
}

std::optional<TargetQuestion> TargetMonitor::question() const
{
    return m_policy.isReady() ? m_gate.question() : std::nullopt;
}

Task<void> TargetMonitor::awaitQuestion(Duration limit)
{
    m_questionTimer.expires_after(limit);
    co_await m_questionTimer.async_wait(asResult);
    co_await throwIfCancelled();
}

Task<void> TargetMonitor::confirmStarts()
{
    int undecided = 0;
    for (;;) {
        std::optional<TargetQuestion> asked = question();
        if (!asked) {
            co_await awaitQuestion(longestWait);
            continue;
        }
        undecided = asked == m_lastQuestion ? undecided + 1 : 1;
        m_lastQuestion = asked;
        auto asking = m_inquiry.ask(*asked);
        TargetAnswer answer = co_await std::move(asking);
        m_gate.onAnswer(steadyNow(), *asked, answer);
        if (question() == asked) {
            co_await awaitQuestion(targetQuestionRetryDelay(undecided));
            continue;
        }
        m_lastQuestion.reset();
        applyGate();
    }
}

Task<void> TargetMonitor::applyPeriodically()
{
    for (;;) {
        applyGate();
        co_await sleepFor(applyInterval);
    }
}

} // namespace ibiswell
