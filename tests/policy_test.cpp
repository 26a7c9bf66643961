#include "ibiswell/core/hash.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/policy/policy_change.h"
#include "ibiswell/policy/policy_document.h"
#include "ibiswell/policy/stored_policy.h"

#include <doctest/doctest.h>

using namespace ibiswell;

namespace {

const std::string validPolicy = R"({
    // comments are allowed
    "defaults": { "deadline_ms": 1500, "rate_per_s": 10, "burst": 20 },
    "teams": { "school": { "rate_per_s": 5 } },
    "routes": {
        "browse": { "service": "catalogue", "path": "/", "idempotent": true, "open": true },
        "order": { "service": "catalogue", "method": "POST", "path": "/orders",
                   "priority": "critical" },
    },
})";

PolicyDocument documentOf(const std::string &text, std::uint64_t version = 1)
{
    Error error;
    auto document = parsePolicyDocument(text, error);
    REQUIRE_MESSAGE(document, error.detail);
    document->version = version;
    return *document;
}

std::string errorsOf(const std::string &text)
{
    Error error;
    auto document = parsePolicyDocument(text, error);
    if (document && compilePolicy(*document, error))
        return "";
    return error.detail;
}

} // namespace

TEST_CASE("the route with the longest matching path prefix is selected")
{
    Error error;
    auto policy = compilePolicy(documentOf(validPolicy), error);
    REQUIRE(policy);
    CHECK(policy->findRoute("catalogue", "POST", "/orders/7")->name == "order");
    CHECK(policy->findRoute("catalogue", "GET", "/orders/7")->name == "browse");
    CHECK(policy->findRoute("ledger", "GET", "/") == nullptr);
    CHECK(policy->team("school").ratePerSecond == 5);
    CHECK(policy->team("unknown").ratePerSecond == 10);
}

TEST_CASE("all errors are reported at once, with the path or line and the allowed range")
{
    std::string errors = errorsOf(R"({"defaults": {"deadline_ms": 0, "misspelt": 1},
        "routes": {"a": {"service": "s", "path": "no-slash"}}})");
    CHECK(errors.find("defaults.deadline_ms: must be a number from 1 to 600000")
          != std::string::npos);
    CHECK(errors.find("defaults.misspelt: is not a known field") != std::string::npos);
    CHECK(errors.find("routes.a.path: must start with \"/\"") != std::string::npos);
    CHECK(errorsOf("{\n  \"teams\": {,}\n}").find("line 2") != std::string::npos);
    CHECK(errorsOf("{} x").find("extra data") != std::string::npos);
    CHECK(errorsOf("{\"teamz\": {}}").find("teamz: is not a known field") != std::string::npos);
}

TEST_CASE("an exception needs a reason and an existing team or route")
{
    std::string errors =
        errorsOf(R"({"exceptions": {"x": {"applies_to": "team:none", "set": {}}}})");
    CHECK(errors.find("exceptions.x.reason: is required") != std::string::npos);
    CHECK(errors.find("exceptions.x.applies_to: must be") != std::string::npos);
}

TEST_CASE("an exception overrides the settings of its team")
{
    PolicyDocument document = documentOf(validPolicy);
    Error error;
    REQUIRE(applyChange(document,
                        SetEntry {"exceptions/holiday",
                                  R"({"reason": "moon sighted", "applies_to": "team:school",
                                     "set": {"rate_per_s": 50}})"},
                        error));
    CHECK(compilePolicy(document, error)->team("school").ratePerSecond == 50);
    REQUIRE(applyChange(document, RemoveEntry {"exceptions/holiday"}, error));
    CHECK(compilePolicy(document, error)->team("school").ratePerSecond == 5);
}

TEST_CASE("a change that would make the policy invalid leaves it unchanged")
{
    PolicyDocument document = documentOf(validPolicy);
    PolicyDocument before = document;
    Error error;
    CHECK_FALSE(applyChange(document, SetEntry {"keys/short", R"({"team": "school"})"}, error));
    CHECK(document == before);
    CHECK_FALSE(applyChange(document, RemoveEntry {"teams/none"}, error));
}

TEST_CASE("a removed key has no team, and the document holds no key in plain text")
{
    PolicyDocument document = documentOf(validPolicy);
    Error error;
    std::string entry = "keys/" + sha256Hex("secret-key");
    REQUIRE(applyChange(document, SetEntry {entry, R"({"team": "school"})"}, error));
    CHECK(serializePolicyDocument(document).find("secret-key") == std::string::npos);
    CHECK(*compilePolicy(document, error)->teamOfKey("secret-key") == "school");
    REQUIRE(applyChange(document, RemoveEntry {entry}, error));
    CHECK(compilePolicy(document, error)->teamOfKey("secret-key") == nullptr);
}

