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

/** Counters and latency quantiles of one node, in the text form that monitoring systems scrape. */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    void answered(const std::string &route, const std::string &team, PriorityClass priority,
                  Duration latency);
    void refused(ErrorKind kind, const std::string &team, PriorityClass priority);
    void retried() { ++m_retries; }
    void rechosen() { ++m_rechoices; }
    void platformCall() { ++m_platformCalls; }
    void datagramSent(std::size_t bytes);
    void datagramReceived(std::size_t bytes);

    /** All figures; @p gauges are further "name value" lines of the node. */
    std::string text(const std::map<std::string, double> &gauges) const;

private:
    struct Latency;
    using RefusalKey = std::tuple<ErrorKind, std::string, PriorityClass>;
    using AnswerKey = std::tuple<std::string, std::string, PriorityClass>;

    std::map<AnswerKey, std::uint64_t> m_answered;
    std::map<RefusalKey, std::uint64_t> m_refused;
    std::map<std::string, std::unique_ptr<Latency>> m_latencies; ///< By route.
    std::uint64_t m_retries = 0;
    std::uint64_t m_rechoices = 0;
    std::uint64_t m_platformCalls = 0;
    std::uint64_t m_datagramBytesSent = 0;
    std::uint64_t m_datagramBytesReceived = 0;
};

} // namespace ibiswell
