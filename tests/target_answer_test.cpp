#include "ibiswell/decisions/target_answer.h"

#include "dialect.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

const TargetQuestion question {"i-1", 1000};

TargetAnswer read(int status, std::vector<HeaderField> headers)
{
    HttpResponse response {status, std::move(headers), {}};
    return readTargetAnswer(platform::makeDialect().names, question, response);
}

TargetAnswer read(ErrorKind kind)
{
    return readTargetAnswer(platform::makeDialect().names, question,
                            Refusal {kind, "", Execution::Unknown});
}

template<typename Kind> bool holds(const TargetAnswer &answer)
{
    return std::holds_alternative<Kind>(answer);
}

} // namespace

TEST_CASE("DRAIN: a backend server is ready when it answers and does not state that it leaves")
{
    CHECK(holds<TargetReady>(read(200, {{"Instance-Id", "i-1"}})));
    CHECK(holds<TargetReady>(read(200, {})));
    CHECK(holds<TargetReady>(read(404, {})));
    CHECK(holds<TargetLeaving>(read(200, {{"Instance-Id", "i-1"}, {"Server-Leaving", "1"}})));
    CHECK(holds<TargetLeaving>(read(503, {{"Server-Leaving", "1"}, {"Not-Executed", "1"}})));
}

TEST_CASE("DRAIN: the answer of another instance says nothing of the one that was asked")
{
    CHECK(holds<TargetAbsent>(read(421, {{"Instance-Id", "i-2"}})));
    CHECK(holds<TargetAbsent>(read(200, {{"Instance-Id", "i-2"}})));
    CHECK(holds<TargetAbsent>(read(503, {{"Instance-Id", "i-2"}, {"Server-Leaving", "1"}})));
    CHECK(holds<TargetAbsent>(read(ErrorKind::ConnectFailed)));
}

TEST_CASE("DRAIN: no sound response, and one that may mean a departure, leave it undecided")
{
    CHECK(holds<TargetUndecided>(read(503, {{"Instance-Id", "i-1"}})));
    CHECK(holds<TargetUndecided>(read(503, {{"Not-Executed", "1"}})));
    for (ErrorKind kind : {ErrorKind::DeadlineExceeded, ErrorKind::ConnectionLost,
                           ErrorKind::ResponseTruncated, ErrorKind::OutcomeUnknown})
        CHECK(holds<TargetUndecided>(read(kind)));
}

TEST_CASE("an answer states the cold time and the rate; what cannot be read states nothing")
{
    TargetAnswer answer = read(200, {{"Warmup-Ms", "2500"}, {"Server-Limit", "7.5"}});
    REQUIRE(holds<TargetReady>(answer));
    CHECK((std::get<TargetReady>(answer).remainingWarmup == Duration {2500ms}));
    CHECK(std::get<TargetReady>(answer).requestsPerSecond == 7.5);
    answer = read(200, {{"Warmup-Ms", "-1"}, {"Server-Limit", "many"}});
    REQUIRE(holds<TargetReady>(answer));
    CHECK((std::get<TargetReady>(answer).remainingWarmup == Duration {}));
    CHECK_FALSE(std::get<TargetReady>(answer).requestsPerSecond);
}

TEST_CASE("a question is repeated soon at first, and once a second at most")
{
    CHECK((targetQuestionRetryDelay(1) == Duration {100ms}));
    CHECK((targetQuestionRetryDelay(2) == Duration {200ms}));
    CHECK((targetQuestionRetryDelay(5) == Duration {1s}));
    CHECK((targetQuestionRetryDelay(1'000'000) == Duration {1s}));
}
