#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/**
 * What the scripts of the second review share: a small deployment of the project's own program on
 * loopback, and stand-ins for clients, targets and the platform's store that follow the users'
 * pages.
 */
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** How a script ends: its exit code. */
enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/** What was sent, answered and run, with the seconds since the start of the script. */
class Record
{
public:
    explicit Record(const std::string &path);
    void add(const std::string &line);

private:
    std::mutex m_mutex;
    std::string m_path;
    Clock::time_point m_start = Clock::now();
};

void sleepFor(milliseconds duration);
bool eventually(milliseconds limit, const std::function<bool()> &condition);
/** A TCP port that nothing uses now. */
int freePort();
/** Whether the script plays its disruption: false with TROUBLE=0. */
bool hasTrouble();

/** An HTTP message, with the names of its fields in lower case. */
struct Message
{
    std::string first; ///< First word of the start line.
    std::string second; ///< Second word: the path of a request, the status of a response.
    std::multimap<std::string, std::string> fields;
    std::string body;
    bool isComplete = false;

    std::string field(const std::string &name) const;
    int status() const;
};

/** A TCP connection on loopback. */
class Connection
{
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    /** @param receiveBytes size of the receive buffer; 0: as the system has it. */
    static std::unique_ptr<Connection> open(int port, int receiveBytes = 0);

    bool send(std::string_view bytes);
    int descriptor() const { return m_descriptor; }
    /** Reads some bytes; nothing at the end, on an error or after the limit. */
    std::string receive(milliseconds limit, std::size_t maximum = 65536);
    /** Reads a message; isComplete is false when it ended early. */
    Message read(milliseconds limit);
    /** Reads a response that states its length, at about @p bytesPerSecond. */
    Message readSlowly(milliseconds limit, std::size_t bytesPerSecond);

private:
    bool readHead(Message &message, Clock::time_point end);

    int m_descriptor;
    std::string m_buffer;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

std::string requestText(const std::string &method, const std::string &path, const Fields &fields,
                        const std::string &body = {});
std::string responseText(int status, const Fields &fields, const std::string &body = {});
/** Sends a request on a new connection and reads the response. */
Message exchange(int port, const std::string &text, milliseconds limit = milliseconds(5000));

/** Serves each connection in a thread; the handler returns whether the connection stays open. */
class Server
{
public:
    using Handler = std::function<bool(Connection &, const Message &)>;
    Server(int port, Handler handler);
    int port() const { return m_port; }
    /** Closes all connections and refuses further ones. */
    void end();

private:
    void accept();

    int m_port;
    int m_listener;
    Handler m_handler;
    std::mutex m_mutex;
    std::vector<int> m_descriptors;
    std::atomic<bool> m_ended = false;
};

/** A process that the script started. */
class Process
{
public:
    /** @param maximumDescriptors 0: as the script itself. */
    Process(const std::vector<std::string> &command, const std::string &logPath,
            int maximumDescriptors = 0);
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    ~Process();
    void signal(int number) const;
    /** Memory of its own that the process holds, as the system tells it. */
    std::size_t memoryBytes() const;
    /** Kills the process and waits for its end. */
    void kill();
    bool isRunning();

private:
    pid_t m_id = -1;
};

/**
 * The platform's store, with a short linear history. Each machine may have an address of its own,
 * so that the store can be silent to some machines while it serves the others and the operator.
 */
class Store
{
public:
    Store();
    int port() const { return m_doors.front()->server.port(); }
    /** Opens another address; returns its port. */
    int addAddress();
    /**
     * Whether machines that call @p port get no response. A call whose response is lost gets none
     * later either, and its connection returns nothing further.
     */
    void setSilent(int port, bool isSilent);
    /** Writes an object as the operator does. */
    void write(const std::string &kind, const std::string &name, const std::string &spec);

private:
    struct Object
    {
        std::string spec;
        std::uint64_t revision = 0;
    };
    struct Event
    {
        std::uint64_t revision;
        std::string kind;
        std::string text;
    };
    /** An address of the store. */
    struct Door
    {
        Door(int port, Server::Handler handler)
            : server(port, std::move(handler))
        {
        }
        std::atomic<bool> isSilent = false;
        Server server;
    };
    std::string respond(const Message &request);
    std::string respondToWrite(const Message &request, const std::string &kind, std::string name);
    std::string list(const std::string &kind);
    std::string watch(const std::string &kind, std::uint64_t after, milliseconds wait);
    static std::string objectText(const std::string &name, const Object &object);
    void record(const std::string &kind, const std::string &name, bool removed);

    static constexpr std::size_t maximumAddresses = 8;
    static constexpr std::size_t keptEvents = 20; // older history is discarded

