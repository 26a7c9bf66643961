#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t readBytes = 65536;
constexpr auto scriptLimit = 112s; // the script may take 120 s
constexpr auto heartbeatInterval = 1500ms;
constexpr auto watchCheckInterval = 10ms;
constexpr int portsPerNode = 6;

/** The processes that run now, so that the end of the script can kill them. */
class Processes
{
public:
    static Processes &instance()
    {
        static Processes processes;
        return processes;
    }
    void add(pid_t id)
    {
        std::lock_guard lock(m_mutex);
        m_ids.insert(id);
    }
    void remove(pid_t id)
    {
        std::lock_guard lock(m_mutex);
        m_ids.erase(id);
    }
    void killAll()
    {
        std::lock_guard lock(m_mutex);
        for (pid_t id : m_ids) {
            ::kill(id, SIGKILL);
            ::waitpid(id, nullptr, 0);
        }
        m_ids.clear();
    }

private:
    std::mutex m_mutex;
    std::set<pid_t> m_ids;
};

sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trim(const std::string &text)
{
    std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

std::uint64_t numberAfter(const std::string &text, const std::string &name)
{
    std::size_t at = text.find(name);
    return at == std::string::npos ? 0 : std::strtoull(&text[at + name.size()], nullptr, 10);
}

/** The object that follows @p name in a JSON text; "null" when there is none. */
std::string jsonObjectAfter(const std::string &text, const std::string &name)
{
    std::size_t at = text.find("\"" + name + "\"");
    at = at == std::string::npos ? at : text.find('{', at);
    int depth = 0;
    for (std::size_t i = at; i != std::string::npos && i < text.size(); ++i) {
        depth += text[i] == '{' ? 1 : 0;
        depth -= text[i] == '}' ? 1 : 0;
        if (depth == 0)
            return text.substr(at, i - at + 1);
    }
    return "null";
}

std::string jsonTextAfter(const std::string &text, const std::string &name)
{
    std::size_t at = text.find("\"" + name + "\"");
    at = at == std::string::npos ? at : text.find('"', text.find(':', at));
    if (at == std::string::npos)
        return {};
    return text.substr(at + 1, text.find('"', at + 1) - at - 1);
}

std::string startLineOfResponse(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK" : " Refused") + "\r\n";
}

std::string withBody(std::string head, const Fields &fields, const std::string &body)
{
    for (const auto &[name, value] : fields)
        head.append(name).append(": ").append(value).append("\r\n");
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return head + body;
}

std::string jsonResponse(int status, const std::string &body)
{
    return responseText(status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, body);
}

} // namespace

Record::Record(const std::string &path)
    : m_path(path)
{
    std::ofstream file(m_path); // empties the record of an earlier run
}

void Record::add(const std::string &line)
{
    std::lock_guard lock(m_mutex);
    double seconds = std::chrono::duration<double>(Clock::now() - m_start).count();
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", seconds);
    std::ofstream(m_path, std::ios::app) << time << line << '\n';
}

void sleepFor(milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

bool eventually(milliseconds limit, const std::function<bool()> &condition)
{
    Clock::time_point end = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() >= end)
            return false;
        sleepFor(50ms);
    }
    return true;
}

int freePort()
{
    // Below the ports that the system gives to outgoing connections, which could take a free one
    // before it is used.
    constexpr int lowest = 11000;
    constexpr int highest = 17000; // the project's own tests use those above
    static std::mt19937 random {std::random_device {}()};
    static std::set<int> given; // some are used much later
    std::uniform_int_distribution<int> anyPort(lowest, highest);
    for (;;) {
        int port = anyPort(random);
        int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = loopback(port);
        bool isFree =
            ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
        ::close(descriptor);
        if (isFree && given.insert(port).second)
            return port;
    }
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

std::string Message::field(const std::string &name) const
{
    auto found = fields.find(lowerCase(name));
    return found == fields.end() ? "" : found->second;
}

int Message::status() const
{
    return std::atoi(second.c_str());
}

Connection::~Connection()
{
    ::close(m_descriptor);
}

std::unique_ptr<Connection> Connection::open(int port, int receiveBytes)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto connection = std::make_unique<Connection>(descriptor);
    if (receiveBytes > 0)
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
    sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0)
        return nullptr;
    int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return connection;
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::string Connection::receive(milliseconds limit, std::size_t maximum)
{
    pollfd descriptor {m_descriptor, POLLIN, 0};
    if (::poll(&descriptor, 1, static_cast<int>(limit.count())) <= 0)
        return {};
    std::string bytes(maximum, '\0');
    ssize_t count = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(0, count)));
    return bytes;
}

