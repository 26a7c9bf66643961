#include "ibiswell/decisions/entry_admission.h"

#include "ibiswell/decisions/connectivity_monitor.h"
#include "ibiswell/decisions/entry_throttle.h"
#include "ibiswell/decisions/membership.h"
#include "ibiswell/decisions/path_table.h"
#include "ibiswell/decisions/policy_store.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fmt/format.h>

namespace ibiswell {

namespace {

constexpr std::size_t maximumRequestIdLength = 128;
/** Of a call that states no call tree, whose budget it could share. */
constexpr std::uint8_t retriesOfUnlinkedCall = 8;
constexpr std::string_view bearerPrefix = "Bearer ";

bool startsWith(std::string_view name, std::string_view lowerCasePrefix)
{
    if (name.size() < lowerCasePrefix.size())
        return false;
    return std::equal(
        lowerCasePrefix.begin(), lowerCasePrefix.end(), name.begin(),
        [](char a, char b) { return a == std::tolower(static_cast<unsigned char>(b)); });
}

Refusal makeRefusal(ErrorKind kind, std::string detail)
{
    return {kind, std::move(detail), Execution::NotRun};
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return std::isgraph(c) != 0; });
}

} // namespace

std::optional<Duration> parseDeadline(const HttpRequest &request, std::string_view name,
                                      const RoutePolicy &route, const FleetDefaults &defaults)
{
    auto bounded = [&](Duration deadline) {
        return route.timeout > Duration::zero() ? std::min(deadline, route.timeout) : deadline;
    };
    std::string_view text = request.header(name);
    if (text.empty())
        return bounded(route.deadline);
    long long valueMs = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), valueMs);
    if (ec != std::errc {} || end != text.data() + text.size() || valueMs <= 0)
        return std::nullopt;
    // At most an hour, so that the conversion to Duration cannot overflow.
    valueMs = std::min<long long>(valueMs, 3'600'000);
    return bounded(
        std::min<Duration>(std::chrono::milliseconds(valueMs), defaults.longestDeadline));
}

