#pragma once

#include "ibiswell/core/random.h"
#include "ibiswell/transport/settings.h"

#include <cstdint>
#include <string>

namespace ibiswell {

/** What the services of one node process share; registered as "node". */
struct NodeState
{
    NodeSettings settings;
    std::string runId; ///< Differs between starts of one node.
    Random random;
    bool joined = false; ///< The nodes that the store lists were looked up once.
    bool stopping = false; ///< A planned stop is under way.
    bool backendUnavailable = false; ///< The backend server drains or cannot be reached.
    std::uint64_t nextId = 1;

    /** An id that no other node and no other start of this node gives out. */
    std::string makeId();
};

} // namespace ibiswell
