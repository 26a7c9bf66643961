#include "dialect.h"
#include "front_settings.h"
#include "policy_format.h"
#include "store_format.h"
#include "target_reports.h"

#include "ibiswell/policy/object_reader.h"
#include "ibiswell/policy/policy.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

const std::string config = R"({"version": "0000000c",
    "services": [{"name": "shop", "health-path": "/healthz", "max-connections": 940,
                  "cold-per-s": 30.0, "slow-start-s": 3.0, "protocol": "h1", "tls": false}],
    "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3,
               "idle-timeout-s": 15},
    "tenants": [{"name": "club", "api-keys": ["k1", "k2"], "priority": 1, "rate-per-s": 203,
                 "burst": 203}, {"name": "free", "api-keys": ["k3"]}],
    "virtual-hosts": [{"host": "a.example", "paths": [
        {"name": "browse", "path-prefix": "/x/", "kind": "safe", "timeout-s": 5, "aim-s": 1.2,
         "priority": 2, "max-attempts": 2, "public": false,
         "traffic-split": [{"service": "shop", "weight": 90}, {"service": "desk", "weight": 10}]},
        {"name": "order", "path-prefix": "/y/", "kind": "unsafe", "timeout-s": 5, "priority": 0,
         "service": "desk", "max-attempts": 2, "public": true}]}]})";

std::optional<Policy> parsePolicy(const std::string &text, Error &error)
{
    auto value = parseJson(text, ErrorKind::InvalidPolicy, error);
    auto document = value ? platform::parsePolicyConfig(*value, error) : std::nullopt;
    return document ? compilePolicy(*document, error) : std::nullopt;
}

TargetReport parseReport(const std::string &path, const std::string &body)
{
    auto message = platform::parseTargetRequest({"POST", path, {}, body});
    REQUIRE(std::holds_alternative<TargetReport>(message));
    return std::get<TargetReport>(message);
}

} // namespace

TEST_CASE("a configuration is converted to a policy")
{
    Error error;
    auto policy = parsePolicy(config, error);
    REQUIRE_MESSAGE(policy, error.detail);
    CHECK(policy->version == 12);
    const RoutePolicy *browse = policy->findRouteByHost("a.example", "/x/1");
    REQUIRE(browse);
    CHECK(browse->idempotent);
    CHECK_FALSE(browse->open);
    CHECK(browse->timeout == 5s);
    CHECK(browse->latencyObjective == 1200ms);
    CHECK(browse->maximumTargets == 2);
    CHECK((browse->priority == PriorityClass::Normal));
    CHECK(browse->split.size() == 2);
    const RoutePolicy *order = policy->findRouteByHost("a.example", "/y/1");
    REQUIRE(order);
    CHECK_FALSE(order->idempotent);
    CHECK(order->open);
    CHECK((order->priority == PriorityClass::Critical));
    REQUIRE(policy->teamOfKey("k2"));
    CHECK(*policy->teamOfKey("k2") == "club");
    CHECK(policy->team("club").ratePerSecond == 203);
    CHECK((policy->team("club").priority == PriorityClass::Important));
    CHECK(policy->team("free").unlimited);
    CHECK(policy->services.at("shop").coldRequestsPerSecond == 30);
    REQUIRE(policy->limits);
    CHECK(policy->limits->idleConnectionTimeout == 15s);
}

TEST_CASE("errors in a configuration name the invalid fields")
{
    Error error;
    CHECK_FALSE(parsePolicy(R"({"version": "zz", "virtual-hosts": [{"paths": []}]})", error));
    CHECK(error.detail.find("config.version") != std::string::npos);
    CHECK(error.detail.find("host") != std::string::npos);
}

