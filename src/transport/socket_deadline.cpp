#include "socket_deadline.h"

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration sweepInterval = 20ms;

} // namespace

DeadlineService::Entries::iterator DeadlineService::add(TimePoint when, SocketDeadline *deadline,
                                                        const tcp::socket::executor_type &executor)
{
    auto entry = m_entries.emplace(when, deadline);
    // The sweep may run at once, and ends when there is no entry.
    if (!m_sweeping) {
        m_sweeping = true;
        asio::co_spawn(executor, sweep(), asio::detached);
    }
    return entry;
}

/**
 * Runs while there are deadlines. A deadline that has passed remains, so that operations that start
 * later are cancelled too.
 */
Task<void> DeadlineService::sweep()
{
    while (!m_entries.empty()) {
        TimePoint now = steadyNow();
        for (auto it = m_entries.begin(); it != m_entries.end() && it->first <= now; ++it) {
            boost::system::error_code ignored; // a closed socket has nothing to cancel
            it->second->m_passed = true;
            it->second->m_socket.cancel(ignored);
        }
        co_await sleepFor(sweepInterval);
    }
    m_sweeping = false;
}

SocketDeadline::SocketDeadline(tcp::socket &socket, Duration limit)
    : m_socket(socket)
    , m_service(asio::use_service<DeadlineService>(
          asio::query(socket.get_executor(), asio::execution::context)))
    , m_entry(m_service.add(steadyNow() + limit, this, socket.get_executor()))
{
}

Task<std::optional<tcp::socket>> connectTo(Endpoint endpoint, Duration limit)
{
    std::optional<tcp::endpoint> target = toTcpEndpoint(endpoint);
    if (!target)
        co_return std::nullopt;
    tcp::socket socket(co_await asio::this_coro::executor);
    {
        SocketDeadline deadline(socket, limit);
        auto [ec] = co_await socket.async_connect(*target, asResult);
        if (ec) {
            co_await throwIfCancelled();
            co_return std::nullopt;
        }
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    co_return std::optional<tcp::socket>(std::move(socket));
}

} // namespace ibiswell