bool Connection::readHead(Message &message, Clock::time_point end)
{
    std::size_t headEnd = std::string::npos;
    while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now());
        std::string bytes = left > 0ms ? receive(left) : "";
        if (bytes.empty())
            return false;
        m_buffer += bytes;
    }
    std::istringstream head(m_buffer.substr(0, headEnd));
    m_buffer.erase(0, headEnd + 4);
    std::string line;
    std::getline(head, line);
    std::istringstream words(line);
    words >> message.first >> message.second;
    while (std::getline(head, line)) {
        std::size_t colon = line.find(':');
        if (colon != std::string::npos)
            message.fields.emplace(lowerCase(line.substr(0, colon)), trim(line.substr(colon + 1)));
    }
    return true;
}

Message Connection::read(milliseconds limit)
{
    Clock::time_point end = Clock::now() + limit;
    Message message;
    if (!readHead(message, end))
        return message;
    std::size_t length = std::strtoull(message.field("content-length").c_str(), nullptr, 10);
    while (m_buffer.size() < length) {
        auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now());
        std::string bytes = left > 0ms ? receive(left) : "";
        if (bytes.empty())
            break;
        m_buffer += bytes;
    }
    std::size_t available = std::min(length, m_buffer.size());
    message.isComplete = available == length;
    message.body = m_buffer.substr(0, available);
    m_buffer.erase(0, available);
    return message;
}

Message Connection::readSlowly(milliseconds limit, std::size_t bytesPerSecond)
{
    constexpr std::size_t pieceBytes = 32768;
    Clock::time_point start = Clock::now();
    Message message;
    if (!readHead(message, start + limit))
        return message;
    std::size_t length = std::strtoull(message.field("content-length").c_str(), nullptr, 10);
    message.body = std::move(m_buffer);
    m_buffer.clear();
    Clock::time_point bodyStart = Clock::now();
    while (message.body.size() < length && Clock::now() < start + limit) {
        double due = static_cast<double>(message.body.size()) / static_cast<double>(bytesPerSecond);
        std::this_thread::sleep_until(
            bodyStart
            + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(due)));
        std::string bytes = receive(limit, pieceBytes);
        if (bytes.empty())
            break;
        message.body += bytes;
    }
    message.isComplete = message.body.size() == length;
    return message;
}

std::string requestText(const std::string &method, const std::string &path, const Fields &fields,
                        const std::string &body)
{
    return withBody(method + " " + path + " HTTP/1.1\r\n", fields, body);
}

std::string responseText(int status, const Fields &fields, const std::string &body)
{
    return withBody(startLineOfResponse(status), fields, body);
}

Message exchange(int port, const std::string &text, milliseconds limit)
{
    auto connection = Connection::open(port);
    if (!connection || !connection->send(text))
        return {};
    return connection->read(limit);
}

Server::Server(int port, Handler handler)
    : m_port(port)
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_handler(std::move(handler))
{
    constexpr int backlog = 512;
    int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || ::listen(m_listener, backlog) != 0) {
        std::perror("listen");
        Processes::instance().killAll();
        std::_Exit(static_cast<int>(Verdict::CouldNotRun));
    }
    std::thread([this] { accept(); }).detach();
}

