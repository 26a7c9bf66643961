#pragma once

#include "ibiswell/core/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace ibiswell::model {

/** Runs events in the order of their virtual time. Events at the same time run in FIFO order. */
class EventQueue
{
public:
    TimePoint now() const { return m_now; }

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.push({std::max(time, m_now), m_nextSequence++, std::move(action)});
    }
    void after(Duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            // top() gives const access only. The event is popped before it runs, because its
            // action may schedule other events.
            Event event = std::move(const_cast<Event &>(m_events.top()));
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        m_now = end;
    }

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    TimePoint m_now {};
    std::uint64_t m_nextSequence = 0;
    std::priority_queue<Event> m_events;
};

} // namespace ibiswell::model
