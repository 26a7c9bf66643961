#pragma once

#include "http_server.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <functional>
#include <list>

namespace ibiswell {

/** Handles a request that arrived at the port with the index @p door. */
using DoorHandler = std::function<Task<HttpResponse>(std::size_t door, HttpRequest request)>;

/**
 * Serves HTTP on @p doors consecutive ports on loopback, from @p firstPort, until the process is
 * terminated.
 *
 * @return the exit code: 1 if a port cannot be bound; the reason is written to standard error.
 */
inline int serveStandin(asio::io_context &context, std::uint16_t firstPort, std::size_t doors,
                        const DoorHandler &handler)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::list<HttpServer> servers;
    for (std::size_t door = 0; door < doors; ++door) {
        HttpServer &server = servers.emplace_back(
            context, [] { return CallerLimits {}; },
            [handler, door](HttpRequest request, const CallerConnection &) {
                return handler(door, std::move(request));
            });
        if (!server.listen({"127.0.0.1", static_cast<std::uint16_t>(firstPort + door)})) {
            fmt::print(stderr, "{}\n", server.lastError()->detail);
            return 1;
        }
    }
    context.run();
    return 0;
}

/** Serves HTTP on one port; see above. */
inline int serveStandin(asio::io_context &context, std::uint16_t port,
                        const std::function<Task<HttpResponse>(HttpRequest request)> &handler)
{
    return serveStandin(context, port, 1, [&handler](std::size_t, HttpRequest request) {
        return handler(std::move(request));
    });
}

} // namespace ibiswell
