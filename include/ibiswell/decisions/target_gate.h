#pragma once

#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ibiswell {

/** What a backend server periodically reports about itself. */
struct TargetReport
{
    std::string instance; ///< Id of the backend server; a later start may reuse it.
    std::string service;
    std::uint64_t sequence = 0; ///< Increases with each report of the same start.
    std::int64_t startedAtMs = 0; ///< Time of the start in Unix milliseconds; identifies it.
    bool draining = false;
    Duration remainingWarmup {}; ///< How much longer the backend server stays cold.
    int slots = 0; ///< Number of requests that the backend server runs at once.
};

/** What a backend server states about itself in a response. */
struct TargetStatement
{
    /** Requests a second that it takes from the whole fleet; nothing: it states no limit. */
    std::optional<double> requestsPerSecond;
    bool leaving = false;
};

/** Effect of a report on the gate. */
enum class ReportOutcome : std::uint8_t { Stale, OtherService, Refreshed, Opened, Closed };

/**
 * Tracks whether the backend server beside this node takes new work, from its reports and from
 * failed connections.
 *
 * The gate starts closed: a restarted node has no state, and its backend server may be leaving. A
 * report opens it, unless that start of the backend server is leaving. Once a start has announced
 * that it is leaving, no later report of it opens the gate again; only a later start does.
 */
class TargetGate
{
public:
    explicit TargetGate(std::string service)
        : m_service(std::move(service))
    {
    }

    ReportOutcome onReport(TimePoint now, const TargetReport &report);
    /** Closes the gate because @p instance leaves; false when another instance has replaced it. */
    bool onDeparture(const std::string &instance);
    /**
     * Handles what the backend server states in a response. A statement that it leaves has the
     * effect of a report; the stated rate holds until the next statement or start.
     */
    void onStatement(const TargetStatement &statement);
    /**
     * Closes the gate until the next report, because no connection could be made or another
     * instance responded.
     */
    void onUnreachable();
    /**
     * Handles the return of the zone to service. The backend server may have turned cold since its
     * last report, so it counts as cold until the next one.
     */
    void onZoneReturned() { m_coldUntilReport = true; }

    /** Why new work is refused now; empty when the gate is open. */
    std::optional<Refusal> refusal() const;
    bool isOpen() const { return m_state == State::Open; }
    bool isCold(TimePoint now) const { return m_coldUntilReport || now < m_coldUntil; }
    const std::string &instance() const { return m_instance; }
    int slots() const { return m_slots; }
    /** Time of the backend server's start, as it reported; identifies the start. */
    std::int64_t startedAtMs() const { return m_startedAtMs; }
    std::optional<double> statedRate() const { return m_statedRate; }

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
    std::optional<double> m_statedRate;
};

} // namespace ibiswell
