#pragma once

#include "ibiswell/core/member.h"
#include "ibiswell/core/time.h"
#include "ibiswell/policy/policy_change.h"
#include "ibiswell/policy/stored_policy.h"

#include <memory>
#include <optional>
#include <string>

namespace ibiswell {

/** What an operator's command does: changes at the platform, questions to nodes. Blocking. */
class OperatorSession
{
public:
    /** @param node HTTP endpoint of any node; @p token for its control pages, may be empty. */
    OperatorSession(Endpoint platform, Endpoint node, std::string token);
    ~OperatorSession();

    /** The policy as stored; version 0 when there is none yet. */
    std::optional<StoredPolicy> readPolicy();

    /**
     * Makes a change and returns the version that holds it. A lost answer is recognised by the
     * change's id. When another operator wrote first, the change is made again if it touches
     * other entries; else the error is VersionConflict and nothing was written.
     */
    std::optional<std::uint64_t> submitChange(const PolicyChange &change);

    /** A page of a node, for example "/-/status". */
    std::optional<std::string> fetchPage(const Endpoint &node, const std::string &path);
    const Endpoint &node() const;

    struct RolloutStatus
    {
        std::size_t nodes = 0; ///< Nodes that take part.
        std::size_t pending = 0; ///< Nodes without the version, or that did not answer.
        Duration elapsed {};
    };
    /** Waits until all present members have @p version in force, at most @p limit. */
    std::optional<RolloutStatus> waitForRollout(std::uint64_t version, Duration limit);

    /** HTTP endpoints of the members that take part, as the node sees them. */
    std::optional<std::vector<Endpoint>> fetchMembers();

    const std::optional<Error> &lastError() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace ibiswell
