#pragma once

#include "soak_record.h"

#include "asio.h"
#include "http_messages.h"

#include "ibiswell/core/random.h"

#include <cstdint>
#include <list>
#include <string>

namespace ibiswell::soak {

/** How often a target deviates from a plain answer; fractions of its requests. */
struct TargetFaults
{
    double closesAfterRun = 0; ///< Runs the request and closes in place of an answer.
    double silentAfterRun = 0; ///< Runs the request and never answers on the connection.
    double rejects = 0; ///< States that it does not run the request.
    double repeatsLate = 0; ///< Sends the same answer once more, a little later.
    double slow = 0; ///< Takes up to a second longer.
    double lateHeartbeats = 0; ///< Of its heartbeats: they arrive up to two seconds late.
};

/**
 * A target in the soak's own process: it runs requests byte by byte as the users' page tells,
 * reports to the node beside it, and crashes, pauses, turns cold and leaves when it is told to.
 */
class SoakTarget
{
public:
    struct Place
    {
        int node = 0;
        std::string service;
        std::uint16_t port = 0; ///< Where it takes requests.
        std::uint16_t reportPort = 0; ///< Where its node takes heartbeats.
    };

    SoakTarget(asio::io_context &context, SoakRecord &record, Random &random, Place place);

    TargetFaults faults;

    /** Starts, cold, as a new instance or under the id that it had. */
    void start(bool keepsId);
    /** Ends as a process that crashes: all connections and the port close. */
    void crash();
    /** Answers nothing and reports nothing for a time. */
    void pauseFor(Duration duration) { m_pausedUntil = steadyNow() + duration; }
    void turnCold(ColdCause cause);
    /** Resets all open connections. */
    void resetConnections();
    /** Reports that it drains (or deregisters), serves on, exits, and starts as a new instance. */
    Task<void> leaveAndReturn(bool reportsDraining);
    bool isRunning() const { return m_acceptor.is_open(); }

private:
    struct Connection
    {
        explicit Connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        beast::flat_buffer buffer;
    };
    using ConnectionIt = std::list<Connection>::iterator;

    Task<void> acceptLoop(int start);
    Task<void> serve(ConnectionIt connection, int start);
    /** Serves one request; false when the connection is to be closed. */
    Task<bool> serveOne(Connection &connection, int start);
    Task<bool> send(Connection &connection, std::string bytes);
    Task<void> awaitResume();
    Task<void> sendHeartbeats(int start);
    /** Sends one heartbeat, as it is now, after @p delay. */
    Task<void> sendHeartbeat(Duration delay);
    /** Whether the node acknowledged it within a second. */
    std::string healthAnswer() const;
    Task<bool> report(std::string call, std::string body);
    std::string heartbeat();
    std::string answerFor(const std::string &id, int status, std::string_view fields) const;
    void onArrival(const std::string &id);
    void becomeCold(ColdCause cause);
    bool happens(double fraction);

    asio::io_context &m_context;
    SoakRecord &m_record;
    Random &m_random;
    Place m_place;
    tcp::acceptor m_acceptor;
    std::list<Connection> m_connections;
    int m_start = 0; ///< Number of the current start.
    std::string m_instance;
    std::int64_t m_bornMs = 0;
    std::uint64_t m_sequence = 0;
    bool m_draining = false;
    bool m_isGoing = false; ///< Has begun to leave: its health is not good any more.
    bool m_reports = true;
    int m_running = 0;
    TimePoint m_coldUntil;
    TimePoint m_pausedUntil;
    ColdStart *m_coldStart = nullptr;
    Leaving *m_leaving = nullptr;
};

} // namespace ibiswell::soak
