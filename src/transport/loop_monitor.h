#pragma once

#include "asio.h"

#include "ibiswell/decisions/target_admission.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/log.h"

#include <map>
#include <optional>
#include <string>

namespace ibiswell {

/**
 * Measures how far the event loop is behind: the time from the arrival of bytes at a descriptor to
 * the run of their handler.
 *
 * A timer that is late does not show it, since the loop handles expired timers between any two
 * batches of events. A byte in a pipe waits in the same queue of the system as calls and closed
 * connections do, so that its delay is theirs.
 */
class LoopMonitor
{
public:
    /** Looks up "admission" and "log". */
    LoopMonitor(Kernel &kernel, asio::io_context &context);

    /** Sends a byte through the pipe periodically; runs until the node stops. */
    Task<void> sendProbes();
    /** Receives the bytes, reports delays to the admission and logs them; runs until the end. */
    Task<void> receiveProbes();

    /** The delay and the processor time used, by the names of their metrics. */
    std::map<std::string, double> gauges(TimePoint now) const;

private:
    /** The last measured delay, or the age of the byte under way when that is longer. */
    Duration delay(TimePoint now) const;
    void logDelay(TimePoint now);

    TargetAdmission &m_admission;
    Log &m_log;
    asio::readable_pipe m_receiver;
    asio::writable_pipe m_sender;
    std::optional<TimePoint> m_probeSentAt; ///< Empty while no byte is under way.
    Duration m_lastDelay {};
    TimePoint m_loggedAt;
    Duration m_processorTimeAtLog {};
};

} // namespace ibiswell