    std::mutex m_mutex;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::deque<Event> m_events;
    std::uint64_t m_discardedUntil = 0;
    std::uint64_t m_revision = 1;
    std::vector<std::unique_ptr<Door>> m_doors;
};

/** A node of the project, started with the command of its deploy file. */
class Node
{
public:
    Node(const std::string &folder, const std::string &name, const std::string &service,
         int storePort);
    void start();
    /** Files and sockets of the process from its next start on; 0: as the script itself. */
    void limitDescriptors(int maximum) { m_maximumDescriptors = maximum; }
    Process &process() { return *m_process; }
    const std::string &name() const { return m_name; }
    const std::string &service() const { return m_service; }
    int callerPort() const { return m_ports[0]; }
    int targetPort() const { return m_ports[2]; }
    int reportPort() const { return m_ports[4]; }
    bool isReady() const;

private:
    std::string m_folder;
    std::string m_name;
    std::string m_service;
    std::vector<int> m_ports; ///< Callers, other nodes, target, readiness, reports, metrics.
    int m_maximumDescriptors = 0;
    std::unique_ptr<Process> m_process;
};

/** A target beside a node: sends heartbeats, and runs requests by a handler. */
class Target
{
public:
    struct Run
    {
        double at = 0; ///< Seconds since the start of the target.
        std::string id; ///< Of the request.
    };
    /** Answers a request that runs; returns whether the connection stays open. */
    using Work = std::function<bool(Connection &, const Message &)>;

    Target(const Node &node, std::string instance, Work work);
    /** Sends a heartbeat with the next sequence number; returns the status of its response. */
    int sendHeartbeat();
    void setSlots(int slots) { m_slots = slots; }
    /** The next heartbeat, which is not sent yet. */
    std::string takeHeartbeat();
    int deliverHeartbeat(const std::string &body) const;
    int deregister() const;
    void stopHeartbeats() { m_sendsHeartbeats = false; }
    void end() { m_server.end(); }
    std::vector<Run> runs();
    double secondsSinceStart() const;
    /** A signed success for @p request. */
    static std::string answer(const Message &request, const std::string &body,
                              const Fields &more = {});

private:
    bool handle(Connection &connection, const Message &request);
    void heartbeatLoop();

    int m_reportPort;
    std::string m_instance;
    std::string m_service;
    Work m_work;
    Clock::time_point m_start = Clock::now();
    std::int64_t m_startedAtMs;
    std::atomic<std::uint64_t> m_sequence = 0;
    std::atomic<int> m_slots = 50;
    std::atomic<bool> m_sendsHeartbeats = true;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    Server m_server;
};

/**
 * A configuration with the services "shop" and "desk": /x/ is safe, /y/ unsafe, both of "shop".
 *
 * @param keys API keys of the tenant "club"; none: the configuration has no tenants.
 */
std::string makeConfig(int version, int timeoutSeconds, const std::vector<std::string> &keys = {});

/** Whether the node serves a safe request. */
bool isServing(const Node &node, const std::string &key = {});

/** Kills a node, as the platform does, when it holds more memory than it may. */
class MemoryWatch
{
public:
    MemoryWatch(Node &node, Record &record);
    void stop();
    bool hasKilled() const { return m_hasKilled; }
    std::size_t lastBytes() const { return m_lastBytes; }
    std::size_t peakBytes() const { return m_peakBytes; }

private:
    void watch(Node &node, Record &record);

    static constexpr std::size_t limitBytes = 260u << 20; // memory-mb

    std::atomic<bool> m_stops = false;
    std::atomic<bool> m_hasKilled = false;
    std::atomic<std::size_t> m_lastBytes = 0;
    std::atomic<std::size_t> m_peakBytes = 0;
    std::thread m_thread;
};

/** Clients of a node that send one order (not idempotent) after the other on kept connections. */
class OrderClients
{
public:
    OrderClients(const Node &node, int count);
    void stop();
    int answered() const { return m_answered; }
    /** Orders that @p target ran and whose connection was closed without an answer. */
    int countLost(Target &target);

private:
    void sendOrders(int client);

    const Node &m_node;
    std::atomic<bool> m_stops = false;
    std::atomic<int> m_answered = 0;
    std::mutex m_mutex;
    std::vector<std::string> m_closed;
    std::vector<std::thread> m_threads;
};

/** A run of a script. */
class Script
{
public:
    /** @param arguments of the program: the first is the folder of the case. */
    Script(int count, char **arguments);
    Record &record() { return m_record; }
    /** A temporary folder, which is removed at the end. */
    const std::string &folder() const { return m_folder; }
    /**
     * Ends all processes that the script started, and the program. Servers still run then, so what
     * they use must not be destroyed before.
     */
    [[noreturn]] void end(Verdict verdict);

private:
    Record m_record;
    std::string m_folder;
};

} // namespace review
