#pragma once

#include <cstddef>

namespace ibiswell {

/** Bounds the bytes that are held for all responses of one server while they are read. */
class BufferBudget
{
public:
    explicit BufferBudget(std::size_t maximumBytes)
        : m_available(maximumBytes)
    {
    }

    /** The part of the budget that one response holds; given back at the end of its life. */
    class Reservation
    {
    public:
        explicit Reservation(BufferBudget &budget)
            : m_budget(budget)
        {
        }
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;
        ~Reservation() { m_budget.m_available += m_held; }

        /** Takes @p bytes more; false when the budget does not have them. */
        bool grow(std::size_t bytes)
        {
            if (bytes > m_budget.m_available)
                return false;
            m_budget.m_available -= bytes;
            m_held += bytes;
            return true;
        }

    private:
        BufferBudget &m_budget;
        std::size_t m_held = 0;
    };

private:
    std::size_t m_available;
};

} // namespace ibiswell