// An invalid report must be rejected; otherwise its missing or wrong values would take effect as
// the target's slots and state.
TEST_CASE("a heartbeat is parsed, and an invalid one is an error")
{
    TargetReport report = parseReport("/api/instances/i-7/heartbeat", R"({"address": "10.0.0.9:80",
        "info": {"service": "shop", "version": "v1", "zone": "a", "slots": 140}, "born": 1782,
        "status": {"state": "ready", "seq": 4, "warmup-left-s": 2.5}})");
    CHECK(report.instance == "i-7");
    CHECK(report.service == "shop");
    CHECK(report.slots == 140);
    CHECK(report.sequence == 4);
    CHECK(report.startedAtMs == 1782);
    CHECK(report.remainingWarmup == 2500ms);
    CHECK_FALSE(report.draining);
    for (const char *invalid : {"", "{", R"({"info": {}})",
                                R"({"info": {"service": "shop", "slots": "many"},
                                "status": {"state": "ready", "seq": 1}})",
                                R"({"info": {"service": "shop", "slots": 2},
                                "status": {"state": "odd", "seq": 1}})"}) {
        auto message =
            platform::parseTargetRequest({"POST", "/api/instances/i-7/heartbeat", {}, invalid});
        CHECK(std::holds_alternative<Error>(message));
    }
    auto deregistration =
        platform::parseTargetRequest({"POST", "/api/instances/i-7/deregister", {}, ""});
    REQUIRE(std::holds_alternative<platform::Deregistration>(deregistration));
    CHECK(std::get<platform::Deregistration>(deregistration).instance == "i-7");
}

// The platform's clients may send a request again after a status that guarantees no execution. If a
// request that may have run got such a status, it could run twice.
TEST_CASE("statuses that guarantee no execution are given only to requests that did not run")
{
    Dialect dialect = platform::makeDialect();
    for (const ErrorResponse &entry : errorTable()) {
        Refusal unknown {entry.kind, "", Execution::Unknown, 100ms};
        int status = dialect.writeRefusal(dialect.names, "r", unknown).status;
        CHECK((status == 502 || status == 504));
    }
    Refusal refused {ErrorKind::QueueFull, "", Execution::NotRun, 250ms};
    HttpResponse response = dialect.writeRefusal(dialect.names, "r", refused);
    CHECK(response.status == 503);
    CHECK(response.header("Retry-After") == "0.250");
    refused.kind = ErrorKind::RateExceeded;
    CHECK(dialect.writeRefusal(dialect.names, "r", refused).status == 429);
    refused.kind = ErrorKind::KeyRejected;
    CHECK(dialect.writeRefusal(dialect.names, "r", refused).status == 401);
    refused.kind = ErrorKind::NodeNotReady;
    CHECK(dialect.writeRefusal(dialect.names, "r", refused).status == 503);
}

// Other writers share the store. If one invalid object made the whole listing invalid, a node would
// no longer learn of policies, zones and other nodes.
TEST_CASE("responses of the store are distinguished, and an invalid object hides no other")
{
    StoreFormat format = platform::makeStoreFormat();
    HttpResponse response {200, {}, R"({"items": [{"metadata": {"name": "a", "revision": 3},
        "spec": {"x": 1}, "status": null}, {"metadata": 7}, {"metadata": {"name": "b"}}],
        "more": true, "current-rev": 530})"};
    StoreReply reply = format.parseListing(response);
    REQUIRE(std::holds_alternative<StoreListing>(reply));
    const StoreListing &listing = std::get<StoreListing>(reply);
    CHECK(listing.objects.size() == 2);
    CHECK(listing.hasMore);
    CHECK(listing.position.revision == 530);
    response.body = R"({"events": [{"removed": true, "object": {"metadata": {"name": "a"}}}],
        "current-rev": 533})";
    reply = format.parseChanges(response);
    REQUIRE(std::holds_alternative<StoreChanges>(reply));
    CHECK(std::get<StoreChanges>(reply).objects.front().removed);
    response.status = 410;
    CHECK(std::holds_alternative<StoreHistoryGone>(format.parseChanges(response)));
    response.status = 409;
    CHECK(std::holds_alternative<StoreConflict>(format.parseWriteResponse(response)));
    for (int status : {429, 500, 503}) {
        response.status = status;
        CHECK(std::holds_alternative<Error>(format.parseChanges(response)));
    }
    HttpResponse garbage {200, {}, "<html>"};
    CHECK(std::holds_alternative<Error>(format.parseListing(garbage)));
}

