#pragma once

#include "ibiswell/decisions/target_admission.h"

#include <deque>
#include <unordered_map>
#include <variant>
#include <vector>

namespace ibiswell::model {

/** No control: each call goes to the backend server at once. */
struct NoLimiter
{
    Ticket nextTicket = 1;
};

/** A fixed number of calls at once, the rest in a bounded queue, first come first served. */
struct StaticLimiter
{
    int limit = 1;
    int running = 0;
    std::deque<Ticket> queue;
    Ticket nextTicket = 1;
};

/** A limit that grows by one a round and shrinks on a slow or shed answer; no queue. */
struct AimdLimiter
{
    double limit = 10;
    int running = 0;
    Duration slow {}; ///< An answer slower than this shrinks the limit.
    Ticket nextTicket = 1;
};

/** A fixed limit with a queue that turns last-come-first-served while its delay stays long. */
struct CodelLimiter
{
    struct Waiting
    {
        Ticket ticket;
        TimePoint since;
    };
    int limit = 1;
    int running = 0;
    std::deque<Waiting> queue;
    TimePoint lastEmpty; ///< When the queue was last short.
    Ticket nextTicket = 1;
};

/** What stands before a backend server: ibiswell's admission or one of the baselines. */
using Limiter = std::variant<TargetAdmission, NoLimiter, StaticLimiter, AimdLimiter, CodelLimiter>;

std::vector<AdmissionEffect> arrive(Limiter &limiter, TimePoint now, const Arrival &arrival);
std::vector<AdmissionEffect> finish(Limiter &limiter, TimePoint now, Ticket ticket,
                                    const WorkEnd &end);
std::vector<AdmissionEffect> tick(Limiter &limiter, TimePoint now);
void abandon(Limiter &limiter, Ticket ticket);
LoadReport report(const Limiter &limiter, const CallContext &context);

} // namespace ibiswell::model
