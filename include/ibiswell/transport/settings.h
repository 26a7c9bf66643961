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
    std::string node; ///< Name of the node, unique in the fleet.
    std::string service; ///< Service that the local backend server belongs to.
    std::string zone;
    std::string address = "127.0.0.1"; ///< IP address that the node listens on and announces.
    int httpPort = 0; ///< Port for callers, the local backend server and operators.
    int peerPort = 0; ///< TCP and UDP port for other nodes.
    Endpoint backend; ///< The local backend server.
    Endpoint platform;
    std::vector<Endpoint> seedNodes; ///< Nodes to join through, in addition to the platform's list.
    Duration leaseDuration = std::chrono::minutes(30);
    Duration otherZoneLatency = std::chrono::microseconds(1500); ///< One-way latency between zones.
    /** Time within which a client must send a complete request. */
    Duration slowClientTimeout = std::chrono::seconds(10);
    /** Time within which calls in progress must end when the node stops. */
    Duration stopLimit = std::chrono::seconds(60);
    int bodyBytes = 8 << 20; ///< Maximum size of a request body.
    int headerBytes = 16 << 10; ///< Maximum size of a request header.
    int maximumConnections = 4096; ///< Maximum number of open connections from callers.
    /** Requests of one connection that run at the same time. */
    int concurrentRequestsPerConnection = 8;
    int memoryMegabytes = 256; ///< Memory that the node may use.
    /** SHA-256 of the token for operator pages, in hexadecimal; empty: no token is needed. */
    std::string operatorTokenHash;
    LogLevel logLevel = LogLevel::Info;
    std::string front; ///< Settings of an external front, as JSON; empty: none given.
};

/** Parses "IP:PORT"; returns nothing when the text has another form. */
std::optional<Endpoint> parseEndpoint(std::string_view text);

/** @param error when nothing is returned, lists every error with its field and allowed range. */
std::optional<NodeSettings> parseNodeSettings(std::string_view text, Error &error);

/** Reads the contents of a file; nothing, with the reason in @p error, when it cannot be read. */
std::optional<std::string> readFile(const std::string &path, Error &error);

} // namespace ibiswell
