#pragma once

#include "node_state.h"

#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"
#include "ibiswell/kernel/kernel.h"

#include <map>
#include <string>

namespace ibiswell {

class DecisionLog;
class LeaseManager;
class Log;
class LoopMonitor;
class Membership;
class Metrics;
class PlatformClient;
class PolicyStore;
class TargetAdmission;

/**
 * Serves operators and monitoring systems under "/-/": status, explain, metrics and health.
 *
 * When the settings contain an operator token, all of these except health require it.
 */
class StatusPage
{
public:
    /**
     * Looks up "node", "membership", "policy", "admission", "leases", "platform", "decisions",
     * "metrics" and "log".
     */
    explicit StatusPage(Kernel &kernel);

    HttpResponse handle(const HttpRequest &request) const;

private:
    bool isPermitted(const HttpRequest &request) const;
    std::string status() const;
    std::string explain(const std::string &requestId) const;
    std::map<std::string, double> gauges() const;

    NodeState &m_node;
    Membership &m_membership;
    PolicyStore &m_policy;
    TargetAdmission &m_admission;
    LeaseManager &m_leases;
    PlatformClient &m_platform;
    DecisionLog &m_decisions;
    Metrics &m_metrics;
    Log &m_log;
    LoopMonitor &m_loopMonitor;
};

} // namespace ibiswell
