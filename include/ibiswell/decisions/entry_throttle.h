#pragma once

#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <array>
#include <map>
#include <set>
#include <string>

namespace ibiswell {

/** How a request ended at its entry node. */
struct RequestEnd
{
    std::string route;
    /** The service whose lack of room broke the request, at any depth; empty: none did. */
    std::string saturatedService;
};

/**
 * Refuses requests at their entry node while a service below them is short of room.
 *
 * Load that it answers: a request makes several calls to a service that takes only a part of them.
 * Each call that is refused breaks its whole request, so that a service that takes two thirds of
 * its calls answers a fifth of the requests that make four. Refusing a third of the requests before
 * any work is done lets nearly all of the others end whole.
 *
 * The part that is let in follows the requests that were let in: it falls as they are broken and
 * rises again while they are not. All routes that a short service broke share it: the important
 * classes first, inside a class by weighted max-min fairness between teams.
 */
class EntryThrottle
{
public:
    /** Notes a request before it is let in or refused. */
    void onArrival(TimePoint now, const std::string &route, PriorityClass priority,
                   const std::string &team, double weight);
    /** The part of such requests to let in, from 0 to 1. */
    double fraction(const std::string &route, PriorityClass priority,
                    const std::string &team) const;
    /** A request that was let in has ended. */
    void onEnd(TimePoint now, const RequestEnd &end);

private:
    /** A count whose past fades. */
    class FadingCount
    {
    public:
        void add(TimePoint now, double amount);
        double value(TimePoint now) const;

    private:
        double m_value = 0;
        TimePoint m_at;
    };
    struct Demand
    {
        FadingCount requests;
        double weight = 1;
        double fraction = 1;
    };
    using Teams = std::map<std::string, Demand, std::less<>>;
    struct ShortService
    {
        std::set<std::string, std::less<>> routes; ///< Routes that it broke.
        std::array<Teams, priorityClassCount> demand;
        FadingCount whole;
        FadingCount broken;
        double admitted = 1; ///< Part of the demand that is let in.
        TimePoint adjustedAt;
        TimePoint lastBroken;
    };

    static void adjust(TimePoint now, ShortService &service);
    static void divide(TimePoint now, ShortService &service);
    void forgetCalm(TimePoint now);

    std::map<std::string, ShortService, std::less<>> m_services;
};

} // namespace ibiswell
