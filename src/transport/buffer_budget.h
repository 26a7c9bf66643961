#pragma once

#include <cstddef>
#include <utility>

namespace ibiswell {

/** Bounds the bytes that a node holds for bodies of requests and responses. */
class BufferBudget
{
public:
    explicit BufferBudget(std::size_t maximumBytes)
        : m_maximumBytes(maximumBytes)
    {
    }

    std::size_t maximumBytes() const { return m_maximumBytes; }

    /** The part of a budget that one body holds; given back at the end of its life. */
    class Reservation
    {
    public:
        /** @param budget null: the body is not bounded. */
        explicit Reservation(BufferBudget *budget)
            : m_budget(budget)
        {
        }
        Reservation(Reservation &&other) noexcept
            : m_budget(other.m_budget)
            , m_held(std::exchange(other.m_held, 0))
        {
        }
        Reservation &operator=(Reservation &&) = delete;
        ~Reservation() { release(); }

        /** Takes @p bytes more; false when the budget does not have them. */
        bool grow(std::size_t bytes)
        {
            bool fits = !m_budget || m_budget->m_held + bytes <= m_budget->m_maximumBytes;
            if (fits)
                growBeyond(bytes);
            return fits;
        }

        /**
         * Takes @p bytes more, for what is lost if there is no room; false when the budget is
         * exceeded by as much again.
         */
        bool growUrgently(std::size_t bytes)
        {
            bool fits = !m_budget || m_budget->m_held + bytes <= 2 * m_budget->m_maximumBytes;
            if (fits)
                growBeyond(bytes);
            return fits;
        }

        /** Takes @p bytes more, for a body that is held already: others then wait for room. */
        void growBeyond(std::size_t bytes)
        {
            m_held += bytes;
            if (m_budget)
                m_budget->m_held += bytes;
        }

        void release()
        {
            if (m_budget)
                m_budget->m_held -= m_held;
            m_held = 0;
        }

    private:
        BufferBudget *m_budget;
        std::size_t m_held = 0;
    };

private:
    std::size_t m_maximumBytes;
    std::size_t m_held = 0;
};

} // namespace ibiswell
