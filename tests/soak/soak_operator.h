#pragma once

#include "process/platform_deployment.h"

#include "asio.h"
#include "soak_record.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ibiswell::soak {

/** Times in which a node may be behind the operator, by the users' page. */
struct ConfigBounds
{
    Duration inForce = std::chrono::seconds(2); ///< After a version was acknowledged.
    Duration stable = std::chrono::seconds(3); ///< After the end of a disruption.
    Duration unstableStore = std::chrono::seconds(5); ///< In addition, after one of the store.
};

/**
 * The operator of the soak: writes versions of the configuration, each with one key of its own, and
 * asks the nodes which one they have. Writes again what a store that went back has lost.
 */
class SoakOperator
{
public:
    SoakOperator(test::PlatformDeployment &platform, SoakRecord &record,
                 const test::ConfigRates &rates);

    /** Writes the next version, which withdraws the key of the one before. */
    void changeConfig();
    /** Adds the evacuation of zone "b", or removes it. */
    void setEvacuated(bool isEvacuated);
    /** Writes the configuration and the evacuation as they were written last. */
    void writeAgain();

    /** From now on, until onNodeCalm(), what the node has is not checked. */
    void onNodeFault(int node);
    void onNodeCalm(int node);
    /** The store is disrupted until @p end at the least. */
    void onStoreFault(TimePoint end);
    /** The machine was too busy until now: all nodes count as slowed. */
    void onBusy(TimePoint end) { m_busyUntil = end; }

    /** Asks a node with the keys of the last two versions; records what it should not admit. */
    Task<void> check(int node, int port);
    const std::vector<std::string> &violations() const { return m_violations; }
    int checkCount() const { return m_checks; }

private:
    bool isExcused(int node, TimePoint since) const;
    Task<int> statusWithKey(int port, int version);
    void report(int node, int version, const char *what);

    test::PlatformDeployment &m_platform;
    SoakRecord &m_record;
    test::ConfigRates m_rates;
    ConfigBounds m_bounds;
    TimePoint m_begin = steadyNow();
    int m_version = 1;
    TimePoint m_changedAt;
    bool m_isEvacuated = false;
    TimePoint m_storeCalmSince;
    TimePoint m_busyUntil;
    /** When a node's last fault ended; nothing while it has one. */
    std::map<int, std::optional<TimePoint>> m_nodeCalmSince;
    std::vector<std::string> m_violations;
    int m_checks = 0;
    int m_sent = 0;
};

} // namespace ibiswell::soak
