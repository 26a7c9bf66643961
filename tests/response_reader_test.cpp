/** What the readers of responses make of sound and of broken ones. */

#include "http_client.h"
#include "response_cases.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <variant>
#include <vector>

using namespace ibiswell;
using namespace ibiswell::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration exchangeLimit = 5s;
/** More than the buffers of a connection take. */
constexpr std::size_t uploadBytes = 8u << 20;
/** Whether the send or the read meets a reset first depends on what waits at that moment. */
constexpr std::array<Duration, 4> pausesBeforeEnding {0ms, 1ms, 10ms, 30ms};

/** As the node reads the responses of its target. */
HttpClientOptions targetOptions()
{
    HttpClientOptions options;
    options.echoedField = "Attempt-Id";
    options.preserveHost = true;
    options.allowUnframedResponses = true;
    options.statesNotRun = [](const HttpResponse &head) { return head.hasHeader("Not-Executed"); };
    return options;
}

/** As the clients of the platform's stores and the operator's command read responses. */
HttpClientOptions defaultOptions()
{
    return {};
}

/** Sends a request to a server that sends @p response; returns what the reader returns. */
CallResult exchange(const HttpClientOptions &options, const ScriptedResponse &response,
                    std::size_t bodyBytes = 0)
{
    asio::io_context context {1};
    ScriptedServer server(context, 0, response);
    HttpClient client({"127.0.0.1", server.port()}, options);
    HttpRequest request {bodyBytes > 0 ? "POST" : "GET", "/x", {{"Attempt-Id", "a-1"}}, {}};
    request.body.assign(bodyBytes, 'x');
    std::optional<CallResult> result;
    auto store = [&](const std::exception_ptr &, CallResult ended) {
        result = std::move(ended);
        context.stop();
    };
    asio::co_spawn(context, client.exchange(std::move(request), exchangeLimit), store);
    context.run();
    REQUIRE(result);
    return std::move(*result);
}

/** The results of a long upload to a target that ends the connection after different pauses. */
std::vector<CallResult> exchangeDuringUpload(ScriptedResponse response)
{
    std::vector<CallResult> results;
    for (Duration pause : pausesBeforeEnding) {
        response.pauseBeforeEnding = pause;
        results.push_back(exchange(targetOptions(), response, uploadBytes));
    }
    return results;
}

std::string describe(const CallResult &result)
{
    if (const Refusal *refusal = std::get_if<Refusal>(&result))
        return refusal->detail;
    const HttpResponse &response = std::get<HttpResponse>(result);
    return fmt::format("{} with {} bytes", response.status, response.body.size());
}

void checkRefused(const ResponseCase &broken, const CallResult &result)
{
    const Refusal *refusal = std::get_if<Refusal>(&result);
    CHECK_MESSAGE(refusal, broken.what << ": " << describe(result));
    bool mayHaveRun = refusal && refusal->execution == Execution::Unknown;
    CHECK_MESSAGE(mayHaveRun, broken.what << ": " << describe(result));
    bool wasRefusedAtOnce = refusal && refusal->kind != ErrorKind::DeadlineExceeded;
    CHECK_MESSAGE(wasRefusedAtOnce, broken.what << ": " << describe(result));
}

void checkReturned(const ResponseCase &sound, const CallResult &result)
{
    const HttpResponse *response = std::get_if<HttpResponse>(&result);
    bool isWhole = response && response->status == sound.status && response->body == sound.body;
    CHECK_MESSAGE(isWhole, sound.what << ": " << describe(result));
}

/** Whichever server responds: no reader returns any of these. */
void checkAllRefused(const std::vector<ResponseCase> &cases)
{
    for (const ResponseCase &broken : cases) {
        for (const HttpClientOptions &options : {targetOptions(), defaultOptions()})
            checkRefused(broken, exchange(options, broken.response));
    }
}

/** Every reader returns these, but only a target's response may end with its connection. */
void checkAllReturned(const std::vector<ResponseCase> &cases)
{
    for (const ResponseCase &sound : cases) {
        checkReturned(sound, exchange(targetOptions(), sound.response));
        CallResult result = exchange(defaultOptions(), sound.response);
        if (sound.isUnframed)
            checkRefused(sound, result);
        else
            checkReturned(sound, result);
    }
}

} // namespace

// Guards against the incident BROKEN: a part of a body reached the caller as a whole one, since the
// send had met the reset and the read then an ordinary end.
TEST_CASE("BROKEN: a response that is cut by a reset while the request is sent is not whole")
{
    for (const ResponseCase &broken : brokenResponsesDuringUpload()) {
        for (const CallResult &result : exchangeDuringUpload(broken.response))
            checkRefused(broken, result);
    }
}

TEST_CASE("a whole response that arrives while the request is sent is returned")
{
    for (const ResponseCase &sound : soundResponsesDuringUpload()) {
        for (const CallResult &result : exchangeDuringUpload(sound.response))
            checkReturned(sound, result);
    }
}

TEST_CASE("a head that states \"not run\" is not lost while the request is sent")
{
    for (const ResponseCase &refused : notRunDuringUpload()) {
        for (const CallResult &result : exchangeDuringUpload(refused.response)) {
            checkReturned(refused, result);
            const HttpResponse *response = std::get_if<HttpResponse>(&result);
            CHECK((response && response->hasHeader("Not-Executed")));
        }
    }
}

TEST_CASE("BROKEN: a response whose status is none is refused by every reader")
{
    checkAllRefused(brokenStatuses());
}

TEST_CASE("a response with any status of a final response is returned by every reader")
{
    checkAllReturned(soundStatuses());
}

TEST_CASE("BROKEN: an interim response that is none is not followed by the final one")
{
    checkAllRefused(brokenInterimResponses());
}

TEST_CASE("interim responses before the final one are skipped by every reader")
{
    checkAllReturned(soundInterimResponses());
}

TEST_CASE("BROKEN: a response whose body has no certain end is refused by every reader")
{
    checkAllRefused(brokenFramings());
}

TEST_CASE("a response with a certain end is returned whole by every reader")
{
    checkAllReturned(soundFramings());
}

TEST_CASE("BROKEN: a response with a broken field is refused by every reader")
{
    checkAllRefused(brokenFields());
}

TEST_CASE("a response with any sound field is returned by every reader")
{
    checkAllReturned(soundFields());
}

TEST_CASE("BROKEN: a response that ends before its end is refused by every reader")
{
    checkAllRefused(brokenEnds());
}

TEST_CASE("a response that ends where it should is returned, and only a target's by a close")
{
    checkAllReturned(soundEnds());
}

// A signature or a statement behind the body is none of the response's: it may be of any source.
TEST_CASE("fields behind the last chunk are not fields of the response")
{
    ScriptedResponse response {"HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n"
                               "Response-Signature: s\r\nNot-Executed: 1\r\n\r\n"};
    CallResult result = exchange(targetOptions(), response);
    const HttpResponse *whole = std::get_if<HttpResponse>(&result);
    REQUIRE(whole);
    CHECK(whole->body == "done");
    CHECK_FALSE(whole->hasHeader("Response-Signature"));
    CHECK_FALSE(whole->hasHeader("Not-Executed"));
}
