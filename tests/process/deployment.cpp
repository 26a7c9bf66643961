#include "deployment.h"

#include "http_client.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace ibiswell::test {

namespace {

using namespace std::chrono_literals;

constexpr auto maximumWait = 20s;

std::string readAll(const std::string &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

const std::string policy = R"({
    "defaults": {"deadline_ms": 5000, "rate_per_s": 500, "burst": 500},
    "teams": {"school": {"rate_per_s": 500, "burst": 500}},
    "routes": {
        "browse": {"service": "catalogue", "method": "GET", "path": "/tiles",
                   "idempotent": true, "open": true},
        "sheet": {"service": "catalogue", "method": "GET", "path": "/sheets",
                  "priority": "bulk", "idempotent": true},
        "order": {"service": "catalogue", "method": "POST", "path": "/orders",
                  "priority": "critical"},
        "stock": {"service": "stock", "method": "GET", "path": "/", "idempotent": true}}})";

} // namespace

std::string programFolder()
{
    const char *folder = std::getenv("IBISWELL_BIN");
    return folder ? folder : "build";
}

Reply request(int port, const std::string &method, const std::string &path,
              std::vector<HeaderField> headers, const std::string &body)
{
    asio::io_context context;
    HttpClient client({"127.0.0.1", static_cast<std::uint16_t>(port)});
    Reply reply;
    HttpRequest request {method, path, std::move(headers), body};
    auto storeReply = [&](const std::exception_ptr &, CallResult result) {
        const HttpResponse *response = std::get_if<HttpResponse>(&result);
        if (!response)
            return;
        reply = {response->status, response->body, ""};
        for (const HeaderField &field : response->headers) {
            if (field.name == "x-ibiswell-execution")
                reply.execution = field.value;
        }
    };
    asio::co_spawn(context, client.exchange(request, 15s), storeReply);
    context.run();
    return reply;
}

std::string sendRaw(int port, const std::string &bytes)
{
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, ec);
    asio::write(socket, asio::buffer(bytes), ec);
    std::string received;
    auto read = [&]() -> Task<void> {
        std::array<char, 4096> chunk {};
        for (;;) {
            auto reading = socket.async_read_some(asio::buffer(chunk), asResult);
            auto result = co_await withTimeout(std::move(reading), 3s);
            if (!result || std::get<0>(*result))
                co_return;
            received.append(chunk.data(), std::get<1>(*result));
        }
    };
    asio::co_spawn(context, read(), asio::detached);
    context.run();
    return received;
}

void sendAndLeave(int port, const std::vector<std::string> &parts, std::chrono::milliseconds pause)
{
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)}, ec);
    for (const std::string &bytes : parts) {
        asio::write(socket, asio::buffer(bytes), ec);
        std::this_thread::sleep_for(pause);
    }
}

void sendDatagram(int port, const std::string &bytes)
{
    asio::io_context context;
    udp::socket socket(context, udp::v4());
    socket.send_to(asio::buffer(bytes),
                   {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)});
}

bool eventually(const std::function<bool()> &condition)
{
    auto end = std::chrono::steady_clock::now() + maximumWait;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(50ms);
    }
    return condition();
}

Process::Process(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &logFile)
{
    std::vector<std::string> argv {program};
    argv.insert(argv.end(), arguments.begin(), arguments.end());
    std::vector<char *> pointers;
    pointers.reserve(argv.size() + 1);
    for (std::string &argument : argv)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    int flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), flags, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    int error = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    REQUIRE_MESSAGE(error == 0, program);
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{
}

Process::~Process()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGCONT);
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void Process::signal(int number) const
{
    ::kill(m_pid, number);
}

std::size_t Process::peakMemoryBytes() const
{
    constexpr std::string_view name = "VmHWM:";
    std::ifstream status(fmt::format("/proc/{}/status", m_pid));
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name))
            return std::strtoul(line.c_str() + name.size(), nullptr, 10) << 10; // in kB
    }
    return 0;
}

