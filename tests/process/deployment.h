#pragma once

#include "ibiswell/core/messages.h"

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ibiswell::test {

/** The folder of the programs under test: IBISWELL_BIN, or "build". */
std::string programFolder();

/** A complete response to an HTTP request, or status 0 when none arrived. */
struct Reply
{
    int status = 0;
    std::string body;
    /** Value of the x-ibiswell-execution field; of Response-Signature in PlatformDeployment. */
    std::string execution;

    bool contains(std::string_view text) const { return body.find(text) != std::string::npos; }
};

/** Sends one request on a new connection and waits for the response. */
Reply request(int port, const std::string &method, const std::string &path,
              std::vector<HeaderField> headers = {}, const std::string &body = "");

/** Sends raw bytes and returns what arrives until the peer closes or is silent for 3 s. */
std::string sendRaw(int port, const std::string &bytes);
/** Sends raw bytes, with @p pause after each part, and closes the connection without reading. */
void sendAndLeave(int port, const std::vector<std::string> &parts, std::chrono::milliseconds pause);
void sendDatagram(int port, const std::string &bytes);

/** Waits up to 20 s for @p condition to hold; returns whether it did. */
bool eventually(const std::function<bool()> &condition);

/** A child process, which the destructor kills by its process id. */
class Process
{
public:
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &logFile);
    Process(Process &&other) noexcept;
    Process &operator=(Process &&) = delete;
    ~Process();

    void signal(int number) const;
    /** The greatest resident memory so far, from /proc; 0 when the process has ended. */
    std::size_t peakMemoryBytes() const;
    /** Waits for the process to exit and returns the exit code; -1 when a signal ended it. */
    int wait();

private:
    pid_t m_pid = -1;
};

struct CommandResult
{
    int exitCode = 0;
    std::string output; ///< Standard output and standard error.
};

/** A platform, targets with their nodes, and the operator command, on loopback. */
class Deployment
{
public:
    /** Uses @p firstPort for the platform and the following ports for the targets, three each. */
    explicit Deployment(int firstPort);
    ~Deployment();

    /** Starts a backend server and its node; returns the number of the target. */
    int addTarget(const std::string &service, const std::string &zone,
                  const std::vector<std::string> &backendOptions = {});
    void startNode(int target);
    /** Applies the tests' policy and waits until all nodes serve and list each other as members. */
    void applyPolicy();

    CommandResult runOperatorCommand(const std::vector<std::string> &arguments) const;
    int platformPort() const { return m_firstPort; }
    int httpPort(int target) const { return m_firstPort + 1 + 3 * target; }
    int peerPort(int target) const { return m_firstPort + 2 + 3 * target; }
    int backendPort(int target) const { return m_firstPort + 3 + 3 * target; }
    Process &node(int target) { return m_nodes.at(target); }
    Process &backend(int target) { return m_backends.at(target); }
    void removeNode(int target) { m_nodes.erase(target); }
    void removeBackend(int target) { m_backends.erase(target); }
    std::string log(int target) const;

    /** Number of times that a backend server ran the request with that id. */
    int executions(int target, const std::string &requestId) const;
    int totalExecutions(const std::string &requestId) const;
    /** A counter that the backend server reports about the requests it received. */
    int observedCounter(int target, const std::string &name) const;

private:
    struct TargetLocation
    {
        std::string service;
        std::string zone;
    };

    std::string m_folder;
    int m_firstPort;
    std::vector<TargetLocation> m_targets;
    std::vector<Process> m_platform;
    std::map<int, Process> m_backends;
    std::map<int, Process> m_nodes;
};

} // namespace ibiswell::test
