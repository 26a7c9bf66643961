#pragma once

#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ibiswell {

/** Identifies one call at a target's node. */
using Ticket = std::uint64_t;

/** A call that waits for a slot. */
struct WaitingCall
{
    Ticket ticket = 0;
    std::string team;
    PriorityClass priority = PriorityClass::Normal;
    std::uint8_t depth = 0;
    double weight = 1; ///< Weight of the team.
    TimePoint deadline;
    Duration expectedSlotTime {};
};

/**
 * Orders the calls that wait for a slot. The most important class goes first; within a class, the
 * team that has used the least slot time in proportion to its weight; within a team, the deepest
 * call, since refusing it would waste the most work already done by its upstream callers, and then
 * the oldest call.
 */
class FairQueue
{
public:
    void push(WaitingCall call);
    /** Removes the call that gets the next slot and charges its expected slot time to its team. */
    std::optional<WaitingCall> pop();
    /**
     * Removes and returns the lowest-ranked call if it ranks below @p newCall: it is of a less
     * important class, or its team has used more slot time for its weight. A call is not evicted
     * for one of its own class that is less deep in the call tree.
     */
    std::optional<WaitingCall> evictFor(const WaitingCall &newCall);
    /** Whether @p newCall would get the next slot if it were queued, however many calls wait. */
    bool isNextToServe(const WaitingCall &newCall) const;
    bool remove(Ticket ticket);
    /** Removes and returns the calls whose deadline has passed. */
    std::vector<WaitingCall> removeExpiredCalls(TimePoint now);
    /** Charges @p slotTime to a team, or credits it when negative. */
    void charge(PriorityClass priority, const std::string &team, double weight, Duration slotTime);

    std::size_t size() const { return m_size; }
    /** Number of waiting calls of this class and of the more important ones. */
    std::size_t sizeAtOrAbove(PriorityClass priority) const;

private:
    using QueuePosition = std::pair<int, std::uint64_t>; // negated depth, then arrival number
    struct TeamQueue
    {
        double weightedUsage = 0; ///< Slot seconds divided by the weight.
        std::map<QueuePosition, WaitingCall> calls;
    };
    struct ClassQueue
    {
        std::map<std::string, TeamQueue, std::less<>> teams;
        double usageFloor = 0; ///< A team that was idle starts no lower, so it saves up no credit.
        std::size_t size = 0;
    };

    WaitingCall extract(ClassQueue &queue, TeamQueue &team,
                        std::map<QueuePosition, WaitingCall>::iterator it);
    ClassQueue &classQueue(PriorityClass priority);

    std::array<ClassQueue, priorityClassCount> m_classes;
    std::size_t m_size = 0;
    std::uint64_t m_nextSequence = 0;
};

} // namespace ibiswell
