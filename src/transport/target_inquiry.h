#pragma once

#include "asio.h"
#include "buffer_budget.h"
#include "node_state.h"

#include "ibiswell/core/dialect.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/target_answer.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/log.h"

namespace ibiswell {

/** Asks the local backend server by a health check whether it takes work. */
class TargetInquiry
{
public:
    /** Looks up "node", "dialect", "policy", "body-buffers" and "log". */
    explicit TargetInquiry(Kernel &kernel);

    /**
     * Asks once and waits a second at most for the response. The policy must be known: it names the
     * path of the health check. The connection is new and closed afterwards, so that it does
     * not count towards those that the backend server accepts while it waits for calls.
     */
    Task<TargetAnswer> ask(TargetQuestion question);

private:
    HttpRequest makeRequest(const TargetQuestion &question) const;
    void logAnswer(const TargetQuestion &question, const CallResult &result,
                   const TargetAnswer &answer);

    NodeState &m_node;
    const Dialect &m_dialect;
    PolicyStore &m_policy;
    BufferBudget &m_bodies;
    Log &m_log;
};

} // namespace ibiswell
