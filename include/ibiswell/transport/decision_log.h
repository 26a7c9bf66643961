#pragma once

#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/log.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ibiswell {

/**
 * Logs each routing and placement decision as one line and keeps the latest ones by request id,
 * so that "explain" shows the same reasons as the log.
 */
class DecisionLog
{
public:
    static constexpr std::size_t defaultRetainedRequests = 20'000;

    /**
     * Looks up "log".
     * @param retainedRequests Number of requests that explain() can return; with 0, the lines go
     * to the log only.
     */
    explicit DecisionLog(Kernel &kernel, std::size_t retainedRequests = defaultRetainedRequests);

    /**
     * Whether callers record each step of a request; otherwise they record only its end, its
     * retries, refusals and cancellations.
     */
    bool recordsEachStep() const { return m_retainedRequests > 0; }

    /** Logs a line and retains it for explain(). */
    void record(const std::string &requestId, std::string_view event, std::vector<LogField> fields);

    /** Lines of a request, the oldest first; empty when the request is not retained. */
    std::vector<std::string> explain(const std::string &requestId) const;

private:
    Log &m_log;
    std::size_t m_retainedRequests;
    std::unordered_map<std::string, std::vector<std::string>> m_lines; ///< By request id.
    std::deque<std::string> m_order; ///< Ids of the retained requests, the oldest first.
};

} // namespace ibiswell
