#pragma once

#include "asio.h"

#include <functional>

namespace ibiswell {

/**
 * Runs passes of an event loop that always has other work, until @p condition holds; returns their
 * number, or -1 after @p limit passes.
 */
inline int passesUntil(asio::io_context &context, const std::function<bool()> &condition, int limit)
{
    int passes = 0;
    bool running = true;
    std::function<void()> otherWork = [&] {
        ++passes;
        running = !condition() && passes < limit;
        if (running)
            asio::post(context, otherWork);
    };
    asio::post(context, otherWork);
    while (running)
        context.run_one();
    return condition() ? passes : -1;
}

} // namespace ibiswell
