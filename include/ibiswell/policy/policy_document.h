#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/policy/policy.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibiswell {

/** The change of one entry between two versions. */
struct PolicyEdit
{
    std::string entry; ///< "section/name".
    std::optional<std::string> json; ///< The new value; nothing when the entry is removed.

    bool operator==(const PolicyEdit &) const = default;
};

/** The edits that lead from one version to a later one. */
struct PolicyDelta
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::vector<PolicyEdit> edits;
};

/**
 * The fleet's policy as operators write it, divided into named entries. Nodes exchange the edits
 * between versions, so that a message has the size of the change and not of the whole policy.
 */
struct PolicyDocument
{
    std::uint64_t version = 0; ///< Assigned by the platform; 0 for a document not yet stored.
    std::map<std::string, std::string, std::less<>> entries; ///< "section/name" to JSON text.

    bool operator==(const PolicyDocument &) const = default;
};

/** Parses JSON with comments into entries. Syntax errors name the line and column. */
std::optional<PolicyDocument> parsePolicyDocument(std::string_view text, Error &error);

/** Serializes the document to one JSON object, which parsePolicyDocument() can read. */
std::string serializePolicyDocument(const PolicyDocument &document);

/**
 * Validates a document as a whole and builds its policy.
 *
 * @param error set when nothing is returned; lists every error with its path and allowed range.
 */
std::optional<Policy> compilePolicy(const PolicyDocument &document, Error &error);

/** Computes the edits that turn @p older into @p newer. */
PolicyDelta computeDelta(const PolicyDocument &older, const PolicyDocument &newer);

/** Applies @p delta; returns false without a change if it does not start at this version. */
bool applyDelta(PolicyDocument &document, const PolicyDelta &delta);

} // namespace ibiswell
