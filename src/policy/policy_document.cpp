#include "ibiswell/policy/policy_document.h"

#include "ibiswell/policy/object_reader.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace ibiswell {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 8> sections {
    "defaults", "routes", "teams", "keys", "zones_out", "exceptions", "services", "limits"};
constexpr NumberRange deadlineRange {1, 600'000}; // milliseconds
constexpr NumberRange rateRange {0, 10'000'000}; // requests per second
constexpr NumberRange weightRange {0.01, 1000};
constexpr NumberRange splitWeightRange {0, 1'000'000};
constexpr std::size_t keyHashLength = 64; // hex digits of a SHA-256 hash

std::string_view toStringView(json::string_view text)
{
    return {text.data(), text.size()};
}

/** Reads the sections of a document into a Policy. */
class PolicyCompiler
{
public:
    explicit PolicyCompiler(const PolicyDocument &document)
        : m_document(document)
    {
        m_policy.version = document.version;
    }

    std::optional<Policy> compile(Error &error)
    {
        readDefaults();
        readSection("teams", &PolicyCompiler::readTeam);
        readSection("routes", &PolicyCompiler::readRoute);
        readSection("keys", &PolicyCompiler::readKey);
        readSection("zones_out", &PolicyCompiler::readZoneOut);
        readSection("exceptions", &PolicyCompiler::readException);
        readSection("services", &PolicyCompiler::readService);
        readSection("limits", &PolicyCompiler::readLimits);
        if (!m_errors.isEmpty()) {
            error = {ErrorKind::InvalidPolicy, m_errors.text()};
            return std::nullopt;
        }
        std::stable_sort(m_policy.routes.begin(), m_policy.routes.end(), hasLongerPrefix);
        indexHosts();
        return std::move(m_policy);
    }

private:
    using EntryReader = void (PolicyCompiler::*)(const std::string &name, const json::value &value,
                                                 const std::string &path);

    static bool hasLongerPrefix(const RoutePolicy &a, const RoutePolicy &b)
    {
        return a.pathPrefix.size() > b.pathPrefix.size();
    }

    void indexHosts()
    {
        for (std::size_t i = 0; i < m_policy.routes.size(); ++i) {
            const RoutePolicy &route = m_policy.routes[i];
            if (!route.host.empty())
                m_policy.routeByHostAndPrefix.emplace(route.host + route.pathPrefix, i);
        }
    }

    void readSection(std::string_view section, EntryReader read)
    {
        std::string prefix = fmt::format("{}/", section);
        for (auto it = m_document.entries.lower_bound(prefix);
             it != m_document.entries.end() && it->first.starts_with(prefix); ++it) {
            std::string name = it->first.substr(prefix.size());
            std::string path = fmt::format("{}.{}", section, name);
            Error error;
            auto value = parseJson(it->second, ErrorKind::InvalidPolicy, error);
            if (!value)
                m_errors.add(path, error.detail);
            else
                (this->*read)(name, *value, path);
        }
    }

    void readDefaults()
    {
        json::object object;
        FleetDefaults &defaults = m_policy.defaults;
        constexpr std::string_view prefix = "defaults/";
        for (auto it = m_document.entries.lower_bound(prefix);
             it != m_document.entries.end() && it->first.starts_with(prefix); ++it) {
            Error error;
            auto value = parseJson(it->second, ErrorKind::InvalidPolicy, error);
            std::string field = it->first.substr(prefix.size());
            if (value)
                object[field] = *value;
            else
                m_errors.add("defaults." + field, error.detail);
        }
        json::value defaultsValue = object;
        ObjectReader reader(defaultsValue, "defaults", m_errors);
        reader.readMilliseconds("deadline_ms", deadlineRange, defaults.deadline);
        reader.readMilliseconds("longest_deadline_ms", deadlineRange, defaults.longestDeadline);
        reader.readInteger("retries_per_call_tree", {0, 16}, defaults.retriesPerCallTree);
        reader.readInteger("maximum_depth", {1, 32}, defaults.maximumDepth);
        reader.readInteger("rate_shares", {1, 4096}, defaults.rateShares);
        reader.readInteger("shares_per_team", {1, 4096}, defaults.sharesPerTeam);
        reader.readInteger("key_ranges", {1, 4096}, defaults.keyRanges);
        readTeamFields(reader, defaults.team);
        reader.finish();
    }

    void readTeamFields(ObjectReader &reader, TeamPolicy &team)
    {
        reader.readNumber("rate_per_s", rateRange, team.ratePerSecond);
        reader.readNumber("burst", rateRange, team.burst);
        reader.readNumber("weight", weightRange, team.weight);
        reader.readBoolean("unlimited", team.unlimited);
        if (reader.readChild("priority"))
            team.priority = readPriority(reader, PriorityClass::Normal);
    }

    static PriorityClass readPriority(ObjectReader &reader, PriorityClass defaultPriority)
    {
        std::string priority {toString(defaultPriority)};
        reader.readChoice("priority", {"critical", "important", "normal", "bulk"}, priority);
        return priorityFromString(priority).value_or(defaultPriority);
    }

    void readTeam(const std::string &name, const json::value &value, const std::string &path)
    {
        TeamPolicy team = m_policy.defaults.team;
        ObjectReader reader(value, path, m_errors);
        readTeamFields(reader, team);
        reader.finish();
        m_policy.teams[name] = team;
    }

    void readRouteFields(ObjectReader &reader, RoutePolicy &route)
    {
        route.priority = readPriority(reader, route.priority);
        reader.readBoolean("idempotent", route.idempotent);
        reader.readBoolean("open", route.open);
        reader.readMilliseconds("deadline_ms", deadlineRange, route.deadline);
        reader.readMilliseconds("timeout_ms", deadlineRange, route.timeout);
        reader.readMilliseconds("aim_ms", deadlineRange, route.latencyObjective);
        reader.readInteger("maximum_targets", {0, 100}, route.maximumTargets);
    }

    void readSplit(ObjectReader &reader, RoutePolicy &route)
    {
        const json::value *split = reader.readChild("split");
        if (!split) {
            reader.readRequiredText("service", route.service);
            return;
        }
        const json::array *parts = split->if_array();
        if (!parts || parts->empty()) {
            m_errors.add(reader.pathOf("split"), "must be a list of {\"service\", \"weight\"}");
            return;
        }
        for (const json::value &part : *parts) {
            ObjectReader partReader(part, reader.pathOf("split"), m_errors);
            SplitPart &read = route.split.emplace_back();
            partReader.readRequiredText("service", read.service);
            partReader.readNumber("weight", splitWeightRange, read.weight);
            partReader.finish();
        }
    }

    void readService(const std::string &name, const json::value &value, const std::string &path)
    {
        ServicePolicy &service = m_policy.services[name];
        ObjectReader reader(value, path, m_errors);
        reader.readText("health_path", service.healthPath);
        reader.readInteger("maximum_connections", {0, 1'000'000}, service.maximumConnections);
        reader.readNumber("cold_starts_per_s", rateRange, service.coldRequestsPerSecond);
        reader.finish();
    }

    void readLimits(const std::string &name, const json::value &value, const std::string &path)
    {
        if (name != "callers") {
            m_errors.add(path, "is not a known entry");
            return;
        }
        CallerLimits &limits = m_policy.limits.emplace();
        ObjectReader reader(value, path, m_errors);
        reader.readInteger("header_bytes", {256, 1 << 20}, limits.headerBytes);
        reader.readInteger("body_bytes", {0, 1 << 30}, limits.bodyBytes);
        reader.readMilliseconds("slow_client_ms", deadlineRange, limits.slowClientTimeout);
        reader.readMilliseconds("idle_connection_ms", {1, 86'400'000},
                                limits.idleConnectionTimeout);
        reader.finish();
    }

    void readRoute(const std::string &name, const json::value &value, const std::string &path)
    {
        RoutePolicy route;
        route.name = name;
        route.method = "*";
        route.deadline = m_policy.defaults.deadline;
        ObjectReader reader(value, path, m_errors);
        readSplit(reader, route);
        reader.readText("host", route.host);
        reader.readText("method", route.method);
        reader.readRequiredText("path", route.pathPrefix);
        if (!route.pathPrefix.starts_with('/'))
            m_errors.add(reader.pathOf("path"), "must start with \"/\"");
        readRouteFields(reader, route);
        reader.finish();
        m_policy.routes.push_back(std::move(route));
    }

    void readKey(const std::string &hash, const json::value &value, const std::string &path)
    {
        std::string team;
        ObjectReader reader(value, path, m_errors);
        reader.readRequiredText("team", team);
        reader.finish();
        if (hash.size() != keyHashLength
            || hash.find_first_not_of("0123456789abcdef") != std::string::npos)
            m_errors.add(
                path, "the name must be the SHA-256 hash of the key in 64 lower-case hex digits");
        if (m_policy.teams.find(team) == m_policy.teams.end())
            m_errors.add(reader.pathOf("team"), fmt::format("team \"{}\" does not exist", team));
        m_policy.teamByKeyHash[hash] = team;
    }

    void readZoneOut(const std::string &zone, const json::value &value, const std::string &path)
    {
        std::string reason;
        ObjectReader reader(value, path, m_errors);
        reader.readRequiredText("reason", reason);
        reader.finish();
        m_policy.zonesOut[zone] = reason;
    }

    void readException(const std::string &name, const json::value &value, const std::string &path)
    {
        PolicyException exception;
        exception.name = name;
        ObjectReader reader(value, path, m_errors);
        reader.readRequiredText("reason", exception.reason);
        reader.readRequiredText("applies_to", exception.appliesTo);
        if (const json::value *set = reader.readChild("set"))
            applyException(exception.appliesTo, *set, path);
        else
            m_errors.add(reader.pathOf("set"), "is required");
        reader.finish();
        m_policy.exceptions.push_back(std::move(exception));
    }

    void applyException(const std::string &appliesTo, const json::value &set,
                        const std::string &path)
    {
        ObjectReader reader(set, path + ".set", m_errors);
        std::string name = appliesTo.substr(appliesTo.find(':') + 1);
        auto team = m_policy.teams.find(name);
        auto route = std::find_if(m_policy.routes.begin(), m_policy.routes.end(),
                                  [&](const RoutePolicy &r) { return r.name == name; });
        if (appliesTo.starts_with("route:") && route != m_policy.routes.end())
            readRouteFields(reader, *route);
        else if (appliesTo.starts_with("team:") && team != m_policy.teams.end())
            readTeamFields(reader, team->second);
        else
            m_errors.add(
                path + ".applies_to",
                "must be \"route:NAME\" or \"team:NAME\" and name an existing route or team");
        reader.finish();
    }

    const PolicyDocument &m_document;
    Policy m_policy;
    ErrorList m_errors;
};

} // namespace

