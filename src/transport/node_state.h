#pragma once

#include "ibiswell/core/random.h"
#include "ibiswell/transport/settings.h"

#include <cstdint>
#include <string>

namespace ibiswell {

/** State that the services of one node process share; registered as "node". */
struct NodeState
{
    NodeSettings settings;
    std::string runId; ///< Identifies this start of the node.
    Random random;
    bool nodesListed = false; ///< The store's list of nodes was read at least once.
    bool stopping = false; ///< A planned stop is in progress.
    bool backendUnavailable = false; ///< The backend server is draining or unreachable.
    std::uint64_t nextId = 1;

    /** Returns an id that is unique across nodes and across starts of this node. */
    std::string makeId();
};

} // namespace ibiswell
