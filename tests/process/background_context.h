#pragma once

#include "asio.h"

#include <thread>

namespace ibiswell::test {

/**
 * An event loop for servers of a test, run by a thread of its own. Its owner calls stop() before it
 * destroys a server.
 */
class BackgroundContext
{
public:
    BackgroundContext()
        : m_guard(asio::make_work_guard(m_context))
        , m_thread([this] { m_context.run(); })
    {
    }
    BackgroundContext(const BackgroundContext &) = delete;
    BackgroundContext &operator=(const BackgroundContext &) = delete;
    ~BackgroundContext() { stop(); }

    void stop()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }
    asio::io_context &get() { return m_context; }

private:
    asio::io_context m_context {1};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

} // namespace ibiswell::test
