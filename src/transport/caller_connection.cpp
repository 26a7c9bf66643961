#include "caller_connection.h"

#include <poll.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** The socket reports no further close event while it holds unread bytes. */
constexpr Duration checkIntervalWithUnreadBytes = 100ms;

} // namespace

bool CallerConnection::hasLeft() const
{
    pollfd descriptor {m_socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&descriptor, 1, 0) != 0;
}

Task<void> CallerConnection::waitUntilLeft()
{
    auto [ec] = co_await m_socket.async_wait(tcp::socket::wait_read, asResult);
    bool isCancelled = false;
    while (!ec && !isCancelled && !hasLeft())
        isCancelled = !co_await sleepUnlessCancelled(checkIntervalWithUnreadBytes);
}

Refusal callerHasLeft()
{
    return {ErrorKind::Cancelled, "the caller has left", Execution::NotRun};
}

} // namespace ibiswell
