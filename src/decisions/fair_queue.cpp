#include "ibiswell/decisions/fair_queue.h"

#include <algorithm>

namespace ibiswell {

FairQueue::ClassQueue &FairQueue::classOf(PriorityClass priority)
{
    return m_classes[static_cast<std::size_t>(priority)];
}

void FairQueue::push(WaitingCall call)
{
    ClassQueue &queue = classOf(call.priority);
    TeamQueue &team = queue.teams[call.team];
    if (team.calls.empty())
        team.usedForWeight = std::max(team.usedForWeight, queue.floor);
    Order order {-static_cast<int>(call.depth), m_nextSequence++};
    team.calls.emplace(order, std::move(call));
    ++queue.size;
    ++m_size;
}

WaitingCall FairQueue::take(ClassQueue &queue, TeamQueue &team,
                            std::map<Order, WaitingCall>::iterator it)
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
        TeamQueue *least = nullptr;
        for (auto &[name, team] : queue.teams) {
            if (!team.calls.empty() && (!least || team.usedForWeight < least->usedForWeight))
                least = &team;
        }
        queue.floor = std::max(queue.floor, least->usedForWeight);
        WaitingCall call = take(queue, *least, least->calls.begin());
        least->usedForWeight += inSeconds(call.expectedSlotTime) / call.weight;
        return call;
    }
    return std::nullopt;
}

std::optional<WaitingCall> FairQueue::evictFor(const WaitingCall &newcomer)
{
    for (std::size_t i = priorityClassCount; i-- > 0;) {
        ClassQueue &queue = m_classes[i];
        if (queue.size == 0)
            continue;
        if (i < static_cast<std::size_t>(newcomer.priority))
            return std::nullopt;
        TeamQueue *most = nullptr;
        for (auto &[name, team] : queue.teams) {
            if (!team.calls.empty() && (!most || team.usedForWeight > most->usedForWeight))
                most = &team;
        }
        bool sameClass = i == static_cast<std::size_t>(newcomer.priority);
        auto own = queue.teams.find(newcomer.team);
        double used = own == queue.teams.end() ? queue.floor : own->second.usedForWeight;
        if (sameClass && most->usedForWeight <= std::max(used, queue.floor))
            return std::nullopt;
        auto last = std::prev(most->calls.end());
        if (sameClass && last->second.depth > newcomer.depth)
            return std::nullopt;
        return take(queue, *most, last);
    }
    return std::nullopt;
}

bool FairQueue::isNextInLine(const WaitingCall &newcomer) const
{
    auto rank = static_cast<std::size_t>(newcomer.priority);
    bool isOutranked = newcomer.priority > PriorityClass::Critical
        && sizeAtOrAbove(static_cast<PriorityClass>(rank - 1)) > 0;
    if (isOutranked)
        return false;
    const ClassQueue &queue = m_classes[rank];
    auto own = queue.teams.find(newcomer.team);
    if (own != queue.teams.end() && !own->second.calls.empty())
        return false;
    double used = own == queue.teams.end() ? queue.floor : own->second.usedForWeight;
    return std::all_of(queue.teams.begin(), queue.teams.end(), [&](const auto &item) {
        const TeamQueue &other = item.second;
        return other.calls.empty() || other.usedForWeight >= std::max(used, queue.floor);
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
            take(queue, team, it);
            return true;
        }
    }
    return false;
}

std::vector<WaitingCall> FairQueue::removeLate(TimePoint now)
{
    std::vector<WaitingCall> late;
    for (ClassQueue &queue : m_classes) {
        for (auto &[name, team] : queue.teams) {
            for (auto it = team.calls.begin(); it != team.calls.end();) {
                auto next = std::next(it);
                if (it->second.deadline <= now)
                    late.push_back(take(queue, team, it));
                it = next;
            }
        }
    }
    return late;
}

void FairQueue::charge(PriorityClass priority, const std::string &team, double weight,
                       Duration slotTime)
{
    TeamQueue &queue = classOf(priority).teams[team];
    queue.usedForWeight += inSeconds(slotTime) / weight;
}

std::size_t FairQueue::sizeAtOrAbove(PriorityClass priority) const
{
    std::size_t size = 0;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i)
        size += m_classes[i].size;
    return size;
}

} // namespace ibiswell
