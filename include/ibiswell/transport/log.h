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

/** One "name=value" of a structured line. */
struct LogField
{
    std::string_view name;
    std::string value;
};

/**
 * Writes structured lines to standard output through a bounded buffer and a writer thread, so that
 * a slow or blocked reader of it never stalls a request.
 *
 * When the buffer is full, lines are left out, and their number is written as soon as there is
 * room. Lines of a kind other than decisions are limited in their rate; the number left out is
 * stated likewise. Decision lines are only ever left out by a full buffer.
 */
class Log
{
public:
    static constexpr std::size_t bufferBytes = 16u << 20;

    explicit Log(LogLevel level);
    Log(const Log &) = delete;
    Log &operator=(const Log &) = delete;
    ~Log();

    /** A line for one routing or placement decision. */
    void decision(std::string_view event, const std::vector<LogField> &fields);
    void write(TimePoint now, LogLevel level, std::string_view event,
               const std::vector<LogField> &fields);

    /** Writes what is buffered, as far as its reader takes it in a short time, and ends. */
    void close();

    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    struct Repetition
    {
        TimePoint windowStart;
        int lines = 0;
        std::uint64_t leftOut = 0;
    };

    void append(const std::string &line);
    void writeLoop();

    LogLevel m_level;
    std::map<std::string, Repetition, std::less<>> m_rateWindows;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::string m_buffer;
    std::atomic<std::uint64_t> m_droppedLines = 0;
    std::uint64_t m_unreportedDrops = 0;
    bool m_stopping = false;
    std::thread m_writer;
};

} // namespace ibiswell
