#pragma once

#include "asio.h"

#include <vector>

namespace ibiswell {

/** Opens @p acceptor on @p endpoint; returns the error when the address is not available. */
std::optional<Error> openAcceptor(tcp::acceptor &acceptor, const Endpoint &endpoint);

/**
 * Waits for connections and returns all that have arrived, up to a bound; none when accepting
 * failed or was cancelled.
 *
 * An accept for each pass of the event loop would not do: the passes of a busy node are long, and
 * new connections would wait behind each other for many of them.
 */
Task<std::vector<tcp::socket>> acceptPending(tcp::acceptor &acceptor);

} // namespace ibiswell
