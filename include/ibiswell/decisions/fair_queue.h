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
    double weight = 1; ///< Of the team.
    TimePoint deadline;
    Duration expectedSlotTime {};
};

/**
 * The calls that wait for a slot: the most important class first; inside a class the team that
 * has used the least slot time for its weight; inside a team the deepest call first, since it
 * holds the most work done elsewhere, then the oldest.
 */
class FairQueue
{
public:
    void push(WaitingCall call);
    /** Takes the call that gets the next slot and charges its expected slot time to its team. */
    std::optional<WaitingCall> pop();
    /**
     * Makes room for @p newcomer: takes out the call that is worth least, when that is worth less
     * than the newcomer (a lower class, or a team further over its share). A call that holds more
     * work done above it is not taken out for one of its own class.
     */
    std::optional<WaitingCall> evictFor(const WaitingCall &newCall);
    /** Whether the next slots go to the team of @p newcomer, however many calls wait. */
    bool isNextToServe(const WaitingCall &newCall) const;
    bool remove(Ticket ticket);
    /** Takes out the calls that can no longer finish in time. */
    std::vector<WaitingCall> removeExpiredCalls(TimePoint now);
    /** Charges @p slotTime (negative: credits) to a team. */
    void charge(PriorityClass priority, const std::string &team, double weight, Duration slotTime);

    std::size_t size() const { return m_size; }
    /** Calls of this class and of those more important. */
    std::size_t sizeAtOrAbove(PriorityClass priority) const;

private:
    using QueuePosition = std::pair<int, std::uint64_t>; // less depth, then age
    struct TeamQueue
    {
        double weightedUsage = 0; ///< Slot seconds divided by the weight.
        std::map<QueuePosition, WaitingCall> calls;
    };
    struct ClassQueue
    {
        std::map<std::string, TeamQueue, std::less<>> teams;
        double usageFloor = 0; ///< An idle team does not save up more than this.
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