void Server::accept()
{
    for (;;) {
        int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0 || m_ended)
            return;
        {
            std::lock_guard lock(m_mutex);
            m_descriptors.push_back(descriptor);
        }
        std::thread([this, descriptor] {
            Connection connection(descriptor);
            for (bool isOpen = true; isOpen;) {
                Message request = connection.read(10min);
                isOpen = request.isComplete && m_handler(connection, request);
            }
            std::lock_guard lock(m_mutex);
            std::erase(m_descriptors, descriptor);
        }).detach();
    }
}

void Server::end()
{
    m_ended = true;
    ::shutdown(m_listener, SHUT_RDWR);
    std::lock_guard lock(m_mutex);
    for (int descriptor : m_descriptors)
        ::shutdown(descriptor, SHUT_RDWR);
}

Process::Process(const std::vector<std::string> &command, const std::string &logPath,
                 int maximumDescriptors)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_id = ::fork();
    if (m_id == 0) {
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        if (maximumDescriptors > 0) {
            auto maximum = static_cast<rlim_t>(maximumDescriptors);
            rlimit limit {maximum, maximum};
            ::setrlimit(RLIMIT_NOFILE, &limit);
        }
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    ::close(log);
    Processes::instance().add(m_id);
}

Process::~Process()
{
    kill();
}

void Process::signal(int number) const
{
    if (m_id > 0)
        ::kill(m_id, number);
}

std::size_t Process::memoryBytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_id) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("RssAnon:", 0) == 0)
            return numberAfter(line, "RssAnon:") * 1024;
    }
    return 0;
}

void Process::kill()
{
    if (m_id <= 0)
        return;
    ::kill(m_id, SIGKILL);
    ::waitpid(m_id, nullptr, 0);
    Processes::instance().remove(m_id);
    m_id = -1;
}

bool Process::isRunning()
{
    if (m_id <= 0)
        return false;
    bool ended = ::waitpid(m_id, nullptr, WNOHANG) == m_id;
    if (ended) {
        Processes::instance().remove(m_id);
        m_id = -1;
    }
    return !ended;
}

Store::Store()
{
    addAddress();
}

int Store::addAddress()
{
    int port = freePort();
    std::size_t index = m_doors.size();
    m_doors.reserve(maximumAddresses);
    m_doors.push_back(
        std::make_unique<Door>(port, [this, index](Connection &connection, const Message &request) {
            bool wasSilent = m_doors[index]->isSilent;
            std::string response = respond(request);
            while (wasSilent || m_doors[index]->isSilent) {
                wasSilent = true; // the response is lost for good
                sleepFor(1s);
            }
            return connection.send(response);
        }));
    return port;
}

void Store::setSilent(int port, bool isSilent)
{
    for (const std::unique_ptr<Door> &door : m_doors) {
        if (door->server.port() == port)
            door->isSilent = isSilent;
    }
}

std::string Store::respond(const Message &request)
{
    const std::string prefix = "/api/objects/";
    if (request.second.rfind(prefix, 0) != 0)
        return jsonResponse(404, "{}");
    std::string rest = request.second.substr(prefix.size());
    std::size_t question = rest.find('?');
    std::string query = question == std::string::npos ? "" : rest.substr(question);
    std::string path = rest.substr(0, question);
    std::size_t slash = path.find('/');
    std::string kind = path.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (request.first != "GET")
        return respondToWrite(request, kind, name);
    if (query.find("watch=") == std::string::npos)
        return list(kind);
    return watch(kind, numberAfter(query, "watch="), milliseconds(numberAfter(query, "wait-ms=")));
}

std::string Store::respondToWrite(const Message &request, const std::string &kind, std::string name)
{
    std::lock_guard lock(m_mutex);
    auto &objects = m_objects[kind];
    if (name.empty())
        name = jsonTextAfter(request.body, "name");
    auto found = objects.find(name);
    if (request.first == "POST" && found != objects.end())
        return jsonResponse(409, objectText(name, found->second));
    if (request.first != "POST" && found == objects.end())
        return jsonResponse(404, "{}");
    bool removes = request.first == "DELETE";
    if (removes) {
        record(kind, name, true);
        objects.erase(found);
        return jsonResponse(200, "{}");
    }
    objects[name].spec = jsonObjectAfter(request.body, "spec");
    record(kind, name, false);
    return jsonResponse(200, objectText(name, objects[name]));
}

