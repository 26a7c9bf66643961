#include "node_state.h"

#include <fmt/format.h>

namespace ibiswell {

std::string NodeState::makeId()
{
    return fmt::format("{}-{}-{}", settings.node, runId, nextId++);
}

} // namespace ibiswell
