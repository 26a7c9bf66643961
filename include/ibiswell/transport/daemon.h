#pragma once

#include "ibiswell/transport/node.h"

#include <functional>
#include <optional>
#include <string>

namespace ibiswell {

/**
 * Creates a node's front from its settings, and may change them for that front. Returns nothing,
 * with @p error set, when they are invalid.
 */
using FrontFactory =
    std::function<std::optional<FrontChoice>(NodeSettings &settings, Error &error)>;

/**
 * Main function of a node daemon: reads the command line and the settings file, and runs the node.
 *
 * @return the exit code: 0 ok, 2 usage error, 3 invalid settings, 4 an address cannot be bound.
 */
int runDaemon(const std::string &program, int argc, char **argv, const FrontFactory &makeFront);

} // namespace ibiswell
