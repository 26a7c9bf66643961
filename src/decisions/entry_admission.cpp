#include "ibiswell/decisions/entry_admission.h"

#include "ibiswell/decisions/contact.h"
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

constexpr std::size_t longestRequestId = 128;
constexpr std::string_view bearer = "Bearer ";

bool startsWith(std::string_view name, std::string_view lowerCasePrefix)
{
    if (name.size() < lowerCasePrefix.size())
        return false;
    return std::equal(
        lowerCasePrefix.begin(), lowerCasePrefix.end(), name.begin(),
        [](char a, char b) { return a == std::tolower(static_cast<unsigned char>(b)); });
}

Refusal notRun(ErrorKind kind, std::string detail)
{
    return {kind, std::move(detail), Execution::NotRun};
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return std::isgraph(c) != 0; });
}

} // namespace

std::optional<Duration> statedDeadline(const HttpRequest &request, std::string_view name,
                                       const RoutePolicy &route, const FleetDefaults &defaults)
{
    auto bounded = [&](Duration deadline) {
        return route.timeout > Duration::zero() ? std::min(deadline, route.timeout) : deadline;
    };
    std::string_view text = request.header(name);
    if (text.empty())
        return bounded(route.deadline);
    long long count = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (ec != std::errc {} || end != text.data() + text.size() || count <= 0)
        return std::nullopt;
    count = std::min<long long>(count, 3'600'000);
    return bounded(std::min<Duration>(std::chrono::milliseconds(count), defaults.longestDeadline));
}

