#include "ibiswell/core/hash.h"
#include "ibiswell/decisions/call_table.h"
#include "ibiswell/decisions/connectivity_monitor.h"
#include "ibiswell/decisions/entry_admission.h"
#include "ibiswell/decisions/membership.h"
#include "ibiswell/decisions/path_table.h"
#include "ibiswell/decisions/policy_store.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

/** The decisions of an entry node whose policy has one open and one keyed route. */
struct FakeEntry
{
    Kernel kernel;
    Dialect &dialect = kernel.add<Dialect>("dialect", nativeDialect());
    PolicyStore &policy = kernel.add<PolicyStore>("policy");
    PathTable &paths = kernel.add<PathTable>("paths");
    ConnectivityMonitor &connectivity = kernel.add<ConnectivityMonitor>("contact");
    Membership &membership = kernel.add<Membership>("membership", Member {});
    EntryAdmission entry {kernel};
    Random random {1};

    FakeEntry()
    {
        Error error;
        auto document = parsePolicyDocument(
            R"({"teams": {"school": {}}, "defaults": {"maximum_depth": 2},
                "keys": {")"
                + sha256Hex("the-key") + R"(": {"team": "school"}},
                "routes": {
                    "browse": {"service": "catalogue", "path": "/open", "open": true},
                    "order": {"service": "catalogue", "path": "/", "priority": "critical"}}})",
            error);
        document->version = 1;
        policy.adopt(*document);
    }
    EntryDecision admit(HttpRequest request)
    {
        return entry.admit(TimePoint {1s}, std::move(request), "id-1", random);
    }
    ErrorKind refusalOf(HttpRequest request)
    {
        EntryDecision decision = admit(std::move(request));
        REQUIRE(std::holds_alternative<Refusal>(decision));
        CHECK(bool(std::get<Refusal>(decision).execution == Execution::NotRun));
        return std::get<Refusal>(decision).kind;
    }
};

} // namespace

TEST_CASE("a keyed route gets the team of the key, and the key goes no further")
{
    FakeEntry fake;
    HttpRequest request {"POST",
                         "/catalogue/orders",
                         {{"X-Ibiswell-Key", "the-key"},
                          {"x-ibiswell-team", "forged"},
                          {"x-copy", "key=the-key"},
                          {"accept", "*/*"}},
                         "tile"};
    EntryDecision decision = fake.admit(request);
    REQUIRE(std::holds_alternative<AdmittedRequest>(decision));
    const AdmittedRequest &admitted = std::get<AdmittedRequest>(decision);
    CHECK(admitted.context.team == "school");
    CHECK(admitted.request.path == "/orders");
    REQUIRE(admitted.request.headers.size() == 1);
    CHECK(admitted.request.headers[0].name == "accept");
}

TEST_CASE("a missing, wrong or withdrawn key is refused")
{
    FakeEntry fake;
    CHECK(bool(fake.refusalOf({"POST", "/catalogue/orders", {}, ""}) == ErrorKind::KeyMissing));
    HttpRequest wrong {"POST", "/catalogue/orders", {{"x-ibiswell-key", "other"}}, ""};
    CHECK(bool(fake.refusalOf(wrong) == ErrorKind::KeyRejected));
    PolicyDocument withdrawn = fake.policy.document();
    withdrawn.version = 2;
    withdrawn.entries.erase("keys/" + sha256Hex("the-key"));
    REQUIRE(fake.policy.adopt(withdrawn));
    HttpRequest known {"POST", "/catalogue/orders", {{"authorization", "Bearer the-key"}}, ""};
    CHECK(bool(fake.refusalOf(known) == ErrorKind::KeyRejected));
}

TEST_CASE("an isolated node serves no keyed route, since it may have missed a key's withdrawal")
{
    FakeEntry fake;
    HttpRequest keyed {"POST", "/catalogue/orders", {{"x-ibiswell-key", "the-key"}}, ""};
    Member other;
    other.node = "other";
    fake.membership.onRoster(TimePoint {1s}, {other});
    fake.connectivity.onPeerMessage(TimePoint {1s});
    TimePoint late = TimePoint {2s} + ConnectivityMonitor::isolationTimeout;
    auto at = [&](TimePoint now) { return fake.entry.admit(now, keyed, "id", fake.random); };
    CHECK(std::holds_alternative<AdmittedRequest>(at(TimePoint {2s})));
    CHECK(bool(std::get<Refusal>(at(late)).kind == ErrorKind::NodeNotReady));
    HttpRequest open {"GET", "/catalogue/open", {}, ""};
    CHECK(std::holds_alternative<AdmittedRequest>(fake.entry.admit(late, open, "id", fake.random)));
    fake.connectivity.onPlatformResponse(late);
    CHECK(std::holds_alternative<AdmittedRequest>(at(late)));
}

