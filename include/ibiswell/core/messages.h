#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/member.h"
#include "ibiswell/core/request.h"
#include "ibiswell/core/store_position.h"
#include "ibiswell/policy/policy_document.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/**
 * Typed messages between nodes, independent of their encoding. The codec is in src/wire/; the
 * decision code does not include it.
 */
namespace ibiswell {

/** One HTTP header field. */
struct HeaderField
{
    std::string name;
    std::string value;

    bool operator==(const HeaderField &) const = default;
};

bool equalIgnoringCase(std::string_view a, std::string_view b);

/** Hop-by-hop fields concern a single connection and are never forwarded. */
bool isHopByHop(std::string_view fieldName);

/** A complete HTTP request. */
struct HttpRequest
{
    std::string method;
    /** Includes the query. With ServiceInPath, the entry node removes the service's name. */
    std::string path;
    std::vector<HeaderField> headers;
    std::string body;

    /** Value of the first header field named @p name (ignoring case), or an empty string. */
    std::string_view header(std::string_view name) const;
    void removeHeader(std::string_view name);
};

/** A complete HTTP response. */
struct HttpResponse
{
    int status = 200;
    std::vector<HeaderField> headers;
    std::string body;

    /** Value of the first header field named @p name (ignoring case), or an empty string. */
    std::string_view header(std::string_view name) const;
    bool hasHeader(std::string_view name) const;

    bool operator==(const HttpResponse &) const = default;
};

/** Why a call has no complete response. */
struct Refusal
{
    ErrorKind kind = ErrorKind::BadRequest;
    std::string detail;
    /**
     * May differ from responseFor(kind).execution: if a downstream call was refused, the call that
     * made it has run, and "not run" must not be reported to its upstream caller.
     */
    Execution execution = Execution::NotRun;
    Duration retryAfter {}; ///< Time after which the caller may retry; zero: not specified.
};

/** How a call ended. */
using CallResult = std::variant<HttpResponse, Refusal>;

// Messages over TCP. A connection carries one call at a time.

/** Asks the node of a target to run a request at its backend server. */
struct CallMessage
{
    std::uint64_t callId = 0;
    std::string service;
    std::string route;
    CallContext context;
    HttpRequest request;
};

/** Ends a call and contains its result. */
struct ResponseMessage
{
    std::uint64_t callId = 0; ///< Id from the CallMessage.
    CallResult result;
    LoadReport load;
    std::uint8_t remainingRetries = 0; ///< Retries given to the call that it did not use.
    /**
     * The service downstream of the target that was saturated and thereby made the call fail;
     * empty if there is none.
     */
    std::string saturatedService {};
};

/**
 * Sent at regular intervals while a call runs, so that a broken connection can be distinguished
 * from slow work.
 */
struct HeartbeatMessage
{
    std::uint64_t callId = 0;
};

/** Sent by a node that joins: requests the members that the receiver knows. */
struct RosterRequest
{
    Member joiningNode; ///< The sender.
};

struct RosterResponse
{
    std::vector<Member> members;
};

/** Requests what has changed in the policy and in the list of zones since what is known. */
struct PolicyPull
{
    std::uint64_t knownVersion = 0;
    StorePosition knownZones {};
};

/** Availability zones that the platform's store lists as out of service, as of a position. */
struct ZonesOut
{
    StorePosition position {}; ///< Where the store was read last; unknown: never.
    std::vector<std::string> zones {}; ///< In alphabetical order.

    bool operator==(const ZonesOut &) const = default;
};

/**
 * Either the deltas since the known version or the complete policy; empty if the known version is
 * up to date.
 */
struct PolicyResponse
{
    std::variant<std::monostate, std::vector<PolicyDelta>, PolicyDocument> update;
    ZonesOut zones {};
};

/** Asks the owner of an idempotency key for the right to run the key's request. */
struct KeyClaim
{
    std::string team;
    std::string key;
    bool firstAttempt = false; ///< The caller declares that it has never sent this key before.
};

/** Grants the right to run the request once. */
struct KeyGranted
{
};

/** The request has already run; this was its response. */
struct KeyDone
{
    HttpResponse response;
};

/** Response to a KeyClaim. */
struct KeyClaimResponse
{
    std::variant<KeyGranted, KeyDone, Refusal> decision;
};

/** Reports the result of a request that ran under a granted key to the key's owner. */
struct KeySettlement
{
    std::string team;
    std::string key;
    CallResult result;
};

struct KeySettlementResponse
{
};

using PeerMessage = std::variant<CallMessage, ResponseMessage, HeartbeatMessage, RosterRequest,
                                 RosterResponse, PolicyPull, PolicyResponse, KeyClaim,
                                 KeyClaimResponse, KeySettlement, KeySettlementResponse>;

// Messages over UDP.

/** Checks whether a member is alive. */
struct Probe
{
    std::uint64_t sequence = 0;
};

struct ProbeAck
{
    std::uint64_t sequence = 0;
};

/** Indirect probe: asks a third member to probe a member that did not acknowledge a probe. */
struct ProbeRequest
{
    std::uint64_t sequence = 0;
    std::string node;
    Endpoint endpoint;
};

/**
 * Announces a newer policy or a newer list of zones. Their versions are fields of the Datagram.
 */
struct PolicyUpdateNotice
{
};

/** Carries Datagram::updates immediately, without waiting for the next probe. */
struct MemberUpdate
{
};

/** Number of tokens requested for one team. */
struct TokenAmount
{
    std::string team;
    double tokens = 0;
};

/** Tokens granted for one team. */
struct GrantedTokens
{
    std::string team;
    double tokens = 0;
    double fillLevel = 0; ///< Fill level of the bucket after the grant, as a fraction of its burst.
};

/** Requests tokens from the holder of a rate share. */
struct TokenRequest
{
    std::uint64_t sequence = 0;
    std::uint32_t share = 0;
    std::vector<TokenAmount> wanted;
};

/**
 * Tokens that the holder has removed from its bucket. If the message is lost, the tokens are lost
 * too, so the rate is never exceeded.
 */
struct TokenGrant
{
    std::uint64_t sequence = 0;
    std::uint32_t share = 0;
    std::vector<GrantedTokens> granted;
    Duration validFor {}; ///< Validity, counted from sending the request, on the requester's clock.
};

using GossipBody = std::variant<Probe, ProbeAck, ProbeRequest, PolicyUpdateNotice, MemberUpdate,
                                TokenRequest, TokenGrant>;

/** Age of the knowledge of a node that was never known to have what the platform's store holds. */
inline constexpr Duration neverConfirmed = std::chrono::hours(24);

/** What a node states of its knowledge of the platform's store. */
struct StoreStatement
{
    std::uint64_t era = 0; ///< The latest that is known.
    StorePosition zonesPosition {}; ///< ZonesOut::position.
    std::uint64_t zonesDigest = 0; ///< Equal for equal ZonesOut::zones.
    /** Time since the node was known to have what the store holds. */
    Duration confirmationAge = neverConfirmed;
};

/** A datagram between nodes. */
struct Datagram
{
    std::string sender; ///< Node name.
    Endpoint senderEndpoint;
    std::uint64_t policyVersion = 0; ///< Version of the policy that the sender uses.
    std::vector<Member> updates; ///< A few membership updates, piggybacked on each datagram.
    GossipBody body;
    StoreStatement store {}; ///< Filled in when the datagram is sent.
};

/** Effect of a decision: a datagram to send. */
struct SendDatagram
{
    Endpoint to;
    Datagram datagram;
};

} // namespace ibiswell
