#pragma once

#include "ibiswell/policy/policy_document.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibiswell {

/** Name of the platform object that holds the policy. */
inline constexpr std::string_view policyObjectName = "policy";

/** Name of the platform object that lists the seed nodes for joining nodes. */
inline constexpr std::string_view seedNodesObjectName = "contacts";

/**
 * The policy as the platform stores it, with the ids of the latest changes. A writer whose response
 * was lost finds its id there if the write succeeded, also when others wrote after it.
 */
struct StoredPolicy
{
    static constexpr std::size_t maximumChanges = 64;

    PolicyDocument document;
    std::vector<std::string> changes; ///< Ids of the latest changes, the newest last.

    bool hasChange(std::string_view id) const;
    /** Adds an id and drops the oldest when there are more than maximumChanges. */
    void addChange(std::string id);
};

std::string serializeStoredPolicy(const StoredPolicy &stored);
std::optional<StoredPolicy> parseStoredPolicy(std::string_view text, std::uint64_t version,
                                              Error &error);

} // namespace ibiswell
