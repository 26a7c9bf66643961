#include "ibiswell/transport/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <poll.h>
#include <unistd.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr int maximumLinesPerWindow = 20; // for each event name
constexpr Duration windowLength = 1s;
/** A pipe that poll() reports as writable accepts this many bytes without blocking. */
constexpr std::size_t writeBytes = 4096;
constexpr auto batchTime = 100ms;
constexpr auto maximumDrainTime = 300ms; // at the end of the process

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    line += '"';
}

/** Appends the date and time. The text of the last second is cached, as most lines share it. */
void appendTime(std::string &line)
{
    auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    auto second = std::chrono::floor<std::chrono::seconds>(now);
    thread_local std::chrono::time_point<std::chrono::system_clock, std::chrono::seconds>
        cachedSecond;
    thread_local std::string cachedText;
    if (second != cachedSecond) {
        cachedSecond = second;
        cachedText = fmt::format("{:%Y-%m-%dT%H:%M:%S}.", fmt::gmtime(second));
    }
    fmt::format_to(std::back_inserter(line), "{}{:03}Z ", cachedText, (now - second).count());
}

std::string format(std::string_view level, std::string_view event,
                   const std::vector<LogField> &fields)
{
    constexpr std::size_t typicalLineBytes = 256;
    std::string line;
    line.reserve(typicalLineBytes);
    appendTime(line);
    line += level;
    line += ' ';
    line += event;
    for (const LogField &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        if (needsQuotes(field.value))
            appendQuoted(line, field.value);
        else
            line += field.value;
    }
    line += '\n';
    return line;
}

} // namespace

Log::Log(LogLevel level)
    : m_level(level)
    , m_writer([this] { writeLoop(); })
{
}

Log::~Log()
{
    close();
}

void Log::close()
{
    if (!m_writer.joinable())
        return;
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeWriter.notify_one();
    m_writer.join();
}

void Log::writeDecision(std::string_view event, const std::vector<LogField> &fields)
{
    append(format("decision", event, fields));
}

void Log::write(TimePoint now, LogLevel level, std::string_view event,
                const std::vector<LogField> &fields)
{
    if (level < m_level)
        return;
    auto found = m_rateWindows.find(event);
    if (found == m_rateWindows.end())
        found = m_rateWindows.emplace(std::string(event), RateWindow {now, 0, 0}).first;
    RateWindow &window = found->second;
    if (now - window.start >= windowLength) {
        if (window.dropped > 0)
            append(
                format("warning", "lines-left-out",
                       {{"event", std::string(event)}, {"count", fmt::to_string(window.dropped)}}));
        window = {now, 0, 0};
    }
    if (++window.lines > maximumLinesPerWindow) {
        ++window.dropped;
        return;
    }
    append(format(levelName(level), event, fields));
}

void Log::append(const std::string &line)
{
    std::lock_guard lock(m_mutex);
    if (m_buffer.size() + line.size() > bufferBytes) {
        ++m_droppedLines;
        ++m_unreportedDrops;
        return;
    }
    bool wasEmpty = m_buffer.empty();
    if (m_unreportedDrops > 0) {
        m_buffer +=
            format("warning", "lines-left-out",
                   {{"event", "buffer-full"}, {"count", fmt::to_string(m_unreportedDrops)}});
        m_unreportedDrops = 0;
    }
    m_buffer += line;
    if (wasEmpty)
        m_wakeWriter.notify_one();
}

void Log::writeLoop()
{
    std::string chunk;
    auto drainUntil = std::chrono::steady_clock::time_point::max();
    for (;;) {
        {
            std::unique_lock lock(m_mutex);
            m_wakeWriter.wait(lock, [this] { return m_stopping || !m_buffer.empty(); });
            // Lines are written in batches, because a wake-up for each line costs more.
            m_wakeWriter.wait_for(lock, batchTime, [this] { return m_stopping; });
            if (m_buffer.empty())
                return;
            chunk.swap(m_buffer);
            m_buffer.clear();
        }
        std::size_t written = 0;
        while (written < chunk.size()) {
            {
                std::lock_guard lock(m_mutex);
                auto now = std::chrono::steady_clock::now();
                if (m_stopping && drainUntil == std::chrono::steady_clock::time_point::max())
                    drainUntil = now + maximumDrainTime;
                if (now > drainUntil)
                    return;
            }
            pollfd descriptor {STDOUT_FILENO, POLLOUT, 0};
            if (::poll(&descriptor, 1, 100) <= 0)
                continue;
            std::size_t length = std::min<std::size_t>(chunk.size() - written, writeBytes);
            ssize_t count = ::write(STDOUT_FILENO, chunk.data() + written, length);
            if (count <= 0)
                return;
            written += static_cast<std::size_t>(count);
        }
    }
}

} // namespace ibiswell