TEST_CASE("a request that repeats its key in the path or the body is refused, not forwarded")
{
    FakeEntry fake;
    HttpRequest inBody {"POST", "/catalogue/orders", {{"x-ibiswell-key", "the-key"}}, "=the-key"};
    CHECK(bool(fake.refusalOf(inBody) == ErrorKind::BadRequest));
    HttpRequest inPath {"POST", "/catalogue/the-key", {{"x-ibiswell-key", "the-key"}}, ""};
    CHECK(bool(fake.refusalOf(inPath) == ErrorKind::BadRequest));
}

TEST_CASE("malformed deadlines and request ids are refused")
{
    FakeEntry fake;
    for (const char *bad : {"0", "-1", "soon", "12x", ""}) {
        HttpRequest request {"GET", "/catalogue/open", {{"x-ibiswell-deadline-ms", bad}}, ""};
        EntryDecision decision = fake.admit(request);
        CHECK(std::holds_alternative<Refusal>(decision) == (std::string(bad) != ""));
    }
    HttpRequest request {"GET", "/catalogue/open", {{"x-request-id", "a b"}}, ""};
    CHECK(bool(fake.refusalOf(request) == ErrorKind::BadRequest));
}

TEST_CASE("a node without a policy serves nothing")
{
    Kernel kernel;
    kernel.add<Dialect>("dialect", nativeDialect());
    kernel.add<PolicyStore>("policy");
    kernel.add<PathTable>("paths");
    kernel.add<ConnectivityMonitor>("contact");
    kernel.add<Membership>("membership", Member {});
    EntryAdmission entry(kernel);
    Random random(1);
    auto decision = entry.admit(TimePoint {}, {"GET", "/catalogue/open", {}, ""}, "id", random);
    CHECK(bool(std::get<Refusal>(decision).kind == ErrorKind::NodeNotReady));
}

TEST_CASE("a downstream call inherits team, class, deadline and retries, and can raise none")
{
    FakeEntry fake;
    CallTable calls;
    CallContext context;
    context.team = "school";
    context.priority = PriorityClass::Bulk;
    context.remainingTime = 500ms;
    context.remainingRetries = 2;
    calls.start(TimePoint {1s}, "token", context);
    auto inherited = calls.beginDownstream(TimePoint {1s + 200ms}, "token");
    REQUIRE(inherited);
    HttpRequest request {"POST", "/catalogue/orders", {{"x-ibiswell-deadline-ms", "9000"}}, ""};
    EntryDecision decision = fake.entry.admitDownstream(request, *inherited);
    const AdmittedRequest &admitted = std::get<AdmittedRequest>(decision);
    CHECK(bool(admitted.context.priority == PriorityClass::Bulk));
    CHECK(admitted.context.team == "school");
    CHECK(admitted.context.remainingTime == 300ms);
    CHECK(admitted.context.depth == 1);
    CHECK(admitted.context.remainingRetries == 1);
    inherited->depth = 2;
    auto tooDeep = fake.entry.admitDownstream(request, *inherited);
    CHECK(bool(std::get<Refusal>(tooDeep).kind == ErrorKind::DepthExceeded));
    CHECK_FALSE(calls.beginDownstream(TimePoint {2s}, "unknown-token"));
}

TEST_CASE("downstream calls return unused retries, and overlapping waits count once")
{
    CallTable calls;
    CallContext context;
    context.remainingRetries = 2;
    context.remainingTime = 10s;
    calls.start(TimePoint {}, "t", context);
    CHECK(calls.beginDownstream(TimePoint {1s}, "t")->remainingRetries == 1);
    CHECK(calls.beginDownstream(TimePoint {2s}, "t")->remainingRetries == 1);
    CHECK(calls.beginDownstream(TimePoint {2s}, "t")->remainingRetries == 0);
    calls.endDownstream(TimePoint {3s}, "t", 1, 0.5);
    calls.endDownstream(TimePoint {4s}, "t", 0, 1);
    calls.endDownstream(TimePoint {5s}, "t", 0, 0.9);
    CallTable::CallSummary summary = calls.end(TimePoint {6s}, "t");
    CHECK(summary.remainingRetries == 1);
    CHECK(summary.downstreamWait == 4s);
    CHECK(summary.pathFraction == 0.5);
    CHECK(summary.downstreamCalls == 3);
}

TEST_CASE("a path fraction rises back to 1 when no responses arrive")
{
    PathTable paths;
    PathKey key {"order", "school", PriorityClass::Critical};
    paths.onResponse(TimePoint {1s}, key, 0);
    paths.onResponse(TimePoint {2s}, key, 0);
    CHECK(paths.fraction(TimePoint {2s}, key) < 0.1);
    PathKey other {"order", "school", PriorityClass::Bulk};
    CHECK(paths.fraction(TimePoint {2s}, other) == 1);
    CHECK(paths.fraction(TimePoint {10s}, key) == 1);
    paths.tick(TimePoint {10s});
    CHECK(paths.size() == 0);
}
