#pragma once

#include <cstdint>
#include <functional>
#include <utility>

namespace ibiswell {

/**
 * The latest era of the platform's store that this node knows, from the store's own responses or
 * from other nodes.
 */
class StoreEra
{
public:
    /** Called after a newer era became known. */
    using Listener = std::function<void(std::uint64_t previous)>;

    void setListener(Listener listener) { m_listener = std::move(listener); }

    /** Takes an era that the store or another node stated. */
    void onStated(std::uint64_t era)
    {
        if (era <= m_latest)
            return;
        std::uint64_t previous = std::exchange(m_latest, era);
        if (m_listener)
            m_listener(previous);
    }

    /** 0: no era was stated so far. */
    std::uint64_t latest() const { return m_latest; }

private:
    std::uint64_t m_latest = 0;
    Listener m_listener;
};

} // namespace ibiswell
