// Fuzz test of the retry budget of a call tree, with random trees and all kinds of errors. The
// oracle counts the sends: besides first attempts and free choices of another target, there are at
// most as many as the budget.

#include "support.h"

#include "ibiswell/core/random.h"
#include "ibiswell/decisions/call_table.h"
#include "ibiswell/decisions/retry_policy.h"

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

constexpr int budget = 2;

struct Tree
{
    RetryPolicy policy;
    Random random;
    int firstSends = 0;
    int paidSends = 0;
    int freeSends = 0;

    /** Sends a call like a node; returns the unused retries. */
    std::uint8_t call(CallContext context, int depth)
    {
        std::uint8_t remaining = context.remainingRetries;
        ++firstSends;
        policy.onFirstAttempt(TimePoint {});
        for (int sends = 1;; ++sends) {
            context.remainingRetries = remaining / 2;
            remaining = static_cast<std::uint8_t>(remaining - context.remainingRetries);
            bool responseLost = random() % 8 == 0;
            std::uint8_t returned = run(context, depth);
            if (!responseLost)
                remaining = static_cast<std::uint8_t>(remaining + returned);
            auto kind = static_cast<ErrorKind>(random() % errorTable().size());
            FailedAttempt failed {
                {kind, "", responseFor(kind).execution}, true, sends, remaining, 1s};
            RetryDecision decision = policy.decide(TimePoint {}, failed);
            if (random() % 3 == 0 || std::holds_alternative<GiveUp>(decision))
                return remaining;
            if (std::holds_alternative<RetryCall>(decision)) {
                RC_ASSERT(remaining > 0);
                --remaining;
                ++paidSends;
            } else {
                ++freeSends;
            }
        }
    }

    /** Runs a call like a backend server, with up to two downstream calls, some concurrent. */
    std::uint8_t run(const CallContext &context, int depth)
    {
        CallTable table;
        table.start(TimePoint {}, "t", context);
        std::uint64_t calls = depth < 4 ? random() % 3 : 0;
        std::vector<std::uint8_t> heldBack;
        for (std::uint64_t i = 0; i < calls; ++i) {
            std::uint8_t returned = call(*table.beginDownstream(TimePoint {}, "t"), depth + 1);
            if (random() % 2 == 0)
                table.endDownstream(TimePoint {}, "t", returned, 1);
            else
                heldBack.push_back(returned); // This call is concurrent with the next one.
        }
        for (std::uint8_t returned : heldBack)
            table.endDownstream(TimePoint {}, "t", returned, 1);
        return table.end(TimePoint {}, "t").remainingRetries;
    }
};

} // namespace

TEST_CASE("a call tree never sends more retries than its budget, however deep it is")
{
    CHECK_PROPERTY([] {
        Tree tree;
        tree.random.seed(*rc::gen::arbitrary<std::uint64_t>());
        CallContext context;
        context.remainingRetries = budget;
        std::uint8_t remaining = tree.call(context, 0);
        RC_ASSERT(tree.paidSends + remaining <= budget);
    });
}
