#include "ibiswell/transport/decision_log.h"

#include <fmt/format.h>

namespace ibiswell {

DecisionLog::DecisionLog(Kernel &kernel, std::size_t retainedRequests)
    : m_log(kernel.get<Log>("log"))
    , m_retainedRequests(retainedRequests)
{
}

void DecisionLog::record(const std::string &requestId, std::string_view event,
                         std::vector<LogField> fields)
{
    fields.insert(fields.begin(), {"request", requestId});
    m_log.writeDecision(event, fields);
    if (m_retainedRequests == 0)
        return;
    std::string line {event};
    for (const LogField &field : fields)
        line += fmt::format(" {}={}", field.name, field.value);
    auto [it, isNew] = m_lines.try_emplace(requestId);
    it->second.push_back(std::move(line));
    if (!isNew)
        return;
    m_order.push_back(requestId);
    if (m_order.size() > m_retainedRequests) {
        m_lines.erase(m_order.front());
        m_order.pop_front();
    }
}

std::vector<std::string> DecisionLog::explain(const std::string &requestId) const
{
    auto found = m_lines.find(requestId);
    return found == m_lines.end() ? std::vector<std::string> {} : found->second;
}

} // namespace ibiswell
