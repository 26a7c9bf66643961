#include "loop_monitor.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <ctime>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration probeInterval = 50ms;
constexpr Duration loggedDelay = 100ms; // a delay of at least this is logged
constexpr Duration logInterval = 1s;

/** Processor time that this process has used. */
Duration processorTime()
{
    timespec used {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    auto time = std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
    return std::chrono::duration_cast<Duration>(time);
}

} // namespace

LoopMonitor::LoopMonitor(Kernel &kernel, asio::io_context &context)
    : m_admission(kernel.get<TargetAdmission>("admission"))
    , m_log(kernel.get<Log>("log"))
    , m_receiver(context)
    , m_sender(context)
    , m_loggedAt(steadyNow())
{
    boost::system::error_code ec;
    asio::connect_pipe(m_receiver, m_sender, ec);
    if (ec)
        m_log.write(steadyNow(), LogLevel::Warning, "loop-unmeasured", {{"detail", ec.message()}});
}

Duration LoopMonitor::delay(TimePoint now) const
{
    return m_probeSentAt ? std::max(m_lastDelay, now - *m_probeSentAt) : m_lastDelay;
}

std::map<std::string, double> LoopMonitor::gauges(TimePoint now) const
{
    return {{"ibiswell_loop_delay_seconds", inSeconds(delay(now))},
            {"ibiswell_processor_seconds", inSeconds(processorTime())}};
}

Task<void> LoopMonitor::sendProbes()
{
    const std::array<char, 1> probe {};
    while (m_sender.is_open()) {
        if (!m_probeSentAt) {
            m_probeSentAt = steadyNow();
            boost::system::error_code ignored; // an empty pipe accepts a byte
            m_sender.write_some(asio::buffer(probe), ignored);
        }
        co_await sleepFor(probeInterval);
    }
}

Task<void> LoopMonitor::receiveProbes()
{
    std::array<char, 1> probe {};
    while (m_receiver.is_open()) {
        auto [ec, count] = co_await m_receiver.async_read_some(asio::buffer(probe), asResult);
        if (ec)
            co_return;
        TimePoint now = steadyNow();
        m_lastDelay = m_probeSentAt ? now - *m_probeSentAt : Duration::zero();
        m_probeSentAt.reset();
        m_admission.onEventDelay(now, m_lastDelay);
        if (m_lastDelay >= loggedDelay)
            logDelay(now);
    }
}

void LoopMonitor::logDelay(TimePoint now)
{
    if (now - m_loggedAt < logInterval)
        return;
    Duration used = processorTime();
    double cores = inSeconds(used - m_processorTimeAtLog) / inSeconds(now - m_loggedAt);
    m_log.write(now, LogLevel::Warning, "loop-behind",
                {{"delay_ms", fmt::format("{:.0f}", inSeconds(m_lastDelay) * 1000)},
                 {"in_flight", fmt::to_string(m_admission.inFlight())},
                 {"queued", fmt::to_string(m_admission.queued())},
                 {"limit", fmt::to_string(m_admission.limit())},
                 {"cores", fmt::format("{:.3f}", cores)},
                 {"over_s", fmt::format("{:.1f}", inSeconds(now - m_loggedAt))}});
    m_loggedAt = now;
    m_processorTimeAtLog = used;
}

} // namespace ibiswell
