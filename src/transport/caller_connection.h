#pragma once

#include "asio.h"

#include "ibiswell/core/messages.h"

namespace ibiswell {

/**
 * The connection on which a request or a call arrived, observed while it is served. The socket must
 * outlive this object.
 *
 * The event of a close waits in the same queue as all other events, so a node that is behind may
 * handle it late. Whoever starts work for the caller therefore asks hasLeft() right before.
 */
class CallerConnection
{
public:
    explicit CallerConnection(tcp::socket &socket)
        : m_socket(socket)
    {
    }

    /** Whether the caller has closed the connection; true also while its bytes are unread. */
    bool hasLeft() const;
    /** Completes when the caller closes the connection. Bytes that arrive stay unread. */
    Task<void> waitUntilLeft();

private:
    tcp::socket &m_socket;
};

/** The refusal of a request whose caller has left before anything was sent. */
Refusal callerHasLeft();

} // namespace ibiswell
