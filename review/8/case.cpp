#include "../lib-2/harness.h"

#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace review;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t answerBytes = 12u << 20;
constexpr std::size_t slowBytesPerSecond = 2560u << 10; // the answer takes about 4.8 s
constexpr std::size_t usualBytesPerSecond = 8u << 20; // about 1.5 s, also across the SIGTERM
constexpr int receiveBufferBytes = 128 << 10;
constexpr int timeoutSeconds = 20; // of the routes
constexpr auto clientDeadline = 15000ms;
constexpr int clients = 2; // of each node: the nodes hold few long answers at once

struct Client
{
    int number = 0;
    Node *node = nullptr;
    bool isWhole = false;
};

/** Sends an order on a connection and reads its long answer at a steady pace. */
void order(Client &client, Record &record)
{
    std::string id = "order-" + std::to_string(client.number);
    auto connection = Connection::open(client.node->callerPort(), receiveBufferBytes);
    std::string deadline = std::to_string(clientDeadline.count());
    bool isSent = connection
        && connection->send(
            requestText("POST", "/y/" + id,
                        {{"Host", "shop.example"}, {"Attempt-Id", id}, {"Deadline-Ms", deadline}},
                        "two tiles"));
    record.add("sent " + id + " to " + client.node->name() + ", deadline " + deadline + " ms");
    if (!isSent)
        return;
    Clock::time_point start = Clock::now();
    Message answer = connection->readSlowly(
        clientDeadline, hasTrouble() ? slowBytesPerSecond : usualBytesPerSecond);
    double seconds = std::chrono::duration<double>(Clock::now() - start).count();
    client.isWhole =
        answer.status() == 200 && answer.isComplete && !answer.field("response-signature").empty();
    record.add("answer of " + id + ": status " + std::to_string(answer.status()) + ", "
               + std::to_string(answer.body.size()) + " of " + answer.field("content-length")
               + " bytes after " + std::to_string(seconds) + " s, "
               + (answer.isComplete ? "whole" : "the node closed the connection before its end"));
}

void run(Script &script)
{
    Record &record = script.record();
    const std::string &folder = script.folder();
    Store store;
    store.write("config", "main", makeConfig(1, timeoutSeconds));
    Node shop(folder, "node-shop", "shop", store.port());
    Node desk(folder, "node-desk", "desk", store.port());
    Target target(shop, "i-1", [&record](Connection &connection, const Message &request) {
        std::size_t bytes = request.first == "POST" ? answerBytes : 2;
        record.add("the target runs " + request.field("attempt-id"));
        return connection.send(Target::answer(request, std::string(bytes, 'z')));
    });
    if (!eventually(15s, [&] { return shop.isReady() && desk.isReady(); }))
        script.end(Verdict::CouldNotRun);
    if (!eventually(15s, [&] { return isServing(shop) && isServing(desk); }))
        script.end(Verdict::CouldNotRun);
    sleepFor(4s); // both machines have been in touch for stable-window-s
    record.add(hasTrouble() ? "clients read slowly" : "clients read at a usual pace");
    int cut = 0;
    for (Node *node : {&shop, &desk}) {
        std::vector<Client> orders;
        orders.reserve(clients);
        for (int i = 0; i < clients; ++i)
            orders.push_back({i + (node == &desk ? clients : 0), node});
        std::vector<std::thread> threads;
        threads.reserve(orders.size());
        for (Client &client : orders)
            threads.emplace_back([&client, &record] { order(client, record); });
        sleepFor(500ms); // all of them are passed on to the target by then
        node->process().signal(SIGTERM);
        record.add("SIGTERM to " + node->name());
        for (std::thread &thread : threads)
            thread.join();
        for (const Client &client : orders)
            cut += client.isWhole ? 0 : 1;
        node->process().kill();
        if (node == &shop) {
            node->start();
            if (!eventually(15s, [&] { return isServing(shop) && isServing(desk); }))
                script.end(Verdict::CouldNotRun);
            sleepFor(4s);
        }
    }
    record.add(std::to_string(cut) + " of " + std::to_string(2 * clients)
               + " orders ran and have no complete answer");
    script.end(cut > 0 ? Verdict::Broken : Verdict::Held);
}

} // namespace

int main(int argc, char **argv)
{
    Script script(argc, argv);
    run(script);
}