// A parser that reads the whole body fails for one entry; the node then follows nothing.
TEST_CASE("an entry of another writer that cannot be parsed hides no other")
{
    StoreFormat format = platform::makeStoreFormat();
    std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    const std::vector<std::string> oddEntries {
        fmt::format(R"({{"metadata": {{"name": "odd"}}, "spec": {}}})", deep.substr(99'960, 80)),
        fmt::format(R"({{"metadata": {{"name": "odd"}}, "spec": {}}})", deep),
        "{\"metadata\": {\"name\": \"odd\"}, \"spec\": {\"address\": \"\xff\xfe\"}}",
        R"({"metadata": {"name": "odd"}, "spec": {"port": 1e99999}})",
        R"({"metadata": {"name": "odd", "revision": 1e300}, "spec": {}})",
        R"({"metadata": {"name": ["odd"]}, "spec": {}})",
        R"({"metadata": {"name": "odd"}, "spec": nothing})",
        R"({"metadata": ")" + std::string(1 << 20, 'x') + R"("})",
        "7",
    };
    for (const std::string &odd : oddEntries) {
        std::string good = R"({"metadata": {"name": "good", "revision": 3}, "spec": {"x": 1}})";
        HttpResponse response {200,
                               {},
                               fmt::format(R"({{"items": [{}, {}, {}], "more": false,
            "current-rev": 530}})",
                                           good, odd, good)};
        StoreReply reply = format.parseListing(response);
        REQUIRE_MESSAGE(std::holds_alternative<StoreListing>(reply), odd.substr(0, 80));
        const StoreListing &listing = std::get<StoreListing>(reply);
        CHECK(listing.objects.size() + listing.unreadable.size() == 3);
        CHECK(listing.objects.front().name == "good");
        CHECK(listing.objects.back().name == "good");
        response.body = fmt::format(R"({{"events": [{{"removed": false, "object": {}}},
            {{"removed": false, "object": {}}}], "current-rev": 533}})",
                                    odd, good);
        reply = format.parseChanges(response);
        REQUIRE(std::holds_alternative<StoreChanges>(reply));
        CHECK(std::get<StoreChanges>(reply).objects.back().name == "good");
    }
}

// A page may hold unreadable entries only; the pages after it must be read all the same.
TEST_CASE("an unreadable entry is named, continues a listing, and can be removed")
{
    StoreFormat format = platform::makeStoreFormat();
    std::string deep = std::string(40, '[') + std::string(40, ']');
    std::string odd = fmt::format(R"({{"metadata": {{"name": "odd 1&2"}}, "spec": {}}})", deep);
    HttpResponse response {200,
                           {},
                           fmt::format(R"({{"items": [{}], "more": true,
        "current-rev": 530}})",
                                       odd)};
    StoreReply reply = format.parseListing(response);
    REQUIRE(std::holds_alternative<StoreListing>(reply));
    const StoreListing &listing = std::get<StoreListing>(reply);
    REQUIRE(listing.unreadable.size() == 1);
    CHECK(listing.unreadable.front().name == "odd 1&2");
    CHECK(listing.lastName == "odd 1&2");
    CHECK(format.listRequest("nodes", listing.lastName, Freshness::Current).path
          == "/api/objects/nodes?after=odd%201%262");
    response.body =
        fmt::format(R"({{"events": [{{"removed": true, "object": {}}}], "current-rev": 1}})", odd);
    reply = format.parseChanges(response);
    REQUIRE(std::holds_alternative<StoreChanges>(reply));
    REQUIRE(std::get<StoreChanges>(reply).objects.size() == 1);
    CHECK(std::get<StoreChanges>(reply).objects.front().removed);
}

TEST_CASE("errors in the front's settings name the field, and bounds may have any of three forms")
{
    Error error;
    CHECK_FALSE(platform::parseFrontSettings(R"({"readiness": "10.0.0.1"})", error));
    CHECK(error.detail.find("front.readiness") != std::string::npos);
    CHECK(error.detail.find("front.reports") != std::string::npos);
    for (const char *bounds : {R"(["grace-s=4", "strict-revoke=false"])", R"("grace-s=4,ack-s=4")",
                               R"({"grace-s": 4})"}) {
        std::string text = std::string(R"({"readiness": "10.0.0.1:1", "reports": "10.0.0.1:2",
            "bounds": )")
            + bounds + "}";
        auto settings = platform::parseFrontSettings(text, error);
        REQUIRE_MESSAGE(settings, error.detail);
        CHECK(settings->stopLimit < 4s);
        CHECK(settings->stopLimit > 3s);
    }
}
