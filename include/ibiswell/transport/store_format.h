#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/messages.h"
#include "ibiswell/core/store_position.h"
#include "ibiswell/core/time.h"
#include "ibiswell/policy/policy_document.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * The protocol of an object store: functions that build its requests and parse its responses to
 * typed replies. A front supplies the functions; the client and all decisions on retries are the
 * same for every store.
 */
namespace ibiswell {

/** An object as read from the store. */
struct StoredObject
{
    std::string name;
    std::uint64_t revision = 0; ///< Revision of the object's last change.
    bool removed = false; ///< The object was deleted or is being deleted.
    boost::json::value value;
};

/** An object that another writer left in a form that cannot be read; it has no effect. */
struct UnreadableObject
{
    std::string name; ///< Empty when even the name cannot be read.
    std::string reason;
};

/** Objects of one kind, or one page of them. */
struct StoreListing
{
    std::vector<StoredObject> objects;
    std::vector<UnreadableObject> unreadable;
    std::string lastName; ///< Last name on the page, also of an unreadable object.
    bool hasMore = false; ///< More objects follow after the last one.
    std::size_t bytes = 0; ///< Of the response.
    StorePosition position {}; ///< Of the store when the objects were listed.
};

/** Objects that changed since a position; empty when the wait ended without a change. */
struct StoreChanges
{
    std::vector<StoredObject> objects;
    std::vector<UnreadableObject> unreadable;
    StorePosition position {}; ///< From which the next watch continues.
};

/** A write took effect. */
struct StoreWritten
{
};

/** The object exists already, or has another revision; nothing was written. */
struct StoreConflict
{
};

/** The object does not exist. */
struct StoreNotFound
{
};

/** The store no longer has the changes since that position; the objects must be listed again. */
struct StoreHistoryGone
{
};

using StoreReply = std::variant<Error, StoreListing, StoreChanges, StoreWritten, StoreConflict,
                                StoreNotFound, StoreHistoryGone>;

/** A listing that may be seconds old is cheaper and counts less than a current one. */
enum class Freshness : std::uint8_t { Current, MayBeStale };

/** Builds the requests to one store and parses its responses. All functions must be set. */
struct StoreFormat
{
    HttpRequest (*listRequest)(const std::string &kind, const std::string &after,
                               Freshness freshness);
    HttpRequest (*watchRequest)(const std::string &kind, std::uint64_t after, Duration wait);
    HttpRequest (*createRequest)(const std::string &kind, const std::string &name,
                                 const boost::json::value &value);
    HttpRequest (*replaceRequest)(const std::string &kind, const std::string &name,
                                  const boost::json::value &value);
    HttpRequest (*removeRequest)(const std::string &kind, const std::string &name);
    StoreReply (*parseListing)(const HttpResponse &response);
    StoreReply (*parseChanges)(const HttpResponse &response);
    StoreReply (*parseWriteResponse)(const HttpResponse &response);
    /** The era that a response states; nothing when it states none. */
    std::optional<std::uint64_t> (*readEra)(const HttpResponse &response);

    std::string policyKind; ///< Kind of the object that holds the policy.
    std::string policyName;
    std::string zonesOutKind; ///< Kind of the objects that each name a zone out of service.
    /** Converts the stored policy to a policy document. */
    std::optional<PolicyDocument> (*parsePolicy)(const boost::json::value &value, Error &error);
};

} // namespace ibiswell
