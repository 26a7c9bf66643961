#pragma once

#include "ibiswell/transport/node.h"

#include <functional>
#include <optional>
#include <string>

namespace ibiswell {

/** Makes the front that a node's settings ask for; sets the error when they are wrong. */
using FrontFactory =
    std::function<std::optional<FrontChoice>(NodeSettings &settings, Error &error)>;

/**
 * A node's main function: reads the command line and the settings, and runs the node.
 *
 * @return the exit code: 0 ok, 2 usage, 3 settings, 4 an address cannot be had.
 */
int runDaemon(const std::string &program, int argc, char **argv, const FrontFactory &makeFront);

} // namespace ibiswell
