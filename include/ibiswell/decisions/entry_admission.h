#pragma once

#include "ibiswell/core/dialect.h"
#include "ibiswell/core/messages.h"
#include "ibiswell/core/random.h"
#include "ibiswell/core/time.h"
#include "ibiswell/decisions/split_chooser.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/policy/policy.h"

#include <string>
#include <string_view>
#include <variant>

namespace ibiswell {

class ConnectivityMonitor;
class EntryThrottle;
class Membership;
class PathTable;
class PolicyStore;

/** Header fields that the native front reads in addition to those of its dialect. */
namespace headers {
inline constexpr std::string_view authorization = "authorization";
inline constexpr std::string_view attempt = "x-ibiswell-attempt";
inline constexpr std::string_view idempotencyKey = "idempotency-key";
} // namespace headers

/** A request that was admitted, with the context that it passes along its call tree. */
struct AdmittedRequest
{
    std::string service;
    RoutePolicy route;
    CallContext context;
    HttpRequest request; ///< Without the key; its path is relative to the service.
    std::string idempotencyKey; ///< Empty when the caller sent none.
    bool firstAttempt = false; ///< The caller states that it has not sent this key before.
};

using EntryDecision = std::variant<Refusal, AdmittedRequest>;

/**
 * Makes the first decision on a request from outside: its route, the team of its key, and whether
 * all services downstream can take it. The team's fleet-wide rate is checked only afterwards, so
 * that a request that is shed here costs its team no token.
 */
class EntryAdmission
{
public:
    /**
     * Looks up the services "dialect", "policy", "paths", "contact" and "membership", and
     * "throttle" if there is one.
     */
    explicit EntryAdmission(Kernel &kernel);

    /** @param requestId the id of a request that does not carry one. */
    EntryDecision admit(TimePoint now, HttpRequest request, const std::string &requestId,
                        Random &random);

    /**
     * Decides on a call from the local backend server, which inherits the context of the call that
     * it serves. The path fraction does not apply here: the upstream work is already done, and the
     * target decides.
     */
    EntryDecision admitDownstream(HttpRequest request, CallContext inherited);

private:
    EntryDecision findRoute(HttpRequest request);
    EntryDecision findRoute(HttpRequest request, const ServiceInPath &naming);
    EntryDecision findRoute(HttpRequest request, const HostAndPrefix &naming);
    std::optional<Refusal> authenticate(TimePoint now, AdmittedRequest &admitted) const;
    std::string_view presentedKey(const HttpRequest &request) const;
    void removeKey(HttpRequest &request, const std::string &key) const;
    void assignPriority(AdmittedRequest &admitted) const;
    /** Records the request at the throttle and returns the fraction of such requests to admit. */
    double computeAdmittedFraction(TimePoint now, const AdmittedRequest &admitted);

    const Dialect &m_dialect;
    const PolicyStore &m_policy;
    const PathTable &m_paths;
    const ConnectivityMonitor &m_connectivity;
    const Membership &m_membership;
    EntryThrottle *m_throttle; ///< Null where downstream calls carry a call token.
    SplitChooser m_splits;
};

/**
 * Parses the deadline that a caller states in the header field @p name, and bounds it by the
 * policy. Returns the route's own deadline if there is no such field, nothing if it is malformed.
 */
std::optional<Duration> parseDeadline(const HttpRequest &request, std::string_view name,
                                      const RoutePolicy &route, const FleetDefaults &defaults);

} // namespace ibiswell
