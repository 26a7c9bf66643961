#pragma once

#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ibiswell {

/** What a backend server says of itself, at a steady pace. */
struct TargetReport
{
    std::string instance; ///< Id of the backend server; may be used again by a later start.
    std::string service;
    std::uint64_t sequence = 0; ///< Raised with each report of one start.
    std::int64_t startedAtMs = 0; ///< When it started, in Unix milliseconds; tells starts apart.
    bool draining = false;
    Duration remainingWarmup {}; ///< How much longer it stays cold.
    int slots = 0; ///< Requests that it runs at once.
};

/** What a report changed. */
enum class ReportOutcome : std::uint8_t { Stale, OtherService, Refreshed, Opened, Closed };

/**
 * Whether the backend server beside this node takes new work, from its reports and from what its
 * connections show.
 *
 * The gate starts closed: a node that was restarted remembers nothing, and its backend server may
 * be leaving. It opens by a report of a start that has not left. A start that announced its leave
 * stays closed for good, whatever late report of it arrives; only a later start opens the gate
 * again.
 */
class TargetGate
{
public:
    explicit TargetGate(std::string service)
        : m_service(std::move(service))
    {
    }

    ReportOutcome onReport(TimePoint now, const TargetReport &report);
    /** The backend server leaves for good; false when another start is in place already. */
    bool onDeparture(const std::string &instance);
    /** No connection could be made, or another instance answered: closed until the next report. */
    void onUnreachable();
    /** The zone is back in service: the server may have turned cold since its last report. */
    void onZoneReturned() { m_coldUntilReport = true; }

    /** Why new work is refused now, or nothing. */
    std::optional<Refusal> refusal() const;
    bool isOpen() const { return m_state == State::Open; }
    bool isCold(TimePoint now) const { return m_coldUntilReport || now < m_coldUntil; }
    const std::string &instance() const { return m_instance; }
    int slots() const { return m_slots; }

private:
    enum class State : std::uint8_t { Unknown, Open, Leaving, Unreachable };

    bool isStale(const TargetReport &report) const;

    std::string m_service;
    State m_state = State::Unknown;
    std::string m_instance;
    std::int64_t m_startedAtMs = 0;
    std::uint64_t m_sequence = 0;
    TimePoint m_coldUntil;
    bool m_coldUntilReport = false;
    int m_slots = 0;
};

} // namespace ibiswell
