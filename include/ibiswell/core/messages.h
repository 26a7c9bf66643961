#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/member.h"
#include "ibiswell/core/request.h"
#include "ibiswell/policy/policy_document.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/**
 * Typed messages between nodes. They carry no encoding: src/wire/ holds the codec, and the
 * decision code neither knows nor includes it.
 */
namespace ibiswell {

/** One HTTP header field. */
struct HeaderField
{
    std::string name;
    std::string value;

    bool operator==(const HeaderField &) const = default;
};

/** A request as a caller or a node sends it to a backend server. */
struct HttpRequest
{
    std::string method;
    std::string path; ///< Below the service's name, with the query.
    std::vector<HeaderField> headers;
    std::string body;

    /** Value of the first field of that name (case is ignored), or an empty text. */
    std::string_view header(std::string_view name) const;
    void removeHeader(std::string_view name);
};

/** A backend server's whole answer. */
struct HttpResponse
{
    int status = 200;
    std::vector<HeaderField> headers;
    std::string body;

    /** Value of the first field of that name (case is ignored), or an empty text. */
    std::string_view header(std::string_view name) const;
    bool hasHeader(std::string_view name) const;

    bool operator==(const HttpResponse &) const = default;
};

/** Why a call has no whole answer. */
struct Refusal
{
    ErrorKind kind = ErrorKind::BadRequest;
    std::string detail;
    /**
     * Not always responseFor(kind).execution: a refusal below a call that ran is no longer "not
     * run" for the caller above.
     */
    Execution execution = Execution::NotRun;
    Duration retryAfter {}; ///< When the caller may come back; zero: not stated.
};

/** How a call ended. */
using CallResult = std::variant<HttpResponse, Refusal>;

// Over TCP, one call at a time on a connection.

/** Asks the node of a target to run a request at its backend server. */
struct CallMessage
{
    std::uint64_t callId = 0;
    std::string service;
    std::string route;
    CallContext context;
    HttpRequest request;
};

/** The end of a call. */
struct ResponseMessage
{
    std::uint64_t callId = 0; ///< Of the call that it answers.
    CallResult result;
    LoadReport load;
    std::uint8_t remainingRetries = 0; ///< What the call did not use of the retries it was given.
    /** The service below the target whose lack of room broke the call; empty: none did. */
    std::string saturatedService {};
};

/** Sent at a steady pace while a call runs, so that a silent connection differs from slow work. */
struct HeartbeatMessage
{
    std::uint64_t callId = 0;
};

/** Asks for the members known to a node, when a new node joins. */
struct RosterRequest
{
    Member joiningNode; ///< The new node itself.
};

struct RosterResponse
{
    std::vector<Member> members;
};

/** Asks for what has changed in the policy since a version. */
struct PolicyPull
{
    std::uint64_t knownVersion = 0;
    std::uint64_t knownZonesRevision = 0;
};

/** Availability zones out of service by order of the platform's store. */
struct ZonesOut
{
    std::uint64_t revision = 0; ///< Of the store, when the list was read; 0: never read.
    std::vector<std::string> zones;

    bool operator==(const ZonesOut &) const = default;
};

/** The whole policy, or the deltas that lead to it; empty when there is nothing newer. */
struct PolicyResponse
{
    std::variant<std::monostate, std::vector<PolicyDelta>, PolicyDocument> update;
    ZonesOut zones {};
};

/** Asks the owner of an idempotency key for the right to run its request. */
struct KeyClaim
{
    std::string team;
    std::string key;
    bool firstAttempt = false; ///< The caller states that it never sent this key before.
};

/** The right to run the request once. */
struct KeyGranted
{
};

/** The request ran before, with this answer. */
struct KeyDone
{
    HttpResponse answer;
};

/** Answer to a KeyClaim. */
struct KeyClaimResponse
{
    std::variant<KeyGranted, KeyDone, Refusal> decision;
};

/** How a request ended that ran under a granted key. */
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

// Over UDP.

/** Asks a member whether it lives. */
struct Probe
{
    std::uint64_t sequence = 0;
};

struct ProbeAck
{
    std::uint64_t sequence = 0;
};

/** Asks a third member to probe one that did not answer. */
struct ProbeRequest
{
    std::uint64_t sequence = 0;
    std::string node;
    Endpoint endpoint;
};

/** Tells that a newer policy exists; the version itself is in the datagram's frame. */
struct PolicyUpdateNotice
{
};

/** Tells changes of members at once, outside of a probe. */
struct MemberUpdate
{
};

/** Amount of tokens for one team. */
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
    double fill = 0; ///< What is left in the bucket, as a part of its burst.
};

/** Asks the holder of a rate share for tokens. */
struct TokenRequest
{
    std::uint64_t sequence = 0;
    std::uint32_t share = 0;
    std::vector<TokenAmount> wanted;
};

/** Tokens that the holder has taken out of its bucket; a lost grant loses them for good. */
struct TokenGrant
{
    std::uint64_t sequence = 0;
    std::uint32_t share = 0;
    std::vector<GrantedTokens> granted;
    Duration validFor {}; ///< From when the ask was sent, by the asker's clock.
};

using GossipBody = std::variant<Probe, ProbeAck, ProbeRequest, PolicyUpdateNotice, MemberUpdate,
                                TokenRequest, TokenGrant>;

/** One datagram between nodes. */
struct Datagram
{
    std::string sender; ///< Node name.
    Endpoint senderEndpoint;
    std::uint64_t policyVersion = 0;
    std::vector<Member> updates; ///< News of members, a few with each datagram.
    GossipBody body;
    std::uint64_t zonesRevision = 0; ///< Of the zones that are out, see ZonesOut.
};

/** A datagram to be sent: an effect of a decision. */
struct SendDatagram
{
    Endpoint to;
    Datagram datagram;
};

} // namespace ibiswell
