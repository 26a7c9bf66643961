/**
 * The store comes back from an older copy: what was written since is gone until its writers write
 * it again, and revisions are given out a second time.
 */

#include "platform_deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <thread>

using namespace ibiswell;
using namespace ibiswell::test;

namespace {

using namespace std::chrono_literals;

/** Within this time a change is in force, also while the store was disrupted shortly before. */
constexpr auto maximumDelay = 7s;
constexpr auto storeAbsence = 300ms;
constexpr int otherWrites = 20;
/** More than were lost, so that the revision passes the positions of watches from before. */
constexpr int writesAfterRestore = 40;

constexpr const char *bothKeys = R"("key-1", "key-2")";
constexpr const char *firstKey = R"("key-1")";
const std::string configPath = "/api/objects/config/main";
const std::string evacuationsPath = "/api/objects/evacuations";
const std::string evacuation = R"({"metadata": {"name": "a"}, "spec": {}})";

bool within(std::chrono::milliseconds limit, const std::function<bool()> &condition)
{
    auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

void startNodes(PlatformDeployment &platform, int count)
{
    for (int node = 0; node < count; ++node)
        platform.addTarget("shop");
    for (int node = 0; node < count; ++node) {
        REQUIRE(eventually([&] { return platform.isReady(node); }));
        REQUIRE(eventually([&] { return platform.isServing(node); }));
    }
}

int statusWithKey(PlatformDeployment &platform, int node, const std::string &key)
{
    return platform.sendRequest(node, "GET", "/x/1", "era", key).status;
}

/** How the nodes are kept from the store while it goes back and is written to again. */
enum class Absence : std::uint8_t { StoreAway, NodesPaused, WatchesKept };

void goBack(PlatformDeployment &platform, int nodes, Absence absence,
            const std::function<void()> &writeAgain)
{
    if (absence == Absence::NodesPaused) {
        for (int node = 0; node < nodes; ++node)
            platform.node(node).signal(SIGSTOP);
    }
    bool keepsWatches = absence == Absence::WatchesKept;
    platform.setStoreFault(fmt::format(R"({{"mode": "{}", "restore": true, "keep_watches": {}}})",
                                       absence == Absence::StoreAway ? "busy" : "", keepsWatches));
    writeAgain();
    std::this_thread::sleep_for(storeAbsence);
    platform.setStoreFault(R"({"mode": ""})");
    for (int node = 0; node < nodes; ++node)
        platform.node(node).signal(SIGCONT);
}

/** A key that was withdrawn after the store went back is refused by all nodes. */
void checkWithdrawal(int firstPort, Absence absence, std::chrono::milliseconds limit)
{
    constexpr int nodes = 2;
    PlatformDeployment platform(firstPort);
    startNodes(platform, nodes);
    platform.writeStore("PUT", configPath, makeConfig(2, "shop", firstKey));
    for (int node = 0; node < nodes; ++node)
        REQUIRE(eventually([&] { return statusWithKey(platform, node, "key-2") == 401; }));
    platform.setStoreFault(R"({"copy": true})");
    std::string granted = makeConfig(3, "shop", bothKeys);
    platform.writeStore("PUT", configPath, granted);
    platform.raiseRevision(otherWrites, "lost");
    for (int node = 0; node < nodes; ++node)
        REQUIRE(eventually([&] { return statusWithKey(platform, node, "key-2") == 200; }));
    // A second event that the nodes' watches see, so that their positions lie above the lost
    // writes.
    platform.writeStore("PUT", configPath, makeConfig(4, "shop", bothKeys));
    std::this_thread::sleep_for(storeAbsence);
    goBack(platform, nodes, absence, [&] {
        platform.writeStore("PUT", configPath, makeConfig(4, "shop", bothKeys));
        platform.writeStore("PUT", configPath, makeConfig(5, "shop", firstKey));
        platform.raiseRevision(writesAfterRestore, "again");
    });
    for (int node = 0; node < nodes; ++node)
        CHECK_MESSAGE(within(limit, [&] { return statusWithKey(platform, node, "key-2") == 401; }),
                      "node " << node);
}

/** A zone whose evacuation was written again and then removed is in service again. */
void checkZoneReturn(int firstPort, Absence absence, std::chrono::milliseconds limit)
{
    constexpr int nodes = 2;
    PlatformDeployment platform(firstPort);
    startNodes(platform, nodes);
    platform.setStoreFault(R"({"copy": true})");
    platform.raiseRevision(otherWrites, "lost");
    platform.writeStore("POST", evacuationsPath, evacuation);
    for (int node = 0; node < nodes; ++node)
        REQUIRE(eventually([&] { return !platform.isServing(node); }));
    goBack(platform, nodes, absence,
           [&] { platform.writeStore("POST", evacuationsPath, evacuation); });
    std::this_thread::sleep_for(1s);
    platform.writeStore("DELETE", evacuationsPath + "/a");
    for (int node = 0; node < nodes; ++node)
        CHECK_MESSAGE(within(limit, [&] { return platform.isServing(node); }), "node " << node);
}

} // namespace

// Guard against the incident CONFIG: a watch went on from a revision that was given out again.
TEST_CASE("CONFIG: a key withdrawn after the store went back is refused")
{
    checkWithdrawal(20500, Absence::StoreAway, maximumDelay);
}

TEST_CASE("CONFIG: a key withdrawn while nodes were paused and the store went back is refused")
{
    checkWithdrawal(20540, Absence::NodesPaused, maximumDelay);
}

TEST_CASE("CONFIG: a watch that outlasts the return of the store is given up")
{
    constexpr auto discoveryInterval = 12s;
    checkWithdrawal(20580, Absence::WatchesKept, discoveryInterval + maximumDelay);
}

TEST_CASE("CONFIG: a zone whose evacuation ended after the store went back is in service")
{
    checkZoneReturn(20620, Absence::StoreAway, maximumDelay);
}

TEST_CASE("CONFIG: a zone's evacuation that the store lost for good ends")
{
    constexpr int nodes = 2;
    PlatformDeployment platform(20660);
    startNodes(platform, nodes);
    platform.setStoreFault(R"({"copy": true})");
    platform.writeStore("POST", evacuationsPath, evacuation);
    for (int node = 0; node < nodes; ++node)
        REQUIRE(eventually([&] { return !platform.isServing(node); }));
    goBack(platform, nodes, Absence::StoreAway, [] {});
    for (int node = 0; node < nodes; ++node)
        CHECK_MESSAGE(within(maximumDelay, [&] { return platform.isServing(node); }),
                      "node " << node);
}

// Guards against a fix of CONFIG that takes the loss of an evacuation for its end.
TEST_CASE("EVAC: a zone stays out while the store has lost its evacuation for a moment")
{
    constexpr int nodes = 2;
    PlatformDeployment platform(20740);
    startNodes(platform, nodes);
    platform.setStoreFault(R"({"copy": true})");
    platform.writeStore("POST", evacuationsPath, evacuation);
    for (int node = 0; node < nodes; ++node)
        REQUIRE(eventually([&] { return !platform.isServing(node); }));
    goBack(platform, nodes, Absence::StoreAway, [] {});
    auto isServed = [&] { return platform.isServing(0) || platform.isServing(1); };
    CHECK_FALSE(within(1500ms, isServed));
    platform.writeStore("POST", evacuationsPath, evacuation);
    CHECK_FALSE(within(maximumDelay, isServed));
    platform.writeStore("DELETE", evacuationsPath + "/a");
    for (int node = 0; node < nodes; ++node)
        CHECK_MESSAGE(within(maximumDelay, [&] { return platform.isServing(node); }),
                      "node " << node);
}

TEST_CASE("CONFIG: nodes whose objects the store lost register again")
{
    constexpr int nodes = 3;
    PlatformDeployment platform(20700);
    platform.setStoreFault(R"({"copy": true})");
    startNodes(platform, nodes);
    goBack(platform, nodes, Absence::StoreAway, [] {});
    auto countRegistered = [&] {
        std::string listing =
            request(platform.storePort(), "GET", "/api/objects/ibiswell-nodes").body;
        int count = 0;
        for (int node = 0; node < nodes; ++node)
            count += listing.find(fmt::format(R"("name":"node-{}")", node)) != std::string::npos;
        return count;
    };
    CHECK(within(maximumDelay, [&] { return countRegistered() == nodes; }));
}