void Store::write(const std::string &kind, const std::string &name, const std::string &spec)
{
    std::lock_guard lock(m_mutex);
    m_objects[kind][name].spec = spec;
    record(kind, name, false);
}

void Store::record(const std::string &kind, const std::string &name, bool removed)
{
    Object &object = m_objects[kind][name];
    object.revision = ++m_revision;
    m_events.push_back({m_revision, kind,
                        std::string(R"({"removed":)") + (removed ? "true" : "false")
                            + R"(,"object":)" + objectText(name, object) + "}"});
    if (m_events.size() > keptEvents) {
        m_discardedUntil = m_events.front().revision;
        m_events.pop_front();
    }
}

std::string Store::objectText(const std::string &name, const Object &object)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision)
        + R"(},"spec":)" + object.spec + R"(,"status":null})";
}

std::string Store::list(const std::string &kind)
{
    std::lock_guard lock(m_mutex);
    std::string items;
    for (const auto &[name, object] : m_objects[kind])
        items += (items.empty() ? "" : ",") + objectText(name, object);
    return jsonResponse(200,
                        R"({"items":[)" + items + R"(],"more":false,"current-rev":)"
                            + std::to_string(m_revision) + "}");
}

std::string Store::watch(const std::string &kind, std::uint64_t after, milliseconds wait)
{
    Clock::time_point end = Clock::now() + wait;
    for (;;) {
        {
            std::lock_guard lock(m_mutex);
            if (after < m_discardedUntil)
                return jsonResponse(410, "{}");
            std::string events;
            for (const Event &event : m_events) {
                if (event.kind == kind && event.revision > after)
                    events += (events.empty() ? "" : ",") + event.text;
            }
            if (!events.empty() || Clock::now() >= end)
                return jsonResponse(200,
                                    R"({"events":[)" + events + R"(],"current-rev":)"
                                        + std::to_string(m_revision) + "}");
        }
        sleepFor(watchCheckInterval);
    }
}

Node::Node(const std::string &folder, const std::string &name, const std::string &service,
           int storePort)
    : m_folder(folder)
    , m_name(name)
    , m_service(service)
{
    for (int i = 0; i < portsPerNode; ++i)
        m_ports.push_back(freePort());
    auto address = [this](std::size_t index) {
        return "\"127.0.0.1:" + std::to_string(m_ports[index]) + "\"";
    };
    std::ofstream settings(m_folder + "/" + m_name + ".jsonc");
    settings << R"({"node": ")" << name << R"(", "service": ")" << service
             << R"(", "zone": "zone-a", "address": "127.0.0.1", "http": )" << address(0)
             << R"(, "peer_port": )" << m_ports[1] << R"(, "backend": )" << address(2)
             << R"(, "platform": "127.0.0.1:)" << storePort
             << R"(", "memory_mb": 260, "front": {"readiness": )" << address(3)
             << R"(, "reports": )" << address(4) << R"(, "metrics": )" << address(5)
             << R"(, "bounds": ["stable-window-s=3", "drain-s=2", "grace-s=6", "lost-s=0.2",
                "config-s=2", "budget-ratio=0.2", "budget-window-s=10", "budget-slack=49"]}})";
    settings.close();
    start();
}

void Node::start()
{
    m_process = std::make_unique<Process>(
        std::vector<std::string> {"target/ibiswelld_platform", "--settings",
                                  m_folder + "/" + m_name + ".jsonc"},
        m_folder + "/" + m_name + ".log", m_maximumDescriptors);
}