TEST_CASE("a policy in force never reverts")
{
    PolicyStore store;
    CHECK(store.adopt(documentOf(validPolicy, 5)));
    CHECK_FALSE(store.adopt(documentOf(validPolicy, 5)));
    CHECK_FALSE(store.adopt(documentOf("{}", 4)));
    CHECK(store.version() == 5);
    CHECK(store.policy().routes.size() == 2);
}

TEST_CASE("an invalid policy does not replace the one in force")
{
    PolicyStore store;
    REQUIRE(store.adopt(documentOf(validPolicy, 1)));
    PolicyDocument broken = documentOf(validPolicy, 2);
    broken.entries["teams/school"] = R"({"rate_per_s": -1})";
    CHECK_FALSE(store.adopt(broken));
    CHECK(store.version() == 1);
    CHECK(store.lastError()->detail.find("teams.school.rate_per_s") != std::string::npos);
}

TEST_CASE("a node with an older version gets the deltas, one with none the whole document")
{
    PolicyStore current;
    PolicyStore outdated;
    PolicyDocument document = documentOf(validPolicy, 1);
    REQUIRE(current.adopt(document));
    REQUIRE(outdated.adopt(document));
    for (std::uint64_t version = 2; version <= 4; ++version) {
        document.version = version;
        document.entries["teams/team-" + std::to_string(version)] = "{}";
        REQUIRE(current.adopt(document));
    }
    PolicyResponse response = current.respondToPull({outdated.version(), 0});
    auto *deltas = std::get_if<std::vector<PolicyDelta>>(&response.update);
    REQUIRE(deltas);
    CHECK(deltas->size() == 3);
    CHECK(deltas->front().edits.size() == 1);
    CHECK(outdated.adopt(response));
    CHECK(outdated.document() == current.document());
    CHECK(std::holds_alternative<PolicyDocument>(current.respondToPull({0, 0}).update));
    CHECK(std::holds_alternative<std::monostate>(current.respondToPull({4, 0}).update));
}

TEST_CASE("a writer whose response was lost finds its change, also when others wrote after it")
{
    StoredPolicy stored {documentOf(validPolicy), {}};
    stored.addChange("mine");
    for (int i = 0; i < 20; ++i)
        stored.addChange("other-" + std::to_string(i));
    Error error;
    auto read = parseStoredPolicy(serializeStoredPolicy(stored), 9, error);
    REQUIRE(read);
    CHECK(read->hasChange("mine"));
    CHECK(read->document.version == 9);
    CHECK(read->document.entries == stored.document.entries);
}

TEST_CASE("routes with a host are found by the longest prefix of whole segments")
{
    Error error;
    auto document = parsePolicyDocument(R"({"routes": {
        "all": {"service": "one", "host": "shop.example", "path": "/"},
        "part": {"service": "two", "host": "shop.example", "path": "/a/b/"},
        "other": {"host": "other.example", "path": "/a/",
                  "split": [{"service": "one", "weight": 90}, {"service": "two", "weight": 10}]}}})",
                                        error);
    REQUIRE(document);
    document->version = 1;
    auto policy = compilePolicy(*document, error);
    REQUIRE_MESSAGE(policy, error.detail);
    REQUIRE(policy->findRouteByHost("shop.example", "/a/b/c?x=/"));
    CHECK(policy->findRouteByHost("shop.example", "/a/b/c?x=/")->name == "part");
    CHECK(policy->findRouteByHost("shop.example", "/a/bc")->name == "all");
    CHECK(policy->findRouteByHost("other.example", "/a/1")->split.size() == 2);
    CHECK(policy->findRouteByHost("other.example", "/b/1") == nullptr);
    CHECK(policy->findRouteByHost("unknown.example", "/a/1") == nullptr);
}

TEST_CASE("only a later position replaces the zones that the store takes out of service")
{
    PolicyStore store;
    TimePoint now {std::chrono::seconds(1)};
    CHECK(store.adoptZones(now, {{1, 5}, {"a"}}) == ZonesUpdate::Changed);
    CHECK(store.isZoneOut("a"));
    CHECK(store.adoptZones(now, {{1, 5}, {}}) == ZonesUpdate::Older);
    CHECK(store.adoptZones(now, {{1, 4}, {}}) == ZonesUpdate::Older);
    CHECK(store.isZoneOut("a"));
    CHECK(store.respondToPull({0, {1, 4}}).zones.zones.size() == 1);
    CHECK_FALSE(store.respondToPull({0, {1, 5}}).zones.position.isKnown());
    CHECK(store.adoptZones(now, {{1, 7}, {}}) == ZonesUpdate::Changed);
    CHECK_FALSE(store.isZoneOut("a"));
}
