#include "../lib-2/harness.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace review;

namespace {

using namespace std::chrono_literals;

constexpr int timeoutSeconds = 5; // of the routes
constexpr auto drainTime = 2000ms; // drain-s
constexpr auto killAfterDeparture = 300ms;
constexpr auto lateHeartbeatAfterDeparture = 2600ms;
constexpr auto exitAfterDeparture = 3600ms; // "at times many seconds" after drain-s
constexpr auto workTime = 1500ms; // of an order
constexpr int clients = 4;

struct Order
{
    std::string id;
    Clock::time_point sentAt;
    int status = 0; ///< 0: the connection was closed without an answer.
};

int send(const Node &node, const std::string &method, const std::string &id)
{
    std::string path = (method == "GET" ? "/x/" : "/y/") + id;
    return exchange(
               node.callerPort(),
               requestText(method, path,
                           {{"Host", "shop.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "4000"}}))
        .status();
}

/** Orders of some clients of one node, each after the answer to the last. */
class Clients
{
public:
    explicit Clients(const Node &node)
        : m_node(node)
    {
        for (int i = 0; i < clients; ++i)
            m_threads.emplace_back([this, i] { sendOrders(i); });
    }
    std::vector<Order> stop()
    {
        m_stops = true;
        for (std::thread &thread : m_threads)
            thread.join();
        return m_orders;
    }

private:
    void sendOrders(int client)
    {
        for (int i = 0; !m_stops; ++i) {
            Order order {"order-" + std::to_string(client) + "-" + std::to_string(i), Clock::now()};
            order.status = send(m_node, "POST", order.id);
            {
                std::lock_guard lock(m_mutex);
                m_orders.push_back(order);
            }
            sleepFor(50ms);
        }
    }

    const Node &m_node;
    std::atomic<bool> m_stops = false;
    std::mutex m_mutex;
    std::vector<Order> m_orders;
    std::vector<std::thread> m_threads;
};

void run(Script &script)
{
    Record &record = script.record();
    const std::string &folder = script.folder();
    Store store;
    store.write("config", "main", makeConfig(1, timeoutSeconds));
    Node shop(folder, "node-shop", "shop", store.port());
    Node desk(folder, "node-desk", "desk", store.port());
    std::atomic<bool> isLeaving = false;
    Target target(shop, "i-1", [&](Connection &connection, const Message &request) {
        bool isOrder = request.first == "POST";
        if (isOrder) {
            record.add("the target runs " + request.field("attempt-id"));
            sleepFor(workTime);
        }
        Fields more;
        if (isLeaving)
            more = {{"Server-Leaving", "1"}};
        return connection.send(Target::answer(request, "done", more));
    });
    if (!eventually(20s, [&] { return shop.isReady() && isServing(desk); }))
        script.end(Verdict::CouldNotRun);
    sleepFor(4s); // all machines have been in touch for stable-window-s
    std::string lateHeartbeat = target.takeHeartbeat();
    record.add("the target sends a heartbeat that is late on its way");
    target.stopHeartbeats();
    isLeaving = true;
    int passedOn = send(desk, "GET", "last");
    record.add("node-desk passes on an answer with Server-Leaving: status "
               + std::to_string(passedOn));
    int acknowledged = target.deregister();
    Clock::time_point departure = Clock::now();
    record.add("deregister is acknowledged: status " + std::to_string(acknowledged));
    if (passedOn != 200 || acknowledged != 200)
        script.end(Verdict::CouldNotRun);
    std::this_thread::sleep_until(departure + killAfterDeparture);
    if (hasTrouble()) {
        shop.process().kill();
        record.add("SIGKILL to node-shop");
        sleepFor(200ms);
        shop.start();
        record.add("node-shop is started again");
    }
    std::this_thread::sleep_until(departure + drainTime + 200ms);
    Clients orders(desk);
    std::this_thread::sleep_until(departure + lateHeartbeatAfterDeparture);
    int status = target.deliverHeartbeat(lateHeartbeat);
    record.add("the late heartbeat arrives: status " + std::to_string(status));
    std::this_thread::sleep_until(departure + exitAfterDeparture);
    target.end();
    record.add("the target exits");
    sleepFor(1s);
    std::vector<Order> sent = orders.stop();
    int reached = 0;
    int lost = 0;
    std::vector<Target::Run> runs = target.runs();
    for (const Order &order : sent) {
        bool hasRun = std::any_of(runs.begin(), runs.end(),
                                  [&](const Target::Run &item) { return item.id == order.id; });
        if (!hasRun)
            continue;
        ++reached;
        lost += order.status == 200 ? 0 : 1;
        double seconds = std::chrono::duration<double>(order.sentAt - departure).count();
        record.add(order.id + ", sent to node-desk " + std::to_string(seconds)
                   + " s after the acknowledgement, reached the target; its client got status "
                   + std::to_string(order.status));
    }
    record.add(std::to_string(reached) + " of " + std::to_string(sent.size())
               + " orders that were sent later than drain-s reached the target; "
               + std::to_string(lost) + " of them have no answer from it");
    script.end(reached > 0 ? Verdict::Broken : Verdict::Held);
}

} // namespace

int main(int argc, char **argv)
{
    Script script(argc, argv);
    run(script);
}
