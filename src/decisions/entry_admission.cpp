#include "ibiswell/decisions/entry_admission.h"

#include "ibiswell/decisions/contact.h"
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

std::string_view presentedKey(const HttpRequest &request)
{
    std::string_view key = request.header(headers::key);
    if (!key.empty())
        return key;
    std::string_view authorization = request.header(headers::authorization);
    if (authorization.starts_with(bearer))
        return authorization.substr(bearer.size());
    return {};
}

bool hasReservedPrefix(std::string_view name)
{
    if (name.size() < headers::prefix.size())
        return false;
    return std::equal(
        headers::prefix.begin(), headers::prefix.end(), name.begin(),
        [](char a, char b) { return a == std::tolower(static_cast<unsigned char>(b)); });
}

/** Takes the key, and any field that repeats it, out of the request. */
void removeKey(HttpRequest &request, const std::string &key)
{
    request.removeHeader(headers::authorization);
    std::erase_if(request.headers, [&](const HeaderField &field) {
        return hasReservedPrefix(field.name)
            || (!key.empty() && field.value.find(key) != std::string::npos);
    });
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return std::isgraph(c) != 0; });
}

} // namespace

std::optional<Duration> statedDeadline(const HttpRequest &request, const RoutePolicy &route,
                                       const FleetDefaults &defaults)
{
    std::string_view text = request.header(headers::deadline);
    if (text.empty())
        return route.deadline;
    long long count = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (ec != std::errc {} || end != text.data() + text.size() || count <= 0)
        return std::nullopt;
    count = std::min<long long>(count, 3'600'000);
    return std::min<Duration>(std::chrono::milliseconds(count), defaults.longestDeadline);
}

EntryAdmission::EntryAdmission(Kernel &kernel)
    : m_policy(kernel.get<PolicyStore>("policy"))
    , m_paths(kernel.get<PathTable>("paths"))
    , m_contact(kernel.get<Contact>("contact"))
    , m_membership(kernel.get<Membership>("membership"))
{
}

std::variant<Refusal, Entered> EntryAdmission::findRoute(HttpRequest request) const
{
    if (!m_policy.isReady())
        return Refusal {ErrorKind::NodeNotReady, "the node has no policy yet", Execution::NotRun};
    std::string_view path = request.path;
    std::size_t slash = path.find('/', 1);
    std::string service {path.substr(1, slash == std::string_view::npos ? slash : slash - 1)};
    std::string below {slash == std::string_view::npos ? "/" : path.substr(slash)};
    const RoutePolicy *route = m_policy.policy().findRoute(service, request.method, below);
    if (!route)
        return Refusal {ErrorKind::UnknownRoute,
                        fmt::format("no route for {} {}", request.method, request.path),
                        Execution::NotRun};
    Entered entered {service, *route, {}, std::move(request), {}, false};
    entered.request.path = std::move(below);
    entered.idempotencyKey = entered.request.header(headers::idempotencyKey);
    entered.firstAttempt = entered.request.header(headers::attempt) == "1";
    entered.context.priority = route->priority;
    return entered;
}

std::optional<Refusal> EntryAdmission::authenticate(TimePoint now, Entered &entered) const
{
    std::string key {presentedKey(entered.request)};
    removeKey(entered.request, key);
    if (!key.empty()
        && (entered.request.path.find(key) != std::string::npos
            || entered.request.body.find(key) != std::string::npos))
        return Refusal {ErrorKind::BadRequest, "the request repeats its key outside the header",
                        Execution::NotRun};
    if (entered.route.open)
        return std::nullopt;
    if (key.empty())
        return Refusal {ErrorKind::KeyMissing,
                        fmt::format("route \"{}\" needs a key", entered.route.name),
                        Execution::NotRun};
    if (m_contact.isCutOff(now, m_membership.size() > 1))
        return Refusal {ErrorKind::NodeNotReady,
                        "the node is cut off and cannot know of withdrawn keys", Execution::NotRun};
    const std::string *team = m_policy.policy().teamOfKey(key);
    if (!team)
        return Refusal {ErrorKind::KeyRejected, "the key is not granted or was withdrawn",
                        Execution::NotRun};
    entered.context.team = *team;
    return std::nullopt;
}

EntryVerdict EntryAdmission::admit(TimePoint now, HttpRequest request, const std::string &requestId,
                                   Random &random) const
{
    auto found = findRoute(std::move(request));
    if (std::holds_alternative<Refusal>(found))
        return found;
    Entered &entered = std::get<Entered>(found);
    const FleetDefaults &defaults = m_policy.policy().defaults;
    std::optional<Duration> deadline = statedDeadline(entered.request, entered.route, defaults);
    std::string_view stated = entered.request.header(headers::requestId);
    std::string id {stated.empty() ? requestId : stated};
    if (!deadline || id.size() > longestRequestId || !isPrintable(id))
        return Refusal {ErrorKind::BadRequest,
                        fmt::format("{} must be a positive whole number of milliseconds and {} at "
                                    "most {} printable characters",
                                    headers::deadline, headers::requestId, longestRequestId),
                        Execution::NotRun};
    if (std::optional<Refusal> refusal = authenticate(now, entered))
        return *refusal;
    CallContext &context = entered.context;
    context.requestId = std::move(id);
    context.timeLeft = *deadline;
    context.retriesLeft = static_cast<std::uint8_t>(defaults.retriesPerCallTree);
    context.admissionDraw = uniform(random);
    context.admittedFraction =
        m_paths.fraction(now, {entered.route.name, context.team, context.priority});
    if (context.admissionDraw >= context.admittedFraction)
        return Refusal {
            ErrorKind::PathOverloaded,
            fmt::format("the path takes {:.3f} of this team's requests", context.admittedFraction),
            Execution::NotRun};
    return found;
}

EntryVerdict EntryAdmission::admitBelow(HttpRequest request, CallContext inherited) const
{
    auto found = findRoute(std::move(request));
    if (std::holds_alternative<Refusal>(found))
        return found;
    Entered &entered = std::get<Entered>(found);
    const FleetDefaults &defaults = m_policy.policy().defaults;
    if (inherited.depth >= defaults.maximumDepth)
        return Refusal {ErrorKind::DepthExceeded,
                        fmt::format("the call tree is {} calls deep", inherited.depth),
                        Execution::NotRun};
    std::optional<Duration> stated = statedDeadline(entered.request, entered.route, defaults);
    bool isStated = !entered.request.header(headers::deadline).empty();
    removeKey(entered.request, {});
    // A call below is as important as the request that it serves: the class is inherited.
    entered.context = std::move(inherited);
    if (stated && isStated)
        entered.context.timeLeft = std::min(entered.context.timeLeft, *stated);
    return found;
}

} // namespace ibiswell