EntryAdmission::EntryAdmission(Kernel &kernel)
    : m_dialect(kernel.get<Dialect>("dialect"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_paths(kernel.get<PathTable>("paths"))
    , m_connectivity(kernel.get<ConnectivityMonitor>("contact"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_throttle(kernel.find<EntryThrottle>("throttle"))
{
}

std::string_view EntryAdmission::presentedKey(const HttpRequest &request) const
{
    std::string_view key = request.header(m_dialect.names.key);
    if (!key.empty() || !m_dialect.acceptsBearerKeys)
        return key;
    std::string_view authorization = request.header(headers::authorization);
    if (authorization.starts_with(bearerPrefix))
        return authorization.substr(bearerPrefix.size());
    return {};
}

/** Removes the key, and any header field that repeats it, from the request. */
void EntryAdmission::removeKey(HttpRequest &request, const std::string &key) const
{
    if (m_dialect.acceptsBearerKeys)
        request.removeHeader(headers::authorization);
    request.removeHeader(m_dialect.names.key);
    std::erase_if(request.headers, [&](const HeaderField &field) {
        bool reserved =
            !m_dialect.reservedPrefix.empty() && startsWith(field.name, m_dialect.reservedPrefix);
        return reserved || (!key.empty() && field.value.find(key) != std::string::npos);
    });
}

EntryDecision EntryAdmission::findRoute(HttpRequest request, const ServiceInPath &)
{
    std::string_view path = request.path;
    std::size_t slash = path.find('/', 1);
    std::string service {path.substr(1, slash == std::string_view::npos ? slash : slash - 1)};
    std::string servicePath {slash == std::string_view::npos ? "/" : path.substr(slash)};
    const RoutePolicy *route = m_policy.policy().findRoute(service, request.method, servicePath);
    if (!route)
        return makeRefusal(ErrorKind::UnknownRoute,
                           fmt::format("no route for {} {}", request.method, request.path));
    AdmittedRequest admitted {service, *route, {}, std::move(request), {}, false};
    admitted.request.path = std::move(servicePath);
    return admitted;
}

EntryDecision EntryAdmission::findRoute(HttpRequest request, const HostAndPrefix &)
{
    std::string_view host = request.header("host");
    const RoutePolicy *route =
        m_policy.policy().findRouteByHost(host.substr(0, host.find(':')), request.path);
    if (!route)
        return makeRefusal(ErrorKind::UnknownRoute,
                           fmt::format("no route for host \"{}\" and {}", host, request.path));
    const std::string &service = route->split.empty() ? route->service : m_splits.choose(*route);
    return AdmittedRequest {service, *route, {}, std::move(request), {}, false};
}

EntryDecision EntryAdmission::findRoute(HttpRequest request)
{
    if (!m_policy.isReady())
        return makeRefusal(ErrorKind::NodeNotReady, "the node has no policy yet");
    auto found =
        std::visit([&](const auto &naming) { return findRoute(std::move(request), naming); },
                   m_dialect.routeNaming);
    if (AdmittedRequest *admitted = std::get_if<AdmittedRequest>(&found)) {
        admitted->idempotencyKey = admitted->request.header(headers::idempotencyKey);
        admitted->firstAttempt = admitted->request.header(headers::attempt) == "1";
        admitted->context.priority = admitted->route.priority;
    }
    return found;
}

std::optional<Refusal> EntryAdmission::authenticate(TimePoint now, AdmittedRequest &admitted) const
{
    std::string key {presentedKey(admitted.request)};
    removeKey(admitted.request, key);
    if (!key.empty()
        && (admitted.request.path.find(key) != std::string::npos
            || admitted.request.body.find(key) != std::string::npos))
        return makeRefusal(ErrorKind::BadRequest,
                           "the request repeats its key in the path or the body");
    if (admitted.route.open) {
        admitted.context.depth = key.empty() && m_dialect.keylessIsDownstreamCall ? 1 : 0;
        return std::nullopt;
    }
    if (key.empty())
        return makeRefusal(ErrorKind::KeyMissing,
                           fmt::format("route \"{}\" requires a key", admitted.route.name));
    if (m_connectivity.isIsolated(now, m_membership.size() > 1))
        return makeRefusal(ErrorKind::NodeNotReady,
                           "the node is isolated and may not know of withdrawn keys");
    const std::string *team = m_policy.policy().teamOfKey(key);
    if (!team)
        return makeRefusal(ErrorKind::KeyRejected, "the key is not granted or was withdrawn");
    admitted.context.team = *team;
    assignPriority(admitted);
    return std::nullopt;
}

/** The priority class that the policy sets for a team overrides that of the route. */
void EntryAdmission::assignPriority(AdmittedRequest &admitted) const
{
    CallContext &context = admitted.context;
    context.priority =
        m_policy.policy().team(context.team).priority.value_or(admitted.route.priority);
}

EntryDecision EntryAdmission::admit(TimePoint now, HttpRequest request,
                                    const std::string &requestId, Random &random)
{
    EntryDecision found = findRoute(std::move(request));
    if (std::holds_alternative<Refusal>(found))
        return found;
    AdmittedRequest &admitted = std::get<AdmittedRequest>(found);
    const FleetDefaults &defaults = m_policy.policy().defaults;
    const HeaderNames &names = m_dialect.names;
    std::optional<Duration> deadline =
        parseDeadline(admitted.request, names.deadline, admitted.route, defaults);
    std::string_view stated = admitted.request.header(names.requestId);
    std::string id {stated.empty() ? requestId : stated};
    if (!deadline || id.size() > maximumRequestIdLength || !isPrintable(id))
        return makeRefusal(
            ErrorKind::BadRequest,
            fmt::format("{} must be a positive whole number of milliseconds and {} at "
                        "most {} printable characters",
                        names.deadline, names.requestId, maximumRequestIdLength));
    if (std::optional<Refusal> refusal = authenticate(now, admitted))
        return *refusal;
    CallContext &context = admitted.context;
    context.requestId = std::move(id);
    context.remainingTime = *deadline;
    context.remainingRetries = static_cast<std::uint8_t>(defaults.retriesPerCallTree);
    // The work upstream of a call from a backend server is already done, so only a full queue
    // refuses it, and it may be sent again as often as the node's own limit bears.
    context.unsheddable = context.depth > 0;
    if (context.unsheddable) {
        context.remainingRetries = retriesOfUnlinkedCall;
        return found;
    }
    context.admissionDraw = uniform(random);
    context.admittedFraction = computeAdmittedFraction(now, admitted);
    if (context.admissionDraw >= context.admittedFraction)
        return makeRefusal(
            ErrorKind::PathOverloaded,
            fmt::format(
                "only {:.3f} of this team's requests are admitted, since the path is overloaded",
                context.admittedFraction));
    return found;
}

double EntryAdmission::computeAdmittedFraction(TimePoint now, const AdmittedRequest &admitted)
{
    const CallContext &context = admitted.context;
    const std::string &route = admitted.route.name;
    double fraction = m_paths.fraction(now, {route, context.team, context.priority});
    if (!m_throttle)
        return fraction;
    double weight = m_policy.policy().team(context.team).weight;
    m_throttle->onArrival(now, route, context.priority, context.team, weight);
    return std::min(fraction, m_throttle->fraction(route, context.priority, context.team));
}

EntryDecision EntryAdmission::admitDownstream(HttpRequest request, CallContext inherited)
{
    EntryDecision found = findRoute(std::move(request));
    if (std::holds_alternative<Refusal>(found))
        return found;
    AdmittedRequest &admitted = std::get<AdmittedRequest>(found);
    const FleetDefaults &defaults = m_policy.policy().defaults;
    if (inherited.depth >= defaults.maximumDepth)
        return makeRefusal(ErrorKind::DepthExceeded,
                           fmt::format("the call tree is {} calls deep", inherited.depth));
    const std::string &field = m_dialect.names.deadline;
    std::optional<Duration> stated =
        parseDeadline(admitted.request, field, admitted.route, defaults);
    bool statesDeadline = !admitted.request.header(field).empty();
    removeKey(admitted.request, {});
    // A downstream call is as important as the request that it serves, so it keeps the class.
    admitted.context = std::move(inherited);
    if (stated && statesDeadline)
        admitted.context.remainingTime = std::min(admitted.context.remainingTime, *stated);
    return found;
}

} // namespace ibiswell
