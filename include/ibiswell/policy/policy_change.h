#pragma once

#include "ibiswell/policy/policy_document.h"

#include <optional>
#include <string>
#include <variant>

namespace ibiswell {

/** Replaces each section that @p document has entries in; other sections stay as they are. */
struct ReplaceSections
{
    PolicyDocument document;
};

/** Sets one entry, "section/name". */
struct SetEntry
{
    std::string entry;
    std::string json;
};

/** Removes one entry, which must exist. */
struct RemoveEntry
{
    std::string entry;
};

/** One operator's change of the policy. */
using PolicyChange = std::variant<ReplaceSections, SetEntry, RemoveEntry>;

/**
 * Makes @p change to @p document and checks the outcome as a whole.
 *
 * @return false, with @p error and the document unchanged, when the outcome would be invalid.
 */
bool applyChange(PolicyDocument &document, const PolicyChange &change, Error &error);

/**
 * Whether @p change can be made again after another operator's change led from @p before to
 * @p now without undoing that change.
 */
bool isIndependent(const PolicyChange &change, const PolicyDocument &before,
                   const PolicyDocument &now);

} // namespace ibiswell
