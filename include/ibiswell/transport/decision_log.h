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
 * so that "explain" tells the same reasons as the log.
 */
class DecisionLog
{
public:
    /** Looks up "log". */
    explicit DecisionLog(Kernel &kernel);

    void note(const std::string &requestId, std::string_view event, std::vector<LogField> fields);

    /** Lines of a request, the oldest first; empty when none is kept. */
    std::vector<std::string> explain(const std::string &requestId) const;

private:
    static constexpr std::size_t requestsKept = 20'000;

    Log &m_log;
    std::unordered_map<std::string, std::vector<std::string>> m_lines;
    std::deque<std::string> m_order;
};

} // namespace ibiswell
