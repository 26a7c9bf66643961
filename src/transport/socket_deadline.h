#pragma once

#include "asio.h"

#include <map>

namespace ibiswell {

class SocketDeadline;

/** Cancels the operations of sockets whose deadline has passed; one for each io_context. */
class DeadlineService : public asio::execution_context::service
{
public:
    using key_type = DeadlineService; // NOLINT(readability-identifier-naming): required by Asio
    static inline asio::execution_context::id id;

    explicit DeadlineService(asio::execution_context &context)
        : asio::execution_context::service(context)
    {
    }

private:
    friend class SocketDeadline;
    using Entries = std::multimap<TimePoint, SocketDeadline *>;

    void shutdown() override { }
    Entries::iterator add(TimePoint when, SocketDeadline *deadline,
                          const tcp::socket::executor_type &executor);
    void remove(Entries::iterator entry) { m_entries.erase(entry); }
    Task<void> sweep();

    Entries m_entries;
    bool m_sweeping = false;
};

/**
 * Limits the time of a socket's operations while this object exists: operations that are pending
 * at the deadline, or start after it, end with operation_aborted. This is far cheaper than a task
 * with a timer for each operation, but up to one sweep interval (20 ms) late. The socket must not
 * be moved or destroyed meanwhile.
 */
class SocketDeadline
{
public:
    SocketDeadline(tcp::socket &socket, Duration limit);
    SocketDeadline(const SocketDeadline &) = delete;
    SocketDeadline &operator=(const SocketDeadline &) = delete;
    ~SocketDeadline() { m_service.remove(m_entry); }

    bool hasPassed() const { return m_passed; }

private:
    friend class DeadlineService;

    tcp::socket &m_socket;
    DeadlineService &m_service;
    DeadlineService::Entries::iterator m_entry;
    bool m_passed = false;
};

/** Connects within @p limit; nullopt on failure. */
Task<std::optional<tcp::socket>> connectTo(Endpoint endpoint, Duration limit);

} // namespace ibiswell
