#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace ibiswell {

/** Collects counters and latencies of one node and writes them in the Prometheus text format. */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /** Counts a complete response to a caller, and its latency by route. */
    void recordResponse(const std::string &route, const std::string &team, PriorityClass priority,
                        Duration latency);
    void recordRefusal(ErrorKind kind, const std::string &team, PriorityClass priority);
    void recordRetry() { ++m_retries; }
    /** Counts a resend to another target that used none of the call tree's retries. */
    void recordRechoice() { ++m_rechoices; }
    void recordPlatformCall() { ++m_platformCalls; }
    void recordSentDatagram(std::size_t bytes);
    void recordReceivedDatagram(std::size_t bytes);

    /** All metrics as text; @p gauges are added as gauges, by name. */
    std::string toText(const std::map<std::string, double> &gauges) const;

private:
    struct Latency;
    using RefusalKey = std::tuple<ErrorKind, std::string, PriorityClass>;
    using ResponseKey = std::tuple<std::string, std::string, PriorityClass>;

    std::map<ResponseKey, std::uint64_t> m_responses;
    std::map<RefusalKey, std::uint64_t> m_refusals;
    std::map<std::string, std::unique_ptr<Latency>> m_latencies; ///< Keyed by route.
    std::uint64_t m_retries = 0;
    std::uint64_t m_rechoices = 0;
    std::uint64_t m_platformCalls = 0;
    std::uint64_t m_datagramBytesSent = 0;
    std::uint64_t m_datagramBytesReceived = 0;
};

} // namespace ibiswell
