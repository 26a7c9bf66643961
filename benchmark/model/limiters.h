#pragma once

#include "ibiswell/decisions/target_admission.h"

#include <deque>
#include <unordered_map>
#include <variant>
#include <vector>

namespace ibiswell::model {

/** No limit: each call goes to the backend server immediately. */
struct NoLimiter
{
    Ticket nextTicket = 1;
};

/** A fixed concurrency limit with a bounded FIFO queue. */
struct StaticLimiter
{
    int limit = 1;
    int running = 0;
    std::deque<Ticket> queue;
    Ticket nextTicket = 1;
};

/**
 * Additive increase, multiplicative decrease: the limit grows by 1/limit for each good response
 * and shrinks by a tenth for each slow, shed or failed one. There is no queue.
 */
struct AimdLimiter
{
    double limit = 10;
    int running = 0;
    Duration slow {}; ///< A response is slow if it took longer than this.
    Ticket nextTicket = 1;
};

/**
 * A fixed limit with a queue that is controlled in the manner of CoDel: if the queue has not been
 * empty for longer than an interval, the limiter is overloaded, serves the newest call first and
 * drops calls that waited longer than a short target. Otherwise it serves the oldest call first
 * and drops calls that waited longer than the interval.
 */
struct CodelLimiter
{
    struct WaitingCall
    {
        Ticket ticket;
        TimePoint since;
    };
    int limit = 1;
    int running = 0;
    std::deque<WaitingCall> queue;
    TimePoint lastEmpty; ///< When the queue was last seen empty.
    Ticket nextTicket = 1;
};

/** Limits the calls to a backend server: ibiswell's admission or one of the baselines. */
using Limiter = std::variant<TargetAdmission, NoLimiter, StaticLimiter, AimdLimiter, CodelLimiter>;

std::vector<AdmissionEffect> arrive(Limiter &limiter, TimePoint now, const Arrival &arrival);
std::vector<AdmissionEffect> finish(Limiter &limiter, TimePoint now, Ticket ticket,
                                    const WorkResult &result);
std::vector<AdmissionEffect> tick(Limiter &limiter, TimePoint now);
void abandon(Limiter &limiter, Ticket ticket);
LoadReport report(const Limiter &limiter, const CallContext &context);

} // namespace ibiswell::model
