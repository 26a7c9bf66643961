#pragma once

#include "asio.h"
#include "gossip.h"
#include "node_state.h"
#include "target_inquiry.h"
#include "target_service.h"

#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/target_admission.h"
#include "ibiswell/decisions/target_gate.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/log.h"

namespace ibiswell {

/**
 * Passes the reports of the local backend server to the target gate and applies what the gate
 * decides: the slots and the pacing of the admission, the refusal of waiting calls, and the
 * announcement to other nodes.
 */
class TargetMonitor
{
public:
    /**
     * Looks up "io", "node", "policy", "admission", "target", "target-gate", "target-inquiry",
     * "gossip" and "log".
     */
    explicit TargetMonitor(Kernel &kernel);

    /** Processes a report. The gate reflects the report when this function returns. */
    ReportOutcome onReport(const TargetReport &report);
    /** The backend server leaves for good. No call is started there after this function returns. */
    void onDeparture(const std::string &instance);

    /** A report could not be read. Repetitions with the same cause are not logged again. */
    void onUnreadableReport(const Error &error);

    /** Updates pacing and announcements periodically; runs until the node stops. */
    Task<void> applyPeriodically();

    /** Asks the backend server what the gate wants to know; runs until the node stops. */
    Task<void> confirmStarts();

private:
    void applyGate();
    bool takesWork() const;
    /** What is to be asked and can be: the policy tells how. */
    std::optional<TargetQuestion> question() const;
    /** Waits until another question than the last one is to be asked, or @p limit has passed. */
    Task<void> awaitQuestion(Duration limit);

    NodeState &m_node;
    PolicyStore &m_policy;
    TargetAdmission &m_admission;
    TargetService &m_target;
    TargetGate &m_gate;
    TargetInquiry &m_inquiry;
    Gossip &m_gossip;
    Log &m_log;
    asio::steady_timer m_questionTimer;
    std::optional<TargetQuestion> m_lastQuestion; ///< While it is undecided.
    bool m_wasPaced = false;
    std::string m_readError; ///< Why the last report could not be read; empty if it was read.
};

} // namespace ibiswell
