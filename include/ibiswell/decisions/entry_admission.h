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

/** Header fields of the product's own front that callers use beside those of its dialect. */
namespace headers {
inline constexpr std::string_view authorization = "authorization";
inline constexpr std::string_view attempt = "x-ibiswell-attempt";
inline constexpr std::string_view idempotencyKey = "idempotency-key";
} // namespace headers

/** A request that may go on, with what it carries along its call tree. */
struct AdmittedRequest
{
    std::string service;
    RoutePolicy route;
    CallContext context;
    HttpRequest request; ///< Without the key; its path is below the service's name.
    std::string idempotencyKey; ///< Empty when the caller gave none.
    bool firstAttempt = false; ///< The caller states that it never sent this key before.
};

using EntryDecision = std::variant<Refusal, AdmittedRequest>;

/**
 * The first decision on a request from outside: its route, the team of its key, and whether the
 * whole path below can take it. The fleet-wide rate is asked afterwards, so that a request that
 * is shed costs its team nothing.
 */
class EntryAdmission
{
public:
    /** Looks up "dialect", "policy", "paths", "contact", "membership" and, where it is, "throttle".
     */
    explicit EntryAdmission(Kernel &kernel);

    /** @param requestId for a request that brings none. */
    EntryDecision admit(TimePoint now, HttpRequest request, const std::string &requestId,
                        Random &random);

    /**
     * The same for a call from the local backend server, whose context is inherited. Nothing is
     * shed here by the path: the work above is already done, and the target decides.
     */
    EntryDecision admitDownstream(HttpRequest request, CallContext inherited);

private:
    EntryDecision findRoute(HttpRequest request);
    EntryDecision findRoute(HttpRequest request, const ServiceInPath &naming);
    EntryDecision findRoute(HttpRequest request, const HostAndPrefix &naming);
    std::optional<Refusal> authenticate(TimePoint now, AdmittedRequest &entered) const;
    std::string_view presentedKey(const HttpRequest &request) const;
    void removeKey(HttpRequest &request, const std::string &key) const;
    void assignPriority(AdmittedRequest &entered) const;
    /** The part of such requests that the path below takes. */
    double acceptedFraction(TimePoint now, const AdmittedRequest &entered);

    const Dialect &m_dialect;
    const PolicyStore &m_policy;
    const PathTable &m_paths;
    const ConnectivityMonitor &m_contact;
    const Membership &m_membership;
    EntryThrottle *m_throttle; ///< Null where calls below carry their call's token.
    SplitChooser m_splits;
};

/**
 * Takes the deadline that a caller states in the field @p name, bounded by the policy; nothing when
 * malformed.
 */
std::optional<Duration> requestedDeadline(const HttpRequest &request, std::string_view name,
                                          const RoutePolicy &route, const FleetDefaults &defaults);

} // namespace ibiswell
