#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/member.h"
#include "ibiswell/core/time.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include <chrono>
#include <ctime>
#include <optional>
#include <string>
#include <utility>

#include <netinet/tcp.h>

namespace ibiswell {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;

template<typename T> using Task = asio::awaitable<T>;

/** Completion token that returns the error code instead of throwing it. */
inline constexpr auto asResult = asio::as_tuple(asio::use_awaitable);

/**
 * The current time for all decisions. Unlike std::chrono::steady_clock, it also advances while the
 * VM is suspended, so that leases, grants and other things with a lifetime expire meanwhile.
 */
inline TimePoint steadyNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    auto sinceBoot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

/**
 * Throws when the awaiting task was cancelled. A cancelled operation returns an error code like one
 * that failed; without this check, the task would run on until its next wait and treat the
 * cancellation as the result of the operation. The body is empty, because Asio throws at the
 * co_await of an awaitable when the awaiting task was cancelled.
 */
inline Task<void> throwIfCancelled()
{
    co_return;
}

inline Task<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asResult);
    co_await throwIfCancelled();
}

/**
 * Like sleepFor(), for a task whose cancellation is expected, such as the slower side of
 * operator||: returns false when cancelled instead of throwing.
 */
inline Task<bool> sleepUnlessCancelled(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    auto [ec] = co_await timer.async_wait(asResult);
    co_return !ec;
}

/** Wraps the result, because operator|| splits a plain std::variant into its alternatives. */
template<typename T> Task<std::optional<T>> wrapInOptional(Task<T> task)
{
    co_return std::optional<T>(co_await std::move(task));
}

/** Runs @p task; when it takes longer than @p limit, cancels it and returns nullopt. */
template<typename T> Task<std::optional<T>> withTimeout(Task<T> task, Duration limit)
{
    using namespace asio::experimental::awaitable_operators;
    auto ended = co_await (wrapInOptional(std::move(task)) || sleepUnlessCancelled(limit));
    co_await throwIfCancelled();
    if (ended.index() == 0)
        co_return std::move(std::get<0>(ended));
    co_return std::nullopt;
}

/** Whether an idle connection was closed by its peer or holds unsolicited bytes. */
inline bool isStale(tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec != asio::error::would_block;
}

/**
 * Enables TCP keep-alive probes, so that an idle connection whose peer became unreachable is closed
 * within a few seconds.
 */
inline void enableKeepAliveProbes(tcp::socket &socket)
{
    constexpr int idleSeconds = 1;
    constexpr int intervalSeconds = 1;
    constexpr int maximumUnansweredProbes = 2;
    using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    boost::system::error_code ignored; // the connection works without probes
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdle(idleSeconds), ignored);
    socket.set_option(KeepInterval(intervalSeconds), ignored);
    socket.set_option(KeepCount(maximumUnansweredProbes), ignored);
}

/** Converts an endpoint with a numeric IP address; nullopt for any other address. */
inline std::optional<tcp::endpoint> toTcpEndpoint(const Endpoint &endpoint)
{
    boost::system::error_code ec;
    auto address = asio::ip::make_address(endpoint.address, ec);
    if (ec)
        return std::nullopt;
    return tcp::endpoint(address, endpoint.port);
}

} // namespace ibiswell
