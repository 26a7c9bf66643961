#pragma once

#include "asio.h"

#include "ibiswell/transport/log.h"

#include <functional>
#include <string>

namespace ibiswell {

/**
 * Runs a loop of a service in the background, such as following the store. A loop that fails by an
 * exception is logged and started again after a second: what one message or one answer holds never
 * ends it.
 * @param name names the loop in the log.
 */
void startServiceLoop(asio::io_context &context, Log &log, std::string name,
                      std::function<Task<void>()> loop);

} // namespace ibiswell
