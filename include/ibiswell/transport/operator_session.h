#pragma once

#include "ibiswell/core/member.h"
#include "ibiswell/core/time.h"
#include "ibiswell/policy/policy_change.h"
#include "ibiswell/policy/stored_policy.h"

#include <boost/json/value.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ibiswell {

/** Changes the policy at the platform and queries nodes for an operator. All calls block. */
class OperatorSession
{
public:
    /**
     * @param node HTTP endpoint of any node.
     * @param token operator token for pages of nodes; may be empty.
     */
    OperatorSession(Endpoint platform, Endpoint node, std::string token);
    ~OperatorSession();

    /** Reads the stored policy; its version is 0 when none is stored yet. */
    std::optional<StoredPolicy> readPolicy();

    /**
     * Applies a change to the stored policy and returns the version that contains it. When the
     * response to a write is lost, the change's id in the stored policy shows whether the write
     * took effect. When another operator wrote first, the change is applied again if it touches
     * other entries; otherwise the error is VersionConflict and nothing is written.
     */
    std::optional<std::uint64_t> submitChange(const PolicyChange &change);

    /** Fetches a page of a node, for example "/-/status". */
    std::optional<std::string> fetchPage(const Endpoint &node, const std::string &path);
    using PageReader = std::function<void(const boost::json::value &page)>;
    /**
     * Fetches a JSON page of a node and passes it to @p read, which may throw when the page lacks
     * what it needs; false on any failure.
     */
    bool readPage(const Endpoint &node, const std::string &path, const PageReader &read);
    const Endpoint &node() const;

    struct RolloutStatus
    {
        std::size_t nodes = 0; ///< Members that are not dead.
        std::size_t pending = 0; ///< Nodes without the version, or that did not respond.
        Duration elapsed {};
    };
    /**
     * Waits until all members that are not dead have @p version or a later one in force, at most
     * @p limit.
     */
    std::optional<RolloutStatus> waitForRollout(std::uint64_t version, Duration limit);

    /** Fetches the HTTP endpoints of the members that are not dead in the node's view. */
    std::optional<std::vector<Endpoint>> fetchMembers();

    const std::optional<Error> &lastError() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace ibiswell
