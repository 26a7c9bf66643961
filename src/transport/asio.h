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

/** Completion token that gives the error code in place of an exception. */
inline constexpr auto asResult = asio::as_tuple(asio::use_awaitable);

/**
 * The time that decisions are given. It goes on while the VM is suspended, unlike
 * std::chrono::steady_clock, so that what is valid for a time lapses in a suspension.
 */
inline TimePoint steadyNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    auto since = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(since));
}

/**
 * Throws when the task that awaits it was cancelled. An operation that is cancelled ends like one
 * that failed; without this the task would go on until its next wait and take the failure for
 * the outcome.
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
 * The same for a task that is cancelled as a matter of course, as the slower side of operator||:
 * it ends without an exception, and false tells that it was cancelled.
 */
inline Task<bool> sleepUnlessCancelled(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    auto [ec] = co_await timer.async_wait(asResult);
    co_return !ec;
}

/** Wraps the outcome, because operator|| takes a std::variant apart into its alternatives. */
template<typename T> Task<std::optional<T>> wrapInOptional(Task<T> task)
{
    co_return std::optional<T>(co_await std::move(task));
}

/** Runs @p task for at most @p limit; nothing when the time ran out and the task was cancelled. */
template<typename T> Task<std::optional<T>> withTimeout(Task<T> task, Duration limit)
{
    using namespace asio::experimental::awaitable_operators;
    auto ended = co_await (wrapInOptional(std::move(task)) || sleepUnlessCancelled(limit));
    co_await throwIfCancelled();
    if (ended.index() == 0)
        co_return std::move(std::get<0>(ended));
    co_return std::nullopt;
}

/** Ends when the peer closes the connection; bytes that arrive are left alone. */
inline Task<void> waitUntilClosed(tcp::socket &socket)
{
    auto [ec] = co_await socket.async_wait(tcp::socket::wait_read, asResult);
    boost::system::error_code ignored;
    bool closed = ec || socket.available(ignored) == 0;
    if (closed)
        co_return;
    asio::steady_timer forever(co_await asio::this_coro::executor,
                               std::chrono::steady_clock::time_point::max());
    co_await forever.async_wait(asResult);
}

/** Whether an idle connection was closed by its peer or holds bytes that nobody asked for. */
inline bool isStale(tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec != asio::error::would_block;
}

/**
 * Has the system probe an idle connection, so that one whose path went silent ends within a few
 * seconds.
 */
inline void enableKeepAliveProbes(tcp::socket &socket)
{
    constexpr int secondsUntilProbe = 1;
    constexpr int secondsBetweenProbes = 1;
    constexpr int unansweredProbes = 2;
    using Seconds = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using Between = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    boost::system::error_code ignored; // the connection works without probes
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(Seconds(secondsUntilProbe), ignored);
    socket.set_option(Between(secondsBetweenProbes), ignored);
    socket.set_option(Count(unansweredProbes), ignored);
}

/** The endpoint for an IP number; nothing when the text is not one. */
inline std::optional<tcp::endpoint> toTcpEndpoint(const Endpoint &endpoint)
{
    boost::system::error_code ec;
    auto address = asio::ip::make_address(endpoint.address, ec);
    if (ec)
        return std::nullopt;
    return tcp::endpoint(address, endpoint.port);
}

/** Opens @p acceptor on @p endpoint; the error when the address cannot be had. */
inline std::optional<Error> openAcceptor(tcp::acceptor &acceptor, const Endpoint &endpoint)
{
    std::optional<tcp::endpoint> local = toTcpEndpoint(endpoint);
    boost::system::error_code ec = asio::error::invalid_argument;
    if (local)
        acceptor.open(local->protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(*local, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (!ec)
        return std::nullopt;
    return Error {ErrorKind::InvalidSetting,
                  "cannot listen on " + toString(endpoint) + ": " + ec.message()};
}

} // namespace ibiswell
