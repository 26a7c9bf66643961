#pragma once

#include "asio.h"

#include <map>

namespace ibiswell {

class SocketDeadline;

/** Ends the operations of sockets whose deadline has passed; one for each io_context. */
class DeadlineService : public asio::execution_context::service
{
public:
    using key_type = DeadlineService; // NOLINT(readability-identifier-naming): Asio asks for it
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
 * Bounds the time of a socket's operations while it exists: those that are under way when the time
 * has passed, or begin later, end with operation_aborted. Far cheaper than a task with a timer for
 * each operation; late by up to a sweep, which is some 20 ms. The socket must stay where it is.
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

/** Connects within @p limit; nothing on failure. */
Task<std::optional<tcp::socket>> connectTo(Endpoint endpoint, Duration limit);

} // namespace ibiswell
