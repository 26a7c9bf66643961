#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/member.h"
#include "ibiswell/core/time.h"
#include "ibiswell/transport/log.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibiswell {

/** Settings of one node process, read from a JSON file with comments. */
struct NodeSettings
{
    std::string node;
    std::string service;
    std::string zone;
    std::string address = "127.0.0.1"; ///< IP address that the node listens on and announces.
    int httpPort = 0; ///< Port for callers, the local backend server and operators.
    int peerPort = 0; ///< TCP and UDP port for other nodes.
    Endpoint backend;
    Endpoint platform;
    std::vector<Endpoint> seedNodes; ///< Nodes to join through, beside the platform's list.
    Duration leaseDuration = std::chrono::minutes(30);
    Duration otherZoneLatency = std::chrono::microseconds(1500); ///< One-way latency between zones.
    Duration slowClientTimeout =
        std::chrono::seconds(10); ///< For a client to send a whole request.
    Duration stopLimit = std::chrono::seconds(60); ///< For calls in progress when the node stops.
    int bodyBytes = 8 << 20; ///< Maximum size of a request body.
    int headerBytes = 16 << 10; ///< Maximum size of a request header.
    int maximumConnections = 4096; ///< Maximum number of open connections from callers.
    /** SHA-256 of the token for operator pages, in hexadecimal; empty: no token is needed. */
    std::string operatorTokenHash;
    LogLevel logLevel = LogLevel::Info;
    std::string front; ///< Settings of an external front, as JSON; empty: none given.
};

/** Parses "IP:PORT"; returns nothing when the text has another form. */
std::optional<Endpoint> parseEndpoint(std::string_view text);

/** @param error when nothing is returned, lists every error with its field and allowed range. */
std::optional<NodeSettings> parseNodeSettings(std::string_view text, Error &error);

/** Reads a whole file; nothing, with the reason in @p error, when it cannot be read. */
std::optional<std::string> readFile(const std::string &path, Error &error);

} // namespace ibiswell
