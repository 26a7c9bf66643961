#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "ibiswell/core/time.h"

namespace ibiswell {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/** One "name=value" pair of a structured log line. */
struct LogField
{
    std::string_view name;
    std::string value;
};

/**
 * Writes structured log lines to standard output through a bounded buffer and a writer thread, so
 * that a slow or blocked reader of standard output never stalls a request.
 *
 * When the buffer is full, lines are dropped, and their number is logged as soon as the buffer has
 * space again. Lines other than decisions are also rate-limited for each event name, and the number
 * of lines dropped by that limit is logged too. Decision lines are dropped only by a full buffer.
 */
class Log
{
public:
    static constexpr std::size_t bufferBytes = 16u << 20;

    explicit Log(LogLevel level);
    Log(const Log &) = delete;
    Log &operator=(const Log &) = delete;
    ~Log();

    /** Logs one routing or placement decision. */
    void writeDecision(std::string_view event, const std::vector<LogField> &fields);
    /** Logs a line other than a decision, unless its level or the rate limit excludes it. */
    void write(TimePoint now, LogLevel level, std::string_view event,
               const std::vector<LogField> &fields);

    /**
     * Writes the buffered lines and stops the writer thread. Gives up after a short time when the
     * reader of standard output does not accept them.
     */
    void close();

    /** Lines dropped because the buffer was full. */
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    /** Counts the lines with one event name in the current window of the rate limit. */
    struct RateWindow
    {
        TimePoint start;
        int lines = 0;
        std::uint64_t dropped = 0;
    };

    void append(const std::string &line);
    void writeLoop();

    LogLevel m_level;
    std::map<std::string, RateWindow, std::less<>> m_rateWindows;
    std::mutex m_mutex;
    std::condition_variable m_wakeWriter;
    std::string m_buffer;
    std::atomic<std::uint64_t> m_droppedLines = 0;
    std::uint64_t m_unreportedDrops = 0; ///< Dropped since the last line that reports drops.
    bool m_stopping = false;
    std::thread m_writer;
};

} // namespace ibiswell
