#include "ibiswell/core/hash.h"
#include "ibiswell/decisions/call_table.h"
#include "ibiswell/decisions/contact.h"
#include "ibiswell/decisions/entry_admission.h"
#include "ibiswell/decisions/membership.h"
#include "ibiswell/decisions/path_table.h"
#include "ibiswell/decisions/policy_store.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

/** An entry node's decisions with one open and one keyed route. */
struct FakeEntry
{
    Kernel kernel;
    Dialect &dialect = kernel.add<Dialect>("dialect", nativeDialect());
    PolicyStore &policy = kernel.add<PolicyStore>("policy");
    PathTable &paths = kernel.add<PathTable>("paths");
    Contact &contact = kernel.add<Contact>("contact");
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
    EntryVerdict admit(HttpRequest request)
    {
        return entry.admit(TimePoint {1s}, std::move(request), "id-1", random);
    }
    ErrorKind refusalOf(HttpRequest request)
    {
        EntryVerdict verdict = admit(std::move(request));
        REQUIRE(std::holds_alternative<Refusal>(verdict));
        CHECK(bool(std::get<Refusal>(verdict).execution == Execution::NotRun));
        return std::get<Refusal>(verdict).kind;
    }
};

} // namespace

TEST_CASE("a keyed route runs only for the team of its key, which goes no further")
{
    FakeEntry fake;
    HttpRequest request {"POST",
                         "/catalogue/orders",
                         {{"X-Ibiswell-Key", "the-key"},
                          {"x-ibiswell-team", "forged"},
                          {"x-copy", "key=the-key"},
                          {"accept", "*/*"}},
                         "tile"};
    EntryVerdict verdict = fake.admit(request);
    REQUIRE(std::holds_alternative<Entered>(verdict));
    const Entered &entered = std::get<Entered>(verdict);
    CHECK(entered.context.team == "school");
    CHECK(entered.request.path == "/orders");
    REQUIRE(entered.request.headers.size() == 1);
    CHECK(entered.request.headers[0].name == "accept");
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

TEST_CASE("a node that hears nobody serves no keyed route, since a key may be withdrawn")
{
    FakeEntry fake;
    HttpRequest keyed {"POST", "/catalogue/orders", {{"x-ibiswell-key", "the-key"}}, ""};
    Member other;
    other.node = "other";
    fake.membership.onRoster(TimePoint {1s}, {other});
    fake.contact.onPeerHeard(TimePoint {1s});
    TimePoint late = TimePoint {2s} + Contact::silenceLimit;
    auto at = [&](TimePoint now) { return fake.entry.admit(now, keyed, "id", fake.random); };
    CHECK(std::holds_alternative<Entered>(at(TimePoint {2s})));
    CHECK(bool(std::get<Refusal>(at(late)).kind == ErrorKind::NodeNotReady));
    HttpRequest open {"GET", "/catalogue/open", {}, ""};
    CHECK(std::holds_alternative<Entered>(fake.entry.admit(late, open, "id", fake.random)));
    fake.contact.onPlatformHeard(late);
    CHECK(std::holds_alternative<Entered>(at(late)));
}

TEST_CASE("a key repeated in the path or the body is refused, not passed on")
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
        EntryVerdict verdict = fake.admit(request);
        CHECK(std::holds_alternative<Refusal>(verdict) == (std::string(bad) != ""));
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
    kernel.add<Contact>("contact");
    kernel.add<Membership>("membership", Member {});
    EntryAdmission entry(kernel);
    Random random(1);
    auto verdict = entry.admit(TimePoint {}, {"GET", "/catalogue/open", {}, ""}, "id", random);
    CHECK(bool(std::get<Refusal>(verdict).kind == ErrorKind::NodeNotReady));
}

TEST_CASE("a call below inherits team, class, deadline and budget, and can raise none of them")
{
    FakeEntry fake;
    CallTable calls;
    CallContext context;
    context.team = "school";
    context.priority = PriorityClass::Bulk;
    context.remainingTime = 500ms;
    context.remainingRetries = 2;
    calls.start(TimePoint {1s}, "token", context);
    auto inherited = calls.beginBelow(TimePoint {1s + 200ms}, "token");
    REQUIRE(inherited);
    HttpRequest request {"POST", "/catalogue/orders", {{"x-ibiswell-deadline-ms", "9000"}}, ""};
    EntryVerdict verdict = fake.entry.admitBelow(request, *inherited);
    const Entered &entered = std::get<Entered>(verdict);
    CHECK(bool(entered.context.priority == PriorityClass::Bulk));
    CHECK(entered.context.team == "school");
    CHECK(entered.context.remainingTime == 300ms);
    CHECK(entered.context.depth == 1);
    CHECK(entered.context.remainingRetries == 1);
    inherited->depth = 2;
    auto tooDeep = fake.entry.admitBelow(request, *inherited);
    CHECK(bool(std::get<Refusal>(tooDeep).kind == ErrorKind::DepthExceeded));
    CHECK_FALSE(calls.beginBelow(TimePoint {2s}, "unknown-token"));
}

TEST_CASE("retries handed below come back unspent, and time below counts once when it overlaps")
{
    CallTable calls;
    CallContext context;
    context.remainingRetries = 2;
    context.remainingTime = 10s;
    calls.start(TimePoint {}, "t", context);
    CHECK(calls.beginBelow(TimePoint {1s}, "t")->remainingRetries == 1);
    CHECK(calls.beginBelow(TimePoint {2s}, "t")->remainingRetries == 1);
    CHECK(calls.beginBelow(TimePoint {2s}, "t")->remainingRetries == 0);
    calls.endBelow(TimePoint {3s}, "t", 1, 0.5);
    calls.endBelow(TimePoint {4s}, "t", 0, 1);
    calls.endBelow(TimePoint {5s}, "t", 0, 0.9);
    CallTable::Ended ended = calls.end(TimePoint {6s}, "t");
    CHECK(ended.remainingRetries == 1);
    CHECK(ended.waitedBelow == 4s);
    CHECK(ended.pathFraction == 0.5);
    CHECK(ended.callsBelow == 3);
}

TEST_CASE("a path that is closed opens again when nothing is heard of it")
{
    PathTable paths;
    PathKey key {"order", "school", PriorityClass::Critical};
    paths.onAnswer(TimePoint {1s}, key, 0);
    paths.onAnswer(TimePoint {2s}, key, 0);
    CHECK(paths.fraction(TimePoint {2s}, key) < 0.1);
    PathKey other {"order", "school", PriorityClass::Bulk};
    CHECK(paths.fraction(TimePoint {2s}, other) == 1);
    CHECK(paths.fraction(TimePoint {10s}, key) == 1);
    paths.tick(TimePoint {10s});
    CHECK(paths.size() == 0);
}
