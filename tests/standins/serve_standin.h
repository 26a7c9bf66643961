#pragma once

#include "http_server.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>

namespace ibiswell {

/**
 * Serves HTTP on loopback with @p handler until the process is terminated.
 *
 * @return the exit code: 1 if the port cannot be bound; the reason is written to standard error.
 */
inline int serveStandin(asio::io_context &context, std::uint16_t port,
                        std::function<Task<HttpResponse>(HttpRequest request)> handler)
{
    std::signal(SIGPIPE, SIG_IGN);
    HttpServer server(
        context, [] { return CallerLimits {}; },
        [handler = std::move(handler)](HttpRequest request, const CallerConnection &) {
            return handler(std::move(request));
        });
    if (!server.listen({"127.0.0.1", port})) {
        fmt::print(stderr, "{}\n", server.lastError()->detail);
        return 1;
    }
    context.run();
    return 0;
}

} // namespace ibiswell