std::optional<PolicyDocument> parsePolicyDocument(std::string_view text, Error &error)
{
    auto value = parseJson(text, ErrorKind::InvalidPolicy, error);
    if (!value)
        return std::nullopt;
    ErrorList errors;
    PolicyDocument document;
    ObjectReader reader(*value, "", errors);
    for (std::string_view section : sections) {
        const json::value *child = reader.readChild(section);
        if (!child)
            continue;
        if (!child->is_object()) {
            errors.add(std::string(section), "must be an object");
            continue;
        }
        for (const auto &item : child->as_object())
            document.entries[fmt::format("{}/{}", section, toStringView(item.key()))] =
                json::serialize(item.value());
    }
    reader.finish();
    if (!errors.isEmpty()) {
        error = {ErrorKind::InvalidPolicy, errors.text()};
        return std::nullopt;
    }
    return document;
}

std::string serializePolicyDocument(const PolicyDocument &document)
{
    json::object root;
    for (const auto &[entry, text] : document.entries) {
        std::size_t slash = entry.find('/');
        json::value &section = root[entry.substr(0, slash)];
        if (!section.is_object())
            section = json::object();
        section.as_object()[entry.substr(slash + 1)] = json::parse(text);
    }
    return json::serialize(root);
}

std::optional<Policy> compilePolicy(const PolicyDocument &document, Error &error)
{
    return PolicyCompiler(document).compile(error);
}

PolicyDelta computeDelta(const PolicyDocument &older, const PolicyDocument &newer)
{
    PolicyDelta delta {older.version, newer.version, {}};
    for (const auto &[entry, text] : newer.entries) {
        auto found = older.entries.find(entry);
        if (found == older.entries.end() || found->second != text)
            delta.edits.push_back({entry, text});
    }
    for (const auto &[entry, text] : older.entries) {
        if (!newer.entries.contains(entry))
            delta.edits.push_back({entry, std::nullopt});
    }
    return delta;
}

bool applyDelta(PolicyDocument &document, const PolicyDelta &delta)
{
    if (delta.from != document.version)
        return false;
    for (const PolicyEdit &edit : delta.edits) {
        if (edit.json)
            document.entries[edit.entry] = *edit.json;
        else
            document.entries.erase(edit.entry);
    }
    document.version = delta.to;
    return true;
}

} // namespace ibiswell
