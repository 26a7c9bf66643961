#include "node_state.h"

#include <fmt/format.h>

namespace ibiswell {

std::string NodeState::makeId()
{
    return fmt::format("{}-{}-{}", settings.node, start, nextId++);
}

} // namespace ibiswell
