#include "ibiswell/transport/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <fmt/format.h>

namespace ibiswell {

namespace {

namespace acc = boost::accumulators;
using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

std::string escapeLabel(const std::string &label)
{
    std::string result;
    for (char c : label) {
        if (c == '"' || c == '\\')
            result += '\\';
        result += c == '\n' ? ' ' : c;
    }
    return result;
}

void appendHeader(std::string &out, std::string_view name, std::string_view type,
                  std::string_view help)
{
    out += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

void appendCounter(std::string &out, std::string_view name, std::string_view help,
                   std::uint64_t value)
{
    appendHeader(out, name, "counter", help);
    out += fmt::format("{} {}\n", name, value);
}

} // namespace

struct Metrics::Latency
{
    Quantile median {acc::quantile_probability = 0.5};
    Quantile percentile99 {acc::quantile_probability = 0.99};
    acc::accumulator_set<double, acc::stats<acc::tag::sum, acc::tag::count>> total;

    void add(double seconds)
    {
        median(seconds);
        percentile99(seconds);
        total(seconds);
    }
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::recordResponse(const std::string &route, const std::string &team,
                             PriorityClass priority, Duration latency)
{
    ++m_responses[{route, team, priority}];
    std::unique_ptr<Latency> &entry = m_latencies[route];
    if (!entry)
        entry = std::make_unique<Latency>();
    entry->add(inSeconds(latency));
}

void Metrics::recordRefusal(ErrorKind kind, const std::string &team, PriorityClass priority)
{
    ++m_refusals[{kind, team, priority}];
}

void Metrics::recordSentDatagram(std::size_t bytes)
{
    m_datagramBytesSent += bytes;
}

void Metrics::recordReceivedDatagram(std::size_t bytes)
{
    m_datagramBytesReceived += bytes;
}

std::string Metrics::toText(const std::map<std::string, double> &gauges) const
{
    std::string out;
    appendHeader(out, "ibiswell_answers_total", "counter", "Whole answers given to callers.");
    for (const auto &[key, count] : m_responses)
        out += fmt::format("ibiswell_answers_total{{route=\"{}\",team=\"{}\",class=\"{}\"}} {}\n",
                           escapeLabel(std::get<0>(key)), escapeLabel(std::get<1>(key)),
                           toString(std::get<2>(key)), count);
    appendHeader(out, "ibiswell_refusals_total", "counter", "Refusals given to callers.");
    for (const auto &[key, count] : m_refusals)
        out += fmt::format("ibiswell_refusals_total{{kind=\"{}\",team=\"{}\",class=\"{}\"}} {}\n",
                           responseFor(std::get<0>(key)).name, escapeLabel(std::get<1>(key)),
                           toString(std::get<2>(key)), count);
    appendHeader(out, "ibiswell_answer_seconds", "summary", "Time from request to whole answer.");
    for (const auto &[route, latency] : m_latencies) {
        std::string label = escapeLabel(route);
        out += fmt::format("ibiswell_answer_seconds{{route=\"{}\",quantile=\"0.5\"}} {:.6f}\n",
                           label, acc::p_square_quantile(latency->median));
        out += fmt::format("ibiswell_answer_seconds{{route=\"{}\",quantile=\"0.99\"}} {:.6f}\n",
                           label, acc::p_square_quantile(latency->percentile99));
        out += fmt::format("ibiswell_answer_seconds_sum{{route=\"{}\"}} {:.6f}\n", label,
                           acc::sum(latency->total));
        out += fmt::format("ibiswell_answer_seconds_count{{route=\"{}\"}} {}\n", label,
                           acc::count(latency->total));
    }
    appendCounter(out, "ibiswell_retries_total", "Retries paid from call trees.", m_retries);
    appendCounter(out, "ibiswell_rechoices_total", "Free choices of another target.", m_rechoices);
    appendCounter(out, "ibiswell_platform_calls_total", "Calls to the platform.", m_platformCalls);
    appendCounter(out, "ibiswell_datagram_sent_bytes_total", "Bytes sent by UDP.",
                  m_datagramBytesSent);
    appendCounter(out, "ibiswell_datagram_received_bytes_total", "Bytes received by UDP.",
                  m_datagramBytesReceived);
    for (const auto &[name, value] : gauges) {
        appendHeader(out, name, "gauge", "State of the node.");
        out += fmt::format("{} {}\n", name, value);
    }
    return out;
}

} // namespace ibiswell
