#pragma once

#include "ibiswell/core/messages.h"

#include <string>
#include <variant>

/**
 * A dialect describes how typed requests and refusals are represented in HTTP messages: the names
 * of header fields, how a request names its route, and the format of a refusal. Decisions and call
 * dispatch work with the typed form only, so that different fronts can use the same code.
 */
namespace ibiswell {

/** The first segment of the path is the service; the rest of the path selects the route. */
struct ServiceInPath
{
};

/**
 * The Host field and the longest matching path prefix select the route. The path is passed on
 * unchanged.
 */
struct HostAndPrefix
{
};

/** How a request names its route. */
using RouteNaming = std::variant<ServiceInPath, HostAndPrefix>;

/** Names of header fields. An empty name means that the dialect has no such field. */
struct HeaderNames
{
    std::string requestId; ///< Identifies one attempt of a caller; backend servers echo it.
    std::string key; ///< Tenant key sent by a caller; never passed on.
    std::string team; ///< Team that owns the key; sent to the backend server.
    std::string deadline; ///< Remaining time in whole milliseconds.
    std::string callerService; ///< Service of the VM on which the request originated.
    std::string callToken; ///< Identifies the running call to which a downstream call belongs.
    std::string expectedInstance; ///< Instance that must run the request; sent with the request.
    std::string signature; ///< Proves that a response is a backend server's; passed on unchanged.
    std::string notExecuted; ///< Present in a response if the request certainly did not run.
    std::string admittedRate; ///< In a response: requests a second that the server takes at most.
    std::string leaving; ///< Present in a response if the backend server takes no new work.
    std::string instance; ///< In a response to a health check: the instance that responds.
    /** In a response to a health check: how much longer it stays cold, in milliseconds. */
    std::string remainingWarmup;
    std::string execution; ///< Execution of a refused request, reported to the caller.
};

/** Builds the HTTP response that reports a refusal to a caller. */
using RefusalWriter = HttpResponse (*)(const HeaderNames &names, const std::string &requestId,
                                       const Refusal &refusal);

/** The representation of requests and refusals at one front. */
struct Dialect
{
    HeaderNames names;
    RouteNaming routeNaming;
    RefusalWriter writeRefusal = nullptr;
    /** Whether a key may also be sent as "Authorization: Bearer KEY". */
    bool acceptsBearerKeys = false;
    /** Header fields with this prefix are never forwarded to a backend server; empty: no prefix. */
    std::string reservedPrefix;
    /**
     * Whether a request without a key on an open route is taken as a downstream call of the local
     * backend server.
     */
    bool keylessIsDownstreamCall = false;
    /** Whether backend servers echo the request id, so that mismatched responses are detected. */
    bool responsesEchoRequestId = false;
};

/** The dialect of ibiswell itself, with x-ibiswell-* header fields. */
Dialect nativeDialect();

} // namespace ibiswell
