#include "ibiswell/decisions/fair_queue.h"

#include <algorithm>

namespace ibiswell {

FairQueue::ClassQueue &FairQueue::classQueue(PriorityClass priority)
{
    return m_classes[static_cast<std::size_t>(priority)];
}

void FairQueue::push(WaitingCall call)
{
    ClassQueue &queue = classQueue(call.priority);
    TeamQueue &team = queue.teams[call.team];
    if (team.calls.empty())
        team.weightedUsage = std::max(team.weightedUsage, queue.usageFloor);
    QueuePosition position {-static_cast<int>(call.depth), m_nextSequence++};
    team.calls.emplace(position, std::move(call));
    ++queue.size;
    ++m_size;
}

WaitingCall FairQueue::extract(ClassQueue &queue, TeamQueue &team,
                               std::map<QueuePosition, WaitingCall>::iterator it)
{
    WaitingCall call = std::move(it->second);
    team.calls.erase(it);
    --queue.size;
    --m_size;
    return call;
}

std::optional<WaitingCall> FairQueue::pop()
{
    for (ClassQueue &queue : m_classes) {
        if (queue.size == 0)
            continue;
        TeamQueue *leastUsed = nullptr;
        for (auto &[name, team] : queue.teams) {
            if (!team.calls.empty()
                && (!leastUsed || team.weightedUsage < leastUsed->weightedUsage))
                leastUsed = &team;
        }
        queue.usageFloor = std::max(queue.usageFloor, leastUsed->weightedUsage);
        WaitingCall call = extract(queue, *leastUsed, leastUsed->calls.begin());
        leastUsed->weightedUsage += inSeconds(call.expectedSlotTime) / call.weight;
        return call;
    }
    return std::nullopt;
}

std::optional<WaitingCall> FairQueue::evictFor(const WaitingCall &newCall)
{
    for (std::size_t i = priorityClassCount; i-- > 0;) {
        ClassQueue &queue = m_classes[i];
        if (queue.size == 0)
            continue;
        if (i < static_cast<std::size_t>(newCall.priority))
            return std::nullopt;
        TeamQueue *mostUsed = nullptr;
        for (auto &[name, team] : queue.teams) {
            if (!team.calls.empty() && (!mostUsed || team.weightedUsage > mostUsed->weightedUsage))
                mostUsed = &team;
        }
        bool sameClass = i == static_cast<std::size_t>(newCall.priority);
        auto ownTeam = queue.teams.find(newCall.team);
        double used =
            ownTeam == queue.teams.end() ? queue.usageFloor : ownTeam->second.weightedUsage;
        if (sameClass && mostUsed->weightedUsage <= std::max(used, queue.usageFloor))
            return std::nullopt;
        auto last = std::prev(mostUsed->calls.end());
        if (sameClass && last->second.depth > newCall.depth)
            return std::nullopt;
        return extract(queue, *mostUsed, last);
    }
    return std::nullopt;
}

bool FairQueue::isNextToServe(const WaitingCall &newCall) const
{
    auto classIndex = static_cast<std::size_t>(newCall.priority);
    bool isOutranked = newCall.priority > PriorityClass::Critical
        && sizeAtOrAbove(static_cast<PriorityClass>(classIndex - 1)) > 0;
    if (isOutranked)
        return false;
    const ClassQueue &queue = m_classes[classIndex];
    auto ownTeam = queue.teams.find(newCall.team);
    if (ownTeam != queue.teams.end() && !ownTeam->second.calls.empty())
        return false;
    double used = ownTeam == queue.teams.end() ? queue.usageFloor : ownTeam->second.weightedUsage;
    return std::all_of(queue.teams.begin(), queue.teams.end(), [&](const auto &item) {
        const TeamQueue &other = item.second;
        return other.calls.empty() || other.weightedUsage >= std::max(used, queue.usageFloor);
    });
}

bool FairQueue::remove(Ticket ticket)
{
    for (ClassQueue &queue : m_classes) {
        for (auto &[name, team] : queue.teams) {
            auto it = std::find_if(team.calls.begin(), team.calls.end(),
                                   [&](const auto &item) { return item.second.ticket == ticket; });
            if (it == team.calls.end())
                continue;
            extract(queue, team, it);
            return true;
        }
    }
    return false;
}

std::vector<WaitingCall> FairQueue::removeExpiredCalls(TimePoint now)
{
    std::vector<WaitingCall> expired;
    for (ClassQueue &queue : m_classes) {
        for (auto &[name, team] : queue.teams) {
            for (auto it = team.calls.begin(); it != team.calls.end();) {
                auto next = std::next(it);
                if (it->second.deadline <= now)
                    expired.push_back(extract(queue, team, it));
                it = next;
            }
        }
    }
    return expired;
}

void FairQueue::charge(PriorityClass priority, const std::string &team, double weight,
                       Duration slotTime)
{
    TeamQueue &queue = classQueue(priority).teams[team];
    queue.weightedUsage += inSeconds(slotTime) / weight;
}

std::size_t FairQueue::sizeAtOrAbove(PriorityClass priority) const
{
    std::size_t size = 0;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i)
        size += m_classes[i].size;
    return size;
}

} // namespace ibiswell
