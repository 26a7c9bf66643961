#pragma once

#include "ibiswell/core/messages.h"
#include "ibiswell/core/random.h"
#include "ibiswell/core/time.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/policy/policy.h"

#include <string>
#include <string_view>
#include <variant>

namespace ibiswell {

class Contact;
class Membership;
class PathTable;
class PolicyStore;

/** Header fields that callers and backend servers use. */
namespace headers {
inline constexpr std::string_view prefix = "x-ibiswell-"; ///< None of these reach a back end.
inline constexpr std::string_view key = "x-ibiswell-key";
inline constexpr std::string_view authorization = "authorization";
inline constexpr std::string_view team = "x-ibiswell-team";
inline constexpr std::string_view call = "x-ibiswell-call";
inline constexpr std::string_view deadline = "x-ibiswell-deadline-ms";
inline constexpr std::string_view attempt = "x-ibiswell-attempt";
inline constexpr std::string_view execution = "x-ibiswell-execution";
inline constexpr std::string_view idempotencyKey = "idempotency-key";
inline constexpr std::string_view requestId = "x-request-id";
} // namespace headers

/** A request that may go on, with what it carries along its call tree. */
struct Entered
{
    std::string service;
    RoutePolicy route;
    CallContext context;
    HttpRequest request; ///< Without the key; its path is below the service's name.
    std::string idempotencyKey; ///< Empty when the caller gave none.
    bool firstAttempt = false; ///< The caller states that it never sent this key before.
};

using EntryVerdict = std::variant<Refusal, Entered>;

/**
 * The first decision on a request from outside: its route, the team of its key, and whether the
 * whole path below can take it. The fleet-wide rate is asked afterwards, so that a request that
 * is shed costs its team nothing.
 */
class EntryAdmission
{
public:
    /** Looks up "policy", "paths", "contact" and "membership". */
    explicit EntryAdmission(Kernel &kernel);

    /** @param requestId for a request that brings none. */
    EntryVerdict admit(TimePoint now, HttpRequest request, const std::string &requestId,
                       Random &random) const;

    /**
     * The same for a call from the local backend server, whose context is inherited. Nothing is
     * shed here by the path: the work above is already done, and the target decides.
     */
    EntryVerdict admitBelow(HttpRequest request, CallContext inherited) const;

private:
    std::variant<Refusal, Entered> findRoute(HttpRequest request) const;
    std::optional<Refusal> authenticate(TimePoint now, Entered &entered) const;

    const PolicyStore &m_policy;
    const PathTable &m_paths;
    const Contact &m_contact;
    const Membership &m_membership;
};

/** Takes the deadline that a caller states, bounded by the policy; nothing when malformed. */
std::optional<Duration> statedDeadline(const HttpRequest &request, const RoutePolicy &route,
                                       const FleetDefaults &defaults);

} // namespace ibiswell
