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

/** One change of an entry between two versions. */
struct PolicyEdit
{
    std::string entry; ///< "section/name".
    std::optional<std::string> json; ///< The new value, or nothing when the entry is removed.

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
 * The fleet's policy as operators write it, cut into named entries. Nodes pass on the edits
 * between versions, so that a change costs its own size and not that of the whole policy.
 */
struct PolicyDocument
{
    std::uint64_t version = 0; ///< Given by the platform; 0 for a document not yet stored.
    std::map<std::string, std::string, std::less<>> entries; ///< "section/name" to JSON text.

    bool operator==(const PolicyDocument &) const = default;
};

/** Cuts JSON with comments into entries. Faults of syntax name the line and column. */
std::optional<PolicyDocument> parsePolicyDocument(std::string_view text, Error &error);

/** The document as one JSON object, which parsePolicyDocument() reads back. */
std::string writePolicyDocument(const PolicyDocument &document);

/**
 * Checks a document as a whole and makes the policy of it.
 *
 * @param error set when nothing is returned; lists every fault with its path and allowed range.
 */
std::optional<Policy> compilePolicy(const PolicyDocument &document, Error &error);

/** The edits that make @p newer out of @p older. */
PolicyDelta computeDelta(const PolicyDocument &older, const PolicyDocument &newer);

/** Applies @p delta; false, and no change, when it does not start at the document's version. */
bool applyDelta(PolicyDocument &document, const PolicyDelta &delta);

} // namespace ibiswell
