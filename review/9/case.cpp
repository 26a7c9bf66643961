#include "../lib-2/harness.h"

#include <string>
#include <vector>

using namespace review;

namespace {

using namespace std::chrono_literals;

const std::string keptKey = "kept-key-4f7a91c2d3";
const std::string withdrawnKey = "withdrawn-key-09be1";
constexpr int timeoutSeconds = 3; // of the routes
constexpr auto stableWindow = 3000ms; // stable-window-s
constexpr auto silence = 3000ms; // for_s is 9 s at most
constexpr auto changeInSilence = 1000ms; // after the start of a silence
constexpr auto configBound = 2000ms; // config-s
constexpr auto outerBound = 5000ms; // outer-s: as if the store had been unstable
constexpr auto observation = 40s; // from the acknowledgement of the change
constexpr auto orderInterval = 250ms;

struct Counts
{
    int sent = 0; ///< Orders with the withdrawn key, sent later than the bound.
    int ran = 0; ///< Those of them that were served.
    double lastAt = 0; ///< When the last of them was sent, in seconds from the acknowledgement.
};

int order(const Node &node, const std::string &id, const std::string &key)
{
    return exchange(node.callerPort(),
                    requestText("POST", "/y/" + id,
                                {{"Host", "shop.example"},
                                 {"Attempt-Id", id},
                                 {"Deadline-Ms", "3000"},
                                 {"Credential", key}}))
        .status();
}

/** Sends orders with the withdrawn key until all nodes refuse it. */
Counts sendOrders(const std::vector<Node *> &nodes, Clock::time_point acknowledged, Record &record)
{
    Counts counts;
    std::vector<int> last(nodes.size(), 0);
    for (int round = 0; Clock::now() < acknowledged + observation; ++round) {
        bool areAllRefusing = true;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            std::string id = "late-" + std::to_string(round) + "-" + std::to_string(i);
            Clock::time_point sentAt = Clock::now();
            double seconds = std::chrono::duration<double>(sentAt - acknowledged).count();
            int status = order(*nodes[i], id, withdrawnKey);
            areAllRefusing = areAllRefusing && status == 401;
            if (status != last[i])
                record.add(id + " to " + nodes[i]->name() + ", sent " + std::to_string(seconds)
                           + " s after the acknowledgement: status " + std::to_string(status));
            last[i] = status;
            if (sentAt <= acknowledged + configBound + outerBound)
                continue;
            ++counts.sent;
            if (status == 200) {
                ++counts.ran;
                counts.lastAt = seconds;
            }
        }
        if (areAllRefusing && Clock::now() > acknowledged + configBound + outerBound)
            break;
        sleepFor(orderInterval);
    }
    return counts;
}

/** The store is silent to one machine, and the operator changes time-outs meanwhile. */
void playSilence(Store &store, int storePort, const std::string &name, int version, Record &record)
{
    if (hasTrouble()) {
        store.setSilent(storePort, true);
        record.add("the store is silent to " + name);
    }
    sleepFor(changeInSilence);
    store.write("config", "main",
                makeConfig(version, timeoutSeconds + version % 2, {keptKey, withdrawnKey}));
    record.add("the store acknowledges version " + std::to_string(version)
               + ": other time-outs, the same keys");
    sleepFor(silence - changeInSilence);
    store.setSilent(storePort, false);
    if (hasTrouble())
        record.add("the store serves " + name + " again");
    sleepFor(200ms);
}

void run(Script &script)
{
    Record &record = script.record();
    const std::string &folder = script.folder();
    Store store;
    store.write("config", "main", makeConfig(1, timeoutSeconds, {keptKey, withdrawnKey}));
    std::vector<int> storePorts {store.port(), store.addAddress(), store.addAddress()};
    Node shop(folder, "node-shop", "shop", storePorts[0]);
    Node deskOne(folder, "node-desk-1", "desk", storePorts[1]);
    Node deskTwo(folder, "node-desk-2", "desk", storePorts[2]);
    std::vector<Node *> nodes {&shop, &deskOne, &deskTwo};
    Target target(shop, "i-1", [](Connection &connection, const Message &request) {
        return connection.send(Target::answer(request, "done"));
    });
    bool isReady = eventually(20s, [&] {
        for (Node *node : nodes) {
            if (!node->isReady() || !isServing(*node, withdrawnKey))
                return false;
        }
        return true;
    });
    if (!isReady)
        script.end(Verdict::CouldNotRun);
    sleepFor(1s);
    int version = 2;
    store.write("config", "main", makeConfig(version, timeoutSeconds, {keptKey, withdrawnKey}));
    sleepFor(1s);
    for (std::size_t i = 0; i < nodes.size(); ++i)
        playSilence(store, storePorts[i], nodes[i]->name(), ++version, record);
    sleepFor(stableWindow + 1s); // all machines are in touch again
    store.write("config", "main", makeConfig(++version, timeoutSeconds, {keptKey}));
    Clock::time_point acknowledged = Clock::now();
    record.add("the store acknowledges version " + std::to_string(version)
               + ": one key is withdrawn");
    Counts counts = sendOrders(nodes, acknowledged, record);
    record.add(std::to_string(counts.ran) + " of " + std::to_string(counts.sent)
               + " orders with the withdrawn key ran that were sent later than config-s + outer-s"
               + " after the acknowledgement, the last one sent " + std::to_string(counts.lastAt)
               + " s after it");
    for (Node *node : nodes)
        record.add("the kept key at " + node->name() + ": status "
                   + std::to_string(order(*node, "kept-" + node->name(), keptKey)));
    script.end(counts.ran > 0 ? Verdict::Broken : Verdict::Held);
}

} // namespace

int main(int argc, char **argv)
{
    Script script(argc, argv);
    run(script);
}
