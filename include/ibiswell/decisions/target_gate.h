#pragma once

#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"
#include "ibiswell/decisions/target_answer.h"

#include <algorithm>
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
enum class ReportOutcome : std::uint8_t {
    Stale,
    OtherService,
    Refreshed,
    Unconfirmed, ///< The gate is closed until the backend server answers a question.
    Opened,
    Closed,
};

/**
 * Tracks whether the backend server beside this node takes new work, from its reports and from
 * failed connections.
 *
 * The gate starts closed: a restarted node has no state, and its backend server may be leaving. A
 * report of a start that it does not know raises a question to the backend server, and the gate
 * opens when that start answers that it takes work. Reports of a start that has answered open it
 * directly. A report alone proves nothing to a new process: it may have been sent before a
 * departure that a former process acknowledged. Once a start has announced that it is leaving, no
 * later report of it opens the gate again; only another start does.
 *
 * Reports may arrive seconds late, so the gate has to know which start a report is of. Starts are
 * told apart by their id and the time of their start. The time of day orders them, but it may be
 * set back:
 * - A departure names only the id. If no report has told the start, a report of that id soon after
 *   it is taken for one that was sent before it.
 * - A start with an earlier time than the known one is followed once it reports repeatedly while
 *   the known one is silent.
 */
class TargetGate
{
public:
    explicit TargetGate(std::string service)
        : m_service(std::move(service))
    {
    }

    ReportOutcome onReport(TimePoint now, const TargetReport &report);
    /** What to ask the backend server now; the gate is closed until it has answered. */
    std::optional<TargetQuestion> question() const;
    /** Handles the answer to @p question; without effect when it is not asked any more. */
    void onAnswer(TimePoint now, const TargetQuestion &question, const TargetAnswer &answer);
    /**
     * Closes the gate because @p instance leaves; false when the gate is for another instance,
     * whose place the leaving one may still take by a report that is on its way.
     */
    bool onDeparture(TimePoint now, const std::string &instance);
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
     * Sets whether the zone is out of service. When it returns, the backend server may have turned
     * cold, so it counts as cold until a report that was certainly sent after the return.
     */
    void setZoneOut(TimePoint now, bool isOut);
    bool isZoneOut() const { return m_isZoneOut; }

    /** Why new work is refused now; empty when the gate is open. */
    std::optional<Refusal> refusal() const;
    bool isOpen() const { return m_state == State::Open; }
    bool isCold(TimePoint now) const
    {
        return m_zoneReturnedAt || now < std::max(m_coldUntil, m_answeredColdUntil);
    }
    const std::string &instance() const { return m_instance; }
    int slots() const { return m_slots; }
    /** Time of the backend server's start, as it reported; identifies the start. */
    std::int64_t startedAtMs() const { return m_startedAtMs; }
    std::optional<double> statedRate() const { return m_statedRate; }

private:
    enum class State : std::uint8_t { Unknown, Unconfirmed, Open, Leaving, Unreachable };

    /** A departure of which no report has told the start. */
    struct Departure
    {
        std::string instance;
        TimePoint at;
        /** The start that is taken for the one that left: that of the first report since. */
        std::optional<std::int64_t> assumedStartMs {};
    };
    /** A start with an earlier time than the known one: former, or the time of day was set back. */
    struct Contender
    {
        std::string instance;
        std::int64_t startedAtMs = 0;
        std::uint64_t sequence = 0;
        TimePoint reportedAt; ///< Its first report since the last one of the known start.
    };

    bool isKnownStart(const TargetReport &report) const;
    /** Whether a report of an unknown start was sent before the departure of its instance. */
    bool isFromBeforeDeparture(TimePoint now, const TargetReport &report) const;
    /** Whether the known start, which @p report is of, has announced that it leaves. */
    bool hasLeft(TimePoint now, const TargetReport &report) const;
    /** Whether to follow a start with an earlier time than the known one. */
    bool replacesKnownStart(TimePoint now, const TargetReport &report);
    ReportOutcome follow(TimePoint now, const TargetReport &report, bool departed);
    void apply(TimePoint now, const TargetReady &answer);
    void apply(TimePoint now, TargetLeaving answer);
    void apply(TimePoint now, TargetAbsent answer);
    void apply(TimePoint, TargetUndecided) { } // the question stays

    std::string m_service;
    State m_state = State::Unknown;
    std::string m_instance;
    std::int64_t m_startedAtMs = 0; ///< 0: no report has told it.
    std::uint64_t m_sequence = 0;
    std::optional<Departure> m_departure;
    std::optional<Contender> m_contender;
    bool m_isConfirmed = false; ///< Whether the known start has answered that it takes work.
    TimePoint m_coldUntil;
    /** As the known start answered; a report that is late does not shorten it. */
    TimePoint m_answeredColdUntil;
    bool m_isZoneOut = false;
    std::optional<TimePoint> m_zoneReturnedAt; ///< Until a report from after the return arrives.
    int m_slots = 0;
    std::optional<double> m_statedRate;
};

} // namespace ibiswell
