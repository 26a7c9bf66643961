#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"
#include "ibiswell/policy/policy_document.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * How an object store is spoken to: the requests and what its answers mean, in typed form. The
 * client and all decisions on retries stand on this side; a front fills in the functions.
 */
namespace ibiswell {

/** An object of the store, as read. */
struct StoredObject
{
    std::string name;
    std::uint64_t revision = 0; ///< Of its last change.
    bool removed = false; ///< Only in a change: the object is gone.
    boost::json::value value;
};

/** Objects of one kind, or a part of them. */
struct StoreListing
{
    std::vector<StoredObject> objects;
    bool more = false; ///< The listing goes on behind the last object.
    std::uint64_t revision = 0; ///< Of the store.
};

/** What changed since a revision; empty when the wait ended without a change. */
struct StoreChanges
{
    std::vector<StoredObject> objects;
    std::uint64_t revision = 0; ///< To go on from.
};

/** A write took effect. */
struct StoreWritten
{
};

/** The object exists already, or has another revision; nothing was done. */
struct StoreConflict
{
};

/** The object does not exist. */
struct StoreNotFound
{
};

/** The changes since that revision are no longer known; list again. */
struct StoreHistoryGone
{
};

using StoreReply = std::variant<Error, StoreListing, StoreChanges, StoreWritten, StoreConflict,
                                StoreNotFound, StoreHistoryGone>;

/** Reads that may be seconds old are cheaper and count less. */
enum class Freshness : std::uint8_t { Current, MayBeStale };

/** Requests and answers of one store. All functions must be set. */
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
    StoreReply (*parseListing)(const HttpAnswer &answer);
    StoreReply (*parseChanges)(const HttpAnswer &answer);
    StoreReply (*parseWritten)(const HttpAnswer &answer);

    std::string policyKind; ///< Kind of the object that holds the policy.
    std::string policyName;
    std::string zonesOutKind; ///< Each object names a zone that is out of service.
    /** The stored policy in the product's own form. */
    std::optional<PolicyDocument> (*parsePolicy)(const boost::json::value &value, Error &error);
};

} // namespace ibiswell