int Process::wait()
{
    int status = 0;
    ::waitpid(std::exchange(m_pid, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Deployment::Deployment(int firstPort)
    : m_firstPort(firstPort)
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "ibiswell-test-XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data());
    m_platform.emplace_back(programFolder() + "/platform_standin",
                            std::vector<std::string> {"--port", fmt::to_string(firstPort)},
                            m_folder + "/platform.log");
    REQUIRE(eventually([&] { return request(firstPort, "GET", "/counters").status == 200; }));
}

Deployment::~Deployment()
{
    m_nodes.clear();
    m_backends.clear();
    m_platform.clear();
    std::filesystem::remove_all(m_folder);
}

int Deployment::addTarget(const std::string &service, const std::string &zone,
                          const std::vector<std::string> &backendOptions)
{
    int target = static_cast<int>(m_targets.size());
    m_targets.push_back({service, zone});
    std::vector<std::string> arguments {"--port",      fmt::to_string(backendPort(target)),
                                        "--name",      fmt::format("{}-{}", service, target),
                                        "--node-port", fmt::to_string(httpPort(target))};
    arguments.insert(arguments.end(), backendOptions.begin(), backendOptions.end());
    m_backends.emplace(target,
                       Process(programFolder() + "/backend_standin", arguments,
                               fmt::format("{}/backend-{}.log", m_folder, target)));
    startNode(target);
    return target;
}

void Deployment::startNode(int target)
{
    const TargetLocation &location = m_targets[static_cast<std::size_t>(target)];
    std::string path = fmt::format("{}/node-{}.jsonc", m_folder, target);
    std::ofstream(path) << fmt::format(
        R"({{"node": "{0}-{1}", "service": "{0}", "zone": "{2}", "http_port": {3}, "peer_port": {4},
            "backend": {{"address": "127.0.0.1", "port": {5}}}, "lease_ms": 60000,
            "platform": {{"address": "127.0.0.1", "port": {6}}}, "slow_client_ms": 1000}})",
        location.service, target, location.zone, httpPort(target), peerPort(target),
        backendPort(target), m_firstPort);
    m_nodes.emplace(target,
                    Process(programFolder() + "/ibiswelld", {"--settings", path},
                            fmt::format("{}/node-{}.log", m_folder, target)));
}

void Deployment::applyPolicy()
{
    std::string path = m_folder + "/policy.jsonc";
    std::ofstream(path) << policy;
    for (const auto &[target, node] : m_nodes)
        REQUIRE(eventually(
            [&, t = target] { return request(httpPort(t), "GET", "/-/health").status == 200; }));
    CommandResult applied = runOperatorCommand({"config", "apply", path});
    REQUIRE_MESSAGE(applied.exitCode == 0, applied.output);
    REQUIRE(runOperatorCommand({"key", "grant", "the-key", "--team", "school"}).exitCode == 0);
    for (const auto &[target, node] : m_nodes) {
        REQUIRE(eventually([&, t = target] {
            Reply reply = request(httpPort(t), "GET", "/catalogue/sheets/warm-up",
                                  {{"x-ibiswell-key", "the-key"}});
            Reply status = request(httpPort(t), "GET", "/-/status");
            boost::json::value root = boost::json::parse(status.body);
            return reply.status == 200 && root.at("members").as_array().size() == m_nodes.size();
        }));
    }
}

CommandResult Deployment::runOperatorCommand(const std::vector<std::string> &arguments) const
{
    std::string logFile = fmt::format("{}/operator-{}.log", m_folder,
                                      std::hash<std::thread::id> {}(std::this_thread::get_id()));
    std::filesystem::remove(logFile);
    std::vector<std::string> allArguments = arguments;
    int node = m_nodes.empty() ? 0 : m_nodes.begin()->first;
    for (const std::string &argument :
         {std::string("--platform"), fmt::format("127.0.0.1:{}", m_firstPort),
          std::string("--node"), fmt::format("127.0.0.1:{}", httpPort(node))})
        allArguments.push_back(argument);
    Process command(programFolder() + "/ibiswell", allArguments, logFile);
    int exitCode = command.wait();
    return {exitCode, readAll(logFile)};
}

std::string Deployment::log(int target) const
{
    return readAll(fmt::format("{}/node-{}.log", m_folder, target));
}

int Deployment::executions(int target, const std::string &requestId) const
{
    Reply reply = request(backendPort(target), "GET", "/observed");
    if (reply.status != 200)
        return 0;
    boost::json::value root = boost::json::parse(reply.body);
    const boost::json::value *count = root.at("executions").as_object().if_contains(requestId);
    return count ? count->to_number<int>() : 0;
}

int Deployment::totalExecutions(const std::string &requestId) const
{
    int sum = 0;
    for (const auto &[target, backend] : m_backends)
        sum += executions(target, requestId);
    return sum;
}

int Deployment::observedCounter(int target, const std::string &name) const
{
    Reply reply = request(backendPort(target), "GET", "/observed");
    return boost::json::parse(reply.body).at(name).to_number<int>();
}

} // namespace ibiswell::test
