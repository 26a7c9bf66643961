#pragma once

#include "ibiswell/core/messages.h"

#include <string>
#include <variant>

/**
 * What a front names and says in its own way. The decisions and the call path work with typed
 * requests and refusals; a dialect tells how those stand in HTTP messages, so that two fronts
 * drive the same path.
 */
namespace ibiswell {

/** The first segment of the path names the service; the rest selects the route. */
struct ServiceInPath
{
};

/** The Host field and the longest prefix of the path select the route; the path stays whole. */
struct HostAndPrefix
{
};

/** Where a request says which route it is for. */
using RouteNaming = std::variant<ServiceInPath, HostAndPrefix>;

/** Names of header fields; an empty name means that the front has no such field. */
struct HeaderNames
{
    std::string requestId; ///< Identifies one attempt of a caller; echoed by backend servers.
    std::string key; ///< Tenant key, as a caller sends it; never passed on.
    std::string team; ///< Team of the key, as a backend server gets it.
    std::string deadline; ///< Time left, in whole milliseconds.
    std::string callerService; ///< Service of the VM on which the request began.
    std::string callToken; ///< Identifies the running call to which a call below belongs.
    std::string expectedInstance; ///< Instance that must run the request, sent with it.
    std::string signature; ///< Proof that an answer is a backend server's; kept unchanged.
    std::string notExecuted; ///< Present in an answer when the request certainly did not run.
    std::string execution; ///< Execution of a refused request, told to the caller.
};

/** Turns a refusal into an answer to a caller. */
using RefusalWriter = HttpResponse (*)(const HeaderNames &names, const std::string &requestId,
                                       const Refusal &refusal);

struct Dialect
{
    HeaderNames names;
    RouteNaming routeNaming;
    RefusalWriter writeRefusal = nullptr;
    /** Whether a key may also come as "Authorization: Bearer KEY". */
    bool acceptsBearerKeys = false;
    /** Prefix of header fields that never reach a backend server; empty: none. */
    std::string reservedPrefix;
    /** Whether a request without a key on an open route comes from the local backend server. */
    bool keylessIsDownstreamCall = false;
    /** Whether backend servers echo the request's id, so that a crossed answer is recognised. */
    bool responsesEchoRequestId = false;
};

/** The product's own dialect. */
Dialect nativeDialect();

} // namespace ibiswell
