#pragma once

#include "ibiswell/policy/policy_document.h"

#include <optional>
#include <string>
#include <variant>

namespace ibiswell {

/** Replaces every section in which @p document has entries; other sections are unchanged. */
struct ReplaceSections
{
    PolicyDocument document;
};

/** Adds or replaces one entry. */
struct SetEntry
{
    std::string entry; ///< "section/name".
    std::string json; ///< The value as JSON text.
};

/** Removes one entry, which must exist. */
struct RemoveEntry
{
    std::string entry; ///< "section/name".
};

/** A change of the policy by an operator. */
using PolicyChange = std::variant<ReplaceSections, SetEntry, RemoveEntry>;

/**
 * Applies @p change to @p document and validates the resulting policy as a whole.
 *
 * @return false when the result would be invalid; sets @p error and leaves the document unchanged.
 */
bool applyChange(PolicyDocument &document, const PolicyChange &change, Error &error);

/**
 * Whether @p change can be applied to @p now without undoing what another operator changed between
 * @p before and @p now.
 */
bool isIndependent(const PolicyChange &change, const PolicyDocument &before,
                   const PolicyDocument &now);

} // namespace ibiswell
