#pragma once

#include "asio.h"
#include "gossip.h"
#include "node_state.h"
#include "target_service.h"

#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/target_admission.h"
#include "ibiswell/decisions/target_gate.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/log.h"

namespace ibiswell {

/**
 * Follows what the local backend server says of itself, and carries out what the gate decides: the
 * admission's slots and pace, the refusal of waiting calls, and the announcement to other nodes.
 */
class TargetMonitor
{
public:
    /** Looks up "node", "policy", "admission", "target", "target-gate", "gossip" and "log". */
    explicit TargetMonitor(Kernel &kernel);

    /** Takes a report. When it returns, the gate is as the report says. */
    ReportOutcome onReport(const TargetReport &report);
    /** The backend server leaves for good. When it returns, no further call is started there. */
    void onDeparture(const std::string &instance);

    /** A report could not be read; told once for each cause, until another one is read. */
    void onUnreadableReport(const Error &error);

    /** Keeps pace and announcement up to date; runs until the node stops. */
    Task<void> applyPeriodically();

private:
    void carryOut();
    bool takesWork() const;

    NodeState &m_node;
    PolicyStore &m_policy;
    TargetAdmission &m_admission;
    TargetService &m_target;
    TargetGate &m_gate;
    Gossip &m_gossip;
    Log &m_log;
    bool m_zoneWasOut = false;
    bool m_wasPaced = false;
    std::string m_unreadable; ///< Why the last report could not be read; empty: it could.
};

} // namespace ibiswell
