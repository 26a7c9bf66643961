#include "status_page.h"

#include "asio.h"
#include "loop_monitor.h"
#include "platform_client.h"

#include "ibiswell/core/hash.h"
#include "ibiswell/decisions/entry_admission.h"
#include "ibiswell/decisions/lease_manager.h"
#include "ibiswell/decisions/membership.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/target_admission.h"
#include "ibiswell/transport/decision_log.h"
#include "ibiswell/transport/metrics.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/crypto.h>

namespace ibiswell {

namespace json = boost::json;

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";

/**
 * The state of a member as shown to operators: "leaving" when the node is alive but its target
 * takes no new work, otherwise the state of the node.
 */
std::string stateOf(const Member &member)
{
    bool isDraining = member.state == MemberState::Alive && !member.takesWork;
    return std::string(toString(isDraining ? MemberState::Leaving : member.state));
}

HttpResponse makeResponse(int status, std::string type, std::string body)
{
    return {status, {{"content-type", std::move(type)}}, std::move(body)};
}

} // namespace

StatusPage::StatusPage(Kernel &kernel)
    : m_node(kernel.get<NodeState>("node"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_admission(kernel.get<TargetAdmission>("admission"))
    , m_leases(kernel.get<LeaseManager>("leases"))
    , m_platform(kernel.get<PlatformClient>("platform"))
    , m_decisions(kernel.get<DecisionLog>("decisions"))
    , m_metrics(kernel.get<Metrics>("metrics"))
    , m_log(kernel.get<Log>("log"))
    , m_loopMonitor(kernel.get<LoopMonitor>("loop-monitor"))
{
}

bool StatusPage::isPermitted(const HttpRequest &request) const
{
    const std::string &expected = m_node.settings.operatorTokenHash;
    if (expected.empty())
        return true;
    std::string_view presented = request.header(headers::authorization);
    if (!presented.starts_with(bearerPrefix))
        return false;
    std::string hash = sha256Hex(presented.substr(bearerPrefix.size()));
    return CRYPTO_memcmp(hash.data(), expected.data(), hash.size()) == 0;
}

HttpResponse StatusPage::handle(const HttpRequest &request) const
{
    constexpr std::string_view explainPath = "/-/explain?request=";
    std::string_view path = request.path;
    if (path == "/-/health")
        return makeResponse(200, "application/json", "{\"state\":\"ok\"}\n");
    if (!isPermitted(request)) {
        const ErrorResponse &denied = responseFor(ErrorKind::NotPermitted);
        return makeResponse(denied.httpStatus, "text/plain", std::string(denied.name) + "\n");
    }
    if (path == "/-/status")
        return makeResponse(200, "application/json", status());
    if (path == "/-/metrics")
        return makeResponse(200, "text/plain; version=0.0.4", m_metrics.toText(gauges()));
    if (path.starts_with(explainPath))
        return makeResponse(200, "application/json",
                            explain(std::string(path.substr(explainPath.size()))));
    return makeResponse(404, "text/plain",
                        "known paths: /-/status /-/metrics /-/health /-/explain\n");
}

std::string StatusPage::status() const
{
    json::object root;
    root["node"] = m_node.settings.node;
    root["service"] = m_node.settings.service;
    root["zone"] = m_node.settings.zone;
    root["policy_version"] = m_policy.version();
    root["stopping"] = m_node.stopping;
    root["limit"] = m_admission.limit();
    root["in_flight"] = m_admission.inFlight();
    root["queued"] = m_admission.queued();
    root["worst_fraction"] = m_admission.worstFraction();
    json::array leases;
    for (std::uint32_t lease : m_leases.heldLeases(steadyNow()))
        leases.emplace_back(lease);
    root["leases"] = std::move(leases);
    json::array members;
    for (const Member &member : m_membership.roster())
        members.push_back(json::object {{"node", member.node},
                                        {"service", member.service},
                                        {"zone", member.zone},
                                        {"address", member.endpoint.address},
                                        {"http_port", member.httpPort},
                                        {"state", stateOf(member)},
                                        {"incarnation", member.incarnation},
                                        {"leases", member.leases.size()}});
    root["members"] = std::move(members);
    json::object zones;
    for (const auto &[zone, reason] : m_policy.policy().zonesOut)
        zones[zone] = reason;
    root["zones_out"] = std::move(zones);
    return json::serialize(root) + "\n";
}

std::string StatusPage::explain(const std::string &requestId) const
{
    json::array lines;
    for (const std::string &line : m_decisions.explain(requestId))
        lines.emplace_back(line);
    return json::serialize(json::object {{"node", m_node.settings.node}, {"lines", lines}}) + "\n";
}

std::map<std::string, double> StatusPage::gauges() const
{
    std::map<std::string, double> gauges {
        {"ibiswell_concurrency_limit", m_admission.limit()},
        {"ibiswell_calls_in_flight", m_admission.inFlight()},
        {"ibiswell_calls_queued", static_cast<double>(m_admission.queued())},
        {"ibiswell_worst_admitted_fraction", m_admission.worstFraction()},
        {"ibiswell_cold_starts_noticed",
         static_cast<double>(m_admission.learnedLimit().detectedColdStarts())},
        {"ibiswell_policy_version", static_cast<double>(m_policy.version())},
        {"ibiswell_members", static_cast<double>(m_membership.size())},
        {"ibiswell_leases_held", static_cast<double>(m_leases.heldLeases(steadyNow()).size())},
        {"ibiswell_platform_calls", static_cast<double>(m_platform.callCount())},
        {"ibiswell_log_lines_left_out", static_cast<double>(m_log.droppedLines())},
    };
    gauges.merge(m_loopMonitor.gauges(steadyNow()));
    return gauges;
}

} // namespace ibiswell
