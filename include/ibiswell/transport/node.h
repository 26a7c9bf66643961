#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/transport/settings.h"

#include <memory>
#include <optional>

namespace ibiswell {

/** One node process: puts the services together in a kernel and runs them. */
class Node
{
public:
    explicit Node(NodeSettings settings);
    ~Node();

    /** Listens on all ports; false, with lastError(), when one cannot be had. */
    bool listen();

    /**
     * Runs until a planned stop (SIGTERM, SIGINT) has ended, writes the log out and ends the
     * process. It does not return, because tasks of connections to other nodes are still
     * suspended then, and the services that they refer to must not be destroyed under them.
     */
    [[noreturn]] void run();

    const std::optional<Error> &lastError() const;

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace ibiswell
