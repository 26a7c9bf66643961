#pragma once

#include "ibiswell/core/dialect.h"
#include "ibiswell/core/error.h"
#include "ibiswell/decisions/retry_policy.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/settings.h"
#include "ibiswell/transport/store_format.h"

#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace ibiswell {

/** The product's own front: its headers, its operators' pages, its platform client. */
struct NativeFront
{
};

/** A front that speaks a platform's words. It drives the same decisions and call path. */
struct ExternalFront
{
    Dialect dialect;
    StoreFormat store;
    RetryAllowance retries;
    /** Registers the front's services; called when all others stand. */
    std::function<void(Kernel &kernel)> addServices;
    /** Opens the front's addresses; an error when one cannot be had. */
    std::function<std::optional<Error>(Kernel &kernel)> listen;
};

using FrontChoice = std::variant<NativeFront, ExternalFront>;

/** One node process: puts the services together in a kernel and runs them. */
class Node
{
public:
    explicit Node(NodeSettings settings, FrontChoice front = NativeFront {});
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
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace ibiswell
