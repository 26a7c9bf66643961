#pragma once

#include "ibiswell/core/messages.h"

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ibiswell::test {

/** A whole answer to an HTTP request, or status 0 when none came. */
struct Reply
{
    int status = 0;
    std::string body;
    std::string execution; ///< Of the x-ibiswell-execution field.

    bool contains(std::string_view text) const { return body.find(text) != std::string::npos; }
};

/** Sends one request on a connection of its own and waits for the answer. */
Reply request(int port, const std::string &method, const std::string &path,
              std::vector<HeaderField> headers = {}, const std::string &body = "");

/** Sends bytes as they are and returns what comes back until the peer closes or 3 s passed. */
std::string sendRaw(int port, const std::string &bytes);
void sendDatagram(int port, const std::string &bytes);

/** Waits until @p condition holds, at most 20 s; whether it came to hold. */
bool eventually(const std::function<bool()> &condition);

/** Ends with its process; started by path, ended by its id. */
class Process
{
public:
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &logFile);
    Process(Process &&other) noexcept;
    Process &operator=(Process &&) = delete;
    ~Process();

    void signal(int number) const;
    /** Waits for the end and returns the exit code; -1 when a signal ended it. */
    int wait();

private:
    pid_t m_pid = -1;
};

struct CommandResult
{
    int exitCode = 0;
    std::string output; ///< Of standard output and standard error.
};

/** A platform, targets with their nodes, and the operator's command, on loopback. */
class Deployment
{
public:
    /** Ports are counted from @p firstPort: the platform, then three for each target. */
    explicit Deployment(int firstPort);
    ~Deployment();

    /** Starts a backend server and its node; the number of the target is returned. */
    int addTarget(const std::string &service, const std::string &zone,
                  const std::vector<std::string> &backendOptions = {});
    void startNode(int target);
    /** Applies the tests' policy and waits until all nodes serve and know each other. */
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

    /** Runs of a request at a backend server, by its id. */
    int executions(int target, const std::string &requestId) const;
    int totalExecutions(const std::string &requestId) const;
    /** A number that the backend server reports of what it saw. */
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
