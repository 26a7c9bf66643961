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

/** The native front: its own header fields, operator pages and platform client. */
struct NativeFront
{
};

/**
 * A front for the protocol of a particular platform. It uses the same decisions and call path as
 * the native front.
 */
struct ExternalFront
{
    Dialect dialect;
    StoreFormat store;
    FleetRetryBudget retries;
    /** Registers the front's services; called when those that they look up are registered. */
    std::function<void(Kernel &kernel)> addServices;
    /** Opens the front's listening addresses; returns an error when one cannot be bound. */
    std::function<std::optional<Error>(Kernel &kernel)> listen;
};

using FrontChoice = std::variant<NativeFront, ExternalFront>;

/** One node process: registers its services in a kernel and runs them. */
class Node
{
public:
    explicit Node(NodeSettings settings, FrontChoice front = NativeFront {});
    ~Node();

    /** Listens on all ports; false, with lastError(), when one cannot be bound. */
    bool listen();

    /**
     * Runs until a planned stop (SIGTERM, SIGINT) has finished, flushes the log and exits the
     * process. It does not return: tasks of connections to other nodes are still suspended at that
     * point, and the services that they refer to must outlive them.
     */
    [[noreturn]] void run();

    const std::optional<Error> &lastError() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace ibiswell
