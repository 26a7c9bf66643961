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
    std::string address = "127.0.0.1"; ///< IP number that the node listens on and announces.
    int httpPort = 0; ///< For callers, the local backend server and operators.
    int peerPort = 0; ///< For other nodes, TCP and UDP.
    Endpoint backend;
    Endpoint platform;
    std::vector<Endpoint> seedNodes; ///< Nodes to join by when the platform does not answer.
    Duration leaseDuration = std::chrono::minutes(30);
    Duration otherZoneLatency = std::chrono::microseconds(1500); ///< One way.
    Duration slowClient = std::chrono::seconds(10); ///< To send a whole request.
    Duration stopLimit = std::chrono::seconds(60); ///< For calls under way when the node stops.
    int bodyBytes = 8 << 20; ///< Largest request body.
    int headerBytes = 16 << 10; ///< Largest request header.
    int connections = 4096; ///< Callers' connections at once.
    std::string operatorTokenHash; ///< SHA-256 of the token for control; empty: open to all.
    LogLevel logLevel = LogLevel::Info;
    std::string front; ///< Settings of an external front, as JSON; empty: the product's own front.
};

/** The address in a text "IP:PORT"; nothing when it is not one. */
std::optional<Endpoint> parseEndpoint(std::string_view text);

/** @param error lists every fault with its field and allowed range when nothing is returned. */
std::optional<NodeSettings> parseNodeSettings(std::string_view text, Error &error);

/** Reads a whole file; nothing, with the reason, when it cannot be read. */
std::optional<std::string> readFile(const std::string &path, Error &error);

} // namespace ibiswell
