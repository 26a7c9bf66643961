#include "target_inquiry.h"

#include "http_client.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration answerLimit = 1s;
/** A response to a health check is short. */
constexpr std::size_t maximumBodyBytes = 64u << 10;

std::string_view nameOf(const TargetAnswer &answer)
{
    struct Names
    {
        std::string_view operator()(const TargetReady &) const { return "ready"; }
        std::string_view operator()(TargetLeaving) const { return "leaving"; }
        std::string_view operator()(TargetAbsent) const { return "absent"; }
        std::string_view operator()(TargetUndecided) const { return "undecided"; }
    };
    return std::visit(Names {}, answer);
}

std::string describe(const CallResult &result)
{
    if (const Refusal *refusal = std::get_if<Refusal>(&result))
        return refusal->detail;
    return fmt::format("status {}", std::get<HttpResponse>(result).status);
}

} // namespace

TargetInquiry::TargetInquiry(Kernel &kernel)
    : m_node(kernel.get<NodeState>("node"))
    , m_dialect(kernel.get<Dialect>("dialect"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_bodies(kernel.get<BufferBudget>("body-buffers"))
    , m_log(kernel.get<Log>("log"))
{
}

HttpRequest TargetInquiry::makeRequest(const TargetQuestion &question) const
{
    const auto &services = m_policy.policy().services;
    auto service = services.find(m_node.settings.service);
    bool hasPath = service != services.end() && !service->second.healthPath.empty();
    HttpRequest request {"GET", hasPath ? service->second.healthPath : "/", {}, {}};
    if (!m_dialect.names.expectedInstance.empty())
        request.headers.push_back({m_dialect.names.expectedInstance, question.instance});
    return request;
}

Task<TargetAnswer> TargetInquiry::ask(TargetQuestion question)
{
    HttpClientOptions options;
    options.bodies = &m_bodies;
    options.maximumBodyBytes = maximumBodyBytes;
    options.allowUnframedResponses = true;
    HttpClient client(m_node.settings.backend, std::move(options));
    auto exchanging = client.exchange(makeRequest(question), answerLimit);
    CallResult result = co_await std::move(exchanging);
    TargetAnswer answer = readTargetAnswer(m_dialect.names, question, result);
    logAnswer(question, result, answer);
    co_return answer;
}

void TargetInquiry::logAnswer(const TargetQuestion &question, const CallResult &result,
                              const TargetAnswer &answer)
{
    m_log.write(steadyNow(), LogLevel::Info, "target-answer",
                {{"instance", question.instance},
                 {"started_at_ms", fmt::to_string(question.startedAtMs)},
                 {"answer", std::string(nameOf(answer))},
                 {"reason", describe(result)}});
}

} // namespace ibiswell