EntryAdmission::EntryAdmission(Kernel &kernel)
    : m_dialect(kernel.get<Dialect>("dialect"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_paths(kernel.get<PathTable>("paths"))
    , m_contact(kernel.get<Contact>("contact"))
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
    if (authorization.starts_with(bearer))
        return authorization.substr(bearer.size());
    return {};
}

/** Takes the key, and any field that repeats it, out of the request. */
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

EntryVerdict EntryAdmission::findRoute(HttpRequest request, const ServiceInPath &)
{
    std::string_view path = request.path;
    std::size_t slash = path.find('/', 1);
    std::string service {path.substr(1, slash == std::string_view::npos ? slash : slash - 1)};
    std::string below {slash == std::string_view::npos ? "/" : path.substr(slash)};
    const RoutePolicy *route = m_policy.policy().findRoute(service, request.method, below);
    if (!route)
        return notRun(ErrorKind::UnknownRoute,
                      fmt::format("no route for {} {}", request.method, request.path));
    Entered entered {service, *route, {}, std::move(request), {}, false};
    entered.request.path = std::move(below);
    return entered;
}

EntryVerdict EntryAdmission::findRoute(HttpRequest request, const HostAndPrefix &)
{
    std::string_view host = request.header("host");
    const RoutePolicy *route =
        m_policy.policy().findRouteByHost(host.substr(0, host.find(':')), request.path);
    if (!route)
        return notRun(ErrorKind::UnknownRoute,
                      fmt::format("no route for host \"{}\" and {}", host, request.path));
    const std::string &service = route->split.empty() ? route->service : m_splits.choose(*route);
    return Entered {service, *route, {}, std::move(request), {}, false};
}

EntryVerdict EntryAdmission::findRoute(HttpRequest request)
{
    if (!m_policy.isReady())
        return notRun(ErrorKind::NodeNotReady, "the node has no policy yet");
    auto found =
        std::visit([&](const auto &naming) { return findRoute(std::move(request), naming); },
                   m_dialect.routeNaming);
    if (Entered *entered = std::get_if<Entered>(&found)) {
        entered->idempotencyKey = entered->request.header(headers::idempotencyKey);
        entered->firstAttempt = entered->request.header(headers::attempt) == "1";
        entered->context.priority = entered->route.priority;
    }
    return found;
}

std::optional<Refusal> EntryAdmission::authenticate(TimePoint now, Entered &entered) const
{
    std::string key {presentedKey(entered.request)};
    removeKey(entered.request, key);
    if (!key.empty()
        && (entered.request.path.find(key) != std::string::npos
            || entered.request.body.find(key) != std::string::npos))
        return notRun(ErrorKind::BadRequest, "the request repeats its key outside the header");
    if (entered.route.open) {
        entered.context.depth = key.empty() && m_dialect.keylessIsDownstreamCall ? 1 : 0;
        return std::nullopt;
    }
    if (key.empty())
        return notRun(ErrorKind::KeyMissing,
                      fmt::format("route \"{}\" needs a key", entered.route.name));
    if (m_contact.isCutOff(now, m_membership.size() > 1))
        return notRun(ErrorKind::NodeNotReady,
                      "the node is cut off and cannot know of withdrawn keys");
    const std::string *team = m_policy.policy().teamOfKey(key);
    if (!team)
        return notRun(ErrorKind::KeyRejected, "the key is not granted or was withdrawn");
    entered.context.team = *team;
    prioritise(entered);
    return std::nullopt;
}

/** A class that the policy sets for a team goes before its routes' classes. */
void EntryAdmission::prioritise(Entered &entered) const
{
    CallContext &context = entered.context;
    context.priority =
        m_policy.policy().team(context.team).priority.value_or(entered.route.priority);
}

EntryVerdict EntryAdmission::admit(TimePoint now, HttpRequest request, const std::string &requestId,
                                   Random &random)
{
    EntryVerdict found = findRoute(std::move(request));
    if (std::holds_alternative<Refusal>(found))
        return found;
    Entered &entered = std::get<Entered>(found);
    const FleetDefaults &defaults = m_policy.policy().defaults;
    const HeaderNames &names = m_dialect.names;
    std::optional<Duration> deadline =
        statedDeadline(entered.request, names.deadline, entered.route, defaults);
    std::string_view stated = entered.request.header(names.requestId);
    std::string id {stated.empty() ? requestId : stated};
    if (!deadline || id.size() > longestRequestId || !isPrintable(id))
        return notRun(ErrorKind::BadRequest,
                      fmt::format("{} must be a positive whole number of milliseconds and {} at "
                                  "most {} printable characters",
                                  names.deadline, names.requestId, longestRequestId));
    if (std::optional<Refusal> refusal = authenticate(now, entered))
        return *refusal;
    CallContext &context = entered.context;
    context.requestId = std::move(id);
    context.remainingTime = *deadline;
    context.remainingRetries = static_cast<std::uint8_t>(defaults.retriesPerCallTree);
    // The work above a call from a backend server is done already: only a full queue refuses it.
    context.unsheddable = context.depth > 0;
    if (context.unsheddable)
        return found;
    context.admissionDraw = uniform(random);
    context.admittedFraction = fractionTaken(now, entered);
    if (context.admissionDraw >= context.admittedFraction)
        return notRun(
            ErrorKind::PathOverloaded,
            fmt::format("the path takes {:.3f} of this team's requests", context.admittedFraction));
    return found;
}

double EntryAdmission::fractionTaken(TimePoint now, const Entered &entered)
{
    const CallContext &context = entered.context;
    const std::string &route = entered.route.name;
    double fraction = m_paths.fraction(now, {route, context.team, context.priority});
    if (!m_throttle)
        return fraction;
    double weight = m_policy.policy().team(context.team).weight;
    m_throttle->onArrival(now, route, context.priority, context.team, weight);
    return std::min(fraction, m_throttle->fraction(route, context.priority, context.team));
}

EntryVerdict EntryAdmission::admitBelow(HttpRequest request, CallContext inherited)
{
    EntryVerdict found = findRoute(std::move(request));
    if (std::holds_alternative<Refusal>(found))
        return found;
    Entered &entered = std::get<Entered>(found);
    const FleetDefaults &defaults = m_policy.policy().defaults;
    if (inherited.depth >= defaults.maximumDepth)
        return notRun(ErrorKind::DepthExceeded,
                      fmt::format("the call tree is {} calls deep", inherited.depth));
    const std::string &field = m_dialect.names.deadline;
    std::optional<Duration> stated =
        statedDeadline(entered.request, field, entered.route, defaults);
    bool isStated = !entered.request.header(field).empty();
    removeKey(entered.request, {});
    // A call below is as important as the request that it serves: the class is inherited.
    entered.context = std::move(inherited);
    if (stated && isStated)
        entered.context.remainingTime = std::min(entered.context.remainingTime, *stated);
    return found;
}

} // namespace ibiswell