bool Node::isReady() const
{
    return exchange(m_ports[3], requestText("GET", "/api/readyz", {{"Host", "node"}})).status()
        == 200;
}

Target::Target(const Node &node, std::string instance, Work work)
    : m_reportPort(node.reportPort())
    , m_instance(std::move(instance))
    , m_service(node.service())
    , m_work(std::move(work))
    , m_startedAtMs(std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count())
    , m_server(node.targetPort(), [this](Connection &connection, const Message &request) {
        return handle(connection, request);
    })
{
    std::thread([this] { heartbeatLoop(); }).detach();
}

void Target::heartbeatLoop()
{
    for (;;) {
        if (m_sendsHeartbeats)
            sendHeartbeat();
        sleepFor(heartbeatInterval);
    }
}

int Target::sendHeartbeat()
{
    return deliverHeartbeat(takeHeartbeat());
}

std::string Target::takeHeartbeat()
{
    return R"({"address":"127.0.0.1:)" + std::to_string(m_server.port()) + R"(","born":)"
        + std::to_string(m_startedAtMs) + R"(,"info":{"service":")" + m_service
        + R"(","version":"v1","zone":"zone-a","slots":)" + std::to_string(m_slots)
        + R"(},"status":{"state":"ready","seq":)" + std::to_string(++m_sequence)
        + R"(,"warmup-left-s":0}})";
}

int Target::deliverHeartbeat(const std::string &body) const
{
    std::string path = "/api/instances/" + m_instance + "/heartbeat";
    Fields fields {{"Host", "node"}, {"Content-Type", "application/json"}};
    return exchange(m_reportPort, requestText("POST", path, fields, body), 1000ms).status();
}

int Target::deregister() const
{
    std::string path = "/api/instances/" + m_instance + "/deregister";
    return exchange(m_reportPort, requestText("POST", path, {{"Host", "node"}}), 1000ms).status();
}

bool Target::handle(Connection &connection, const Message &request)
{
    std::string id = request.field("attempt-id");
    if (request.field("expected-instance") != m_instance)
        return connection.send(
            responseText(421, {{"Attempt-Id", id}, {"Instance-Id", m_instance}}));
    {
        std::lock_guard lock(m_mutex);
        m_runs.push_back({secondsSinceStart(), id});
    }
    return m_work(connection, request);
}

std::vector<Target::Run> Target::runs()
{
    std::lock_guard lock(m_mutex);
    return m_runs;
}

double Target::secondsSinceStart() const
{
    return std::chrono::duration<double>(Clock::now() - m_start).count();
}

std::string Target::answer(const Message &request, const std::string &body, const Fields &more)
{
    std::string id = request.field("attempt-id");
    Fields fields {{"Attempt-Id", id}, {"Response-Signature", "signature-of-" + id}};
    fields.insert(fields.end(), more.begin(), more.end());
    return responseText(200, fields, body);
}

std::string makeConfig(int version, int timeoutSeconds, const std::vector<std::string> &keys)
{
    char versionText[16];
    std::snprintf(versionText, sizeof versionText, "%08x", static_cast<unsigned>(version));
    auto route = [&](const std::string &name, const std::string &prefix, const std::string &kind) {
        return R"({"name":")" + name + R"(","path-prefix":")" + prefix + R"(","kind":")" + kind
            + R"(","timeout-s":)" + std::to_string(timeoutSeconds)
            + R"(,"aim-s":1.2,"priority":1,"service":"shop","max-attempts":2,"public":false})";
    };
    auto service = [](const std::string &name) {
        return R"({"name":")" + name
            + R"(","health-path":"/healthz","max-connections":900,"protocol":"h1","tls":false,)"
            + R"("slow-start-s":3.0,"cold-per-s":30.0})";
    };
    std::string keyList;
    for (const std::string &key : keys)
        keyList += (keyList.empty() ? "\"" : ",\"") + key + "\"";
    std::string tenants = keys.empty() ? ""
                                       : R"("tenants":[{"name":"club","api-keys":[)" + keyList
            + R"(],"priority":1,"rate-per-s":500,"burst":500}],)";
    return std::string(R"({"version":")") + versionText + R"(","services":[)" + service("shop")
        + "," + service("desk")
        + R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,)"
        + R"("header-timeout-s":3,"idle-timeout-s":15},)" + tenants
        + R"("virtual-hosts":[{"host":"shop.example","paths":[)" + route("browse", "/x/", "safe")
        + "," + route("order", "/y/", "unsafe") + "]}]}";
}

