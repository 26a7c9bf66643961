#include "service_loop.h"

#include <exception>

namespace ibiswell {

namespace {

constexpr Duration restartDelay = std::chrono::seconds(1);

Task<void> runServiceLoop(Log &log, std::string name, std::function<Task<void>()> loop)
{
    for (;;) {
        std::string failure;
        try {
            auto running = loop();
            co_await std::move(running);
            co_return;
        } catch (const std::exception &exception) {
            failure = exception.what();
        }
        co_await throwIfCancelled();
        log.write(steadyNow(), LogLevel::Error, "task-failed",
                  {{"task", name}, {"detail", failure}});
        co_await sleepFor(restartDelay);
    }
}

} // namespace

void startServiceLoop(asio::io_context &context, Log &log, std::string name,
                      std::function<Task<void>()> loop)
{
    asio::co_spawn(context, runServiceLoop(log, std::move(name), std::move(loop)), asio::detached);
}

} // namespace ibiswell
