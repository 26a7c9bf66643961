#include "ibiswell/transport/settings.h"

#include "ibiswell/policy/object_reader.h"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>

namespace ibiswell {

namespace {

constexpr NumberRange portRange {1, 65535};

void readEndpoint(const boost::json::value &value, const std::string &path, ErrorList &errors,
                  Endpoint &endpoint)
{
    if (value.is_string()) {
        std::optional<Endpoint> parsed = parseEndpoint(value.as_string());
        if (!parsed)
            errors.add(path, "must be \"IP:PORT\" or {\"address\", \"port\"}");
        endpoint = parsed.value_or(Endpoint {});
        return;
    }
    int port = 0;
    ObjectReader reader(value, path, errors);
    reader.readRequiredText("address", endpoint.address);
    reader.readInteger("port", portRange, port);
    if (port == 0)
        errors.add(reader.pathOf("port"), "is required");
    reader.finish();
    endpoint.port = static_cast<std::uint16_t>(port);
}

void readRequiredEndpoint(ObjectReader &reader, std::string_view field, ErrorList &errors,
                          Endpoint &endpoint)
{
    if (const boost::json::value *value = reader.readChild(field))
        readEndpoint(*value, reader.pathOf(field), errors, endpoint);
    else
        errors.add(reader.pathOf(field), "is required");
}

void readSeedNodes(ObjectReader &reader, ErrorList &errors, std::vector<Endpoint> &seedNodes)
{
    const boost::json::value *value = reader.readChild("contacts");
    if (!value)
        return;
    if (!value->is_array()) {
        errors.add("contacts", "must be a list of {\"address\", \"port\"}");
        return;
    }
    for (const boost::json::value &item : value->as_array()) {
        std::string path = fmt::format("contacts[{}]", seedNodes.size());
        readEndpoint(item, path, errors, seedNodes.emplace_back());
    }
}

/** Reads the port for callers, given alone or together with the node's address as "IP:PORT". */
void readHttpPort(ObjectReader &reader, ErrorList &errors, NodeSettings &settings)
{
    std::string text;
    reader.readText("http", text);
    reader.readInteger("http_port", portRange, settings.httpPort);
    if (!text.empty()) {
        std::optional<Endpoint> endpoint = parseEndpoint(text);
        if (!endpoint || endpoint->address != settings.address)
            errors.add("http", "must be \"IP:PORT\" with the IP address of \"address\"");
        settings.httpPort = endpoint ? endpoint->port : 0;
    }
    if (settings.httpPort == 0)
        errors.add("http_port", "is required");
}

LogLevel logLevelFrom(std::string_view name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    std::size_t colon = text.rfind(':');
    int port = 0;
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    auto [end, ec] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (ec != std::errc {} || end != text.data() + text.size() || port < 1 || port > 65535)
        return std::nullopt;
    return Endpoint {std::string(text.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

std::optional<NodeSettings> parseNodeSettings(std::string_view text, Error &error)
{
    auto value = parseJson(text, ErrorKind::InvalidSetting, error);
    if (!value)
        return std::nullopt;
    NodeSettings settings;
    ErrorList errors;
    ObjectReader reader(*value, "", errors);
    reader.readRequiredText("node", settings.node);
    reader.readRequiredText("service", settings.service);
    reader.readRequiredText("zone", settings.zone);
    reader.readText("address", settings.address);
    readHttpPort(reader, errors, settings);
    reader.readInteger("peer_port", portRange, settings.peerPort);
    if (settings.peerPort == 0)
        errors.add("peer_port", "is required");
    readRequiredEndpoint(reader, "backend", errors, settings.backend);
    readRequiredEndpoint(reader, "platform", errors, settings.platform);
    readSeedNodes(reader, errors, settings.seedNodes);
    reader.readMilliseconds("lease_ms", {1000, 86'400'000}, settings.leaseDuration);
    reader.readMilliseconds("other_zone_latency_ms", {0, 1000}, settings.otherZoneLatency);
    reader.readMilliseconds("slow_client_ms", {100, 600'000}, settings.slowClientTimeout);
    reader.readMilliseconds("stop_limit_ms", {0, 3'600'000}, settings.stopLimit);
    reader.readInteger("body_bytes", {1024, 16 << 20}, settings.bodyBytes);
    reader.readInteger("header_bytes", {1024, 1 << 20}, settings.headerBytes);
    reader.readInteger("connections", {1, 1'000'000}, settings.maximumConnections);
    reader.readInteger("concurrent_requests_per_connection", {1, 1000},
                       settings.concurrentRequestsPerConnection);
    reader.readInteger("memory_mb", {32, 1 << 20}, settings.memoryMegabytes);
    reader.readText("operator_token_sha256", settings.operatorTokenHash);
    if (!settings.operatorTokenHash.empty() && settings.operatorTokenHash.size() != 64)
        errors.add("operator_token_sha256", "must be 64 hexadecimal digits");
    std::string level = "info";
    reader.readChoice("log_level", {"debug", "info", "warning", "error"}, level);
    settings.logLevel = logLevelFrom(level);
    if (const boost::json::value *front = reader.readChild("front"))
        settings.front = boost::json::serialize(*front);
    reader.finish();
    if (!errors.isEmpty()) {
        error = {ErrorKind::InvalidSetting, errors.text()};
        return std::nullopt;
    }
    return settings;
}

std::optional<std::string> readFile(const std::string &path, Error &error)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        error = {ErrorKind::InvalidSetting,
                 fmt::format("{}: cannot be read: {}", path, std::strerror(errno))};
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return std::move(text).str();
}

} // namespace ibiswell