bool isServing(const Node &node, const std::string &key)
{
    Fields fields {{"Host", "shop.example"}, {"Attempt-Id", "probe"}, {"Deadline-Ms", "2000"}};
    if (!key.empty())
        fields.emplace_back("Credential", key);
    return exchange(node.callerPort(), requestText("GET", "/x/probe", fields)).status() == 200;
}

MemoryWatch::MemoryWatch(Node &node, Record &record)
    : m_thread([this, &node, &record] { watch(node, record); })
{
}

void MemoryWatch::watch(Node &node, Record &record)
{
    while (!m_stops && !m_hasKilled) {
        std::size_t bytes = node.process().memoryBytes();
        m_lastBytes = bytes;
        m_peakBytes = std::max<std::size_t>(m_peakBytes, bytes);
        if (bytes > limitBytes) {
            node.process().kill();
            record.add(node.name() + " held " + std::to_string(bytes >> 20)
                       + " MB of memory and is killed: memory-mb is 260");
            m_hasKilled = true;
        }
        sleepFor(10ms);
    }
}

void MemoryWatch::stop()
{
    m_stops = true;
    m_thread.join();
}

OrderClients::OrderClients(const Node &node, int count)
    : m_node(node)
{
    for (int i = 0; i < count; ++i)
        m_threads.emplace_back([this, i] { sendOrders(i); });
}

void OrderClients::sendOrders(int client)
{
    constexpr auto patience = 4000ms;
    auto connection = Connection::open(m_node.callerPort());
    for (int i = 0; !m_stops && connection; ++i) {
        std::string id =
            "order-" + m_node.name() + "-" + std::to_string(client) + "-" + std::to_string(i);
        bool isSent = connection->send(
            requestText("POST", "/y/" + id,
                        {{"Host", "shop.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "3000"}}));
        Message answer = isSent ? connection->read(patience) : Message {};
        if (answer.isComplete) {
            ++m_answered;
            continue;
        }
        std::lock_guard lock(m_mutex);
        m_closed.push_back(id);
        return;
    }
}

void OrderClients::stop()
{
    m_stops = true;
    for (std::thread &thread : m_threads)
        thread.join();
}

int OrderClients::countLost(Target &target)
{
    std::set<std::string> ran;
    for (const Target::Run &run : target.runs())
        ran.insert(run.id);
    std::lock_guard lock(m_mutex);
    return static_cast<int>(std::count_if(m_closed.begin(), m_closed.end(),
                                          [&](const std::string &id) { return ran.contains(id); }));
}

Script::Script(int count, char **arguments)
    : m_record(std::string(count > 1 ? arguments[1] : ".") + "/record.txt")
    , m_folder(std::filesystem::temp_directory_path().string() + "/review-XXXXXX")
{
    std::signal(SIGPIPE, SIG_IGN);
    if (!::mkdtemp(m_folder.data()))
        end(Verdict::CouldNotRun);
    std::thread([this] {
        std::this_thread::sleep_for(scriptLimit);
        m_record.add("the script took too long");
        end(Verdict::CouldNotRun);
    }).detach();
}

void Script::end(Verdict verdict)
{
    m_record.add(verdict == Verdict::Held         ? "verdict: the rule held"
                     : verdict == Verdict::Broken ? "verdict: the rule is broken"
                                                  : "verdict: the case could not run");
    Processes::instance().killAll();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
    std::_Exit(static_cast<int>(verdict));
}

} // namespace review
