#pragma once

#include "ibiswell/decisions/target_admission.h"

#include <deque>
#include <unordered_map>
#include <variant>
#include <vector>

namespace ibiswell::model {

/** No control: each call goes to the backend server at once. */
struct OpenGate
{
    Ticket nextTicket = 1;
};

/** A fixed number of calls at once, the rest in a bounded queue, first come first served. */
struct StaticGate
{
    int limit = 1;
    int running = 0;
    std::deque<Ticket> queue;
    Ticket nextTicket = 1;
};

/** A limit that grows by one a round and shrinks on a slow or shed answer; no queue. */
struct AimdGate
{
    double limit = 10;
    int running = 0;
    Duration slow {}; ///< An answer slower than this shrinks the limit.
    Ticket nextTicket = 1;
};

/** A fixed limit with a queue that turns last-come-first-served while its delay stays long. */
struct CodelGate
{
    struct Waiting
    {
        Ticket ticket;
        TimePoint since;
    };
    int limit = 1;
    int running = 0;
    std::deque<Waiting> queue;
    TimePoint lastShort; ///< When the queue was last short.
    Ticket nextTicket = 1;
};

/** What stands before a backend server: ibiswell's admission or one of the baselines. */
using Gate = std::variant<TargetAdmission, OpenGate, StaticGate, AimdGate, CodelGate>;

std::vector<AdmissionEffect> arrive(Gate &gate, TimePoint now, const Arrival &arrival);
std::vector<AdmissionEffect> finish(Gate &gate, TimePoint now, Ticket ticket,
                                    const WorkResult &end);
std::vector<AdmissionEffect> tick(Gate &gate, TimePoint now);
void abandon(Gate &gate, Ticket ticket);
LoadReport report(const Gate &gate, const CallContext &context);

} // namespace ibiswell::model
