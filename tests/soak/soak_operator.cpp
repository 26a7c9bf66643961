#include "soak_operator.h"

#include <fmt/format.h>

namespace ibiswell::soak {

namespace {

using namespace std::chrono_literals;

constexpr Duration answerLimit = 3s;
constexpr int statusUnknownKey = 401;
constexpr int statusServed = 200;

std::string keyOf(int version)
{
    return fmt::format("key-of-{}", version);
}

} // namespace

SoakOperator::SoakOperator(test::PlatformDeployment &platform, SoakRecord &record,
                           const test::ConfigRates &rates)
    : m_platform(platform)
    , m_record(record)
    , m_rates(rates)
{
    changeConfig();
}

void SoakOperator::changeConfig()
{
    ++m_version;
    writeAgain();
    m_changedAt = steadyNow();
}

void SoakOperator::setEvacuated(bool isEvacuated)
{
    m_isEvacuated = isEvacuated;
    if (isEvacuated)
        m_platform.writeStore("POST", "/api/objects/evacuations",
                              R"({"metadata": {"name": "b"}, "spec": {}})");
    else
        m_platform.writeStore("DELETE", "/api/objects/evacuations/b");
}

void SoakOperator::writeAgain()
{
    std::string keys = fmt::format(R"("key-1", "{}")", keyOf(m_version));
    m_platform.writeStore("PUT", "/api/objects/config/main",
                          test::makeConfig(m_version, "shop", keys, m_rates));
    setEvacuated(m_isEvacuated);
}

void SoakOperator::onNodeFault(int node)
{
    m_nodeCalmSince[node] = std::nullopt;
}

void SoakOperator::onNodeCalm(int node)
{
    m_nodeCalmSince[node] = steadyNow();
}

void SoakOperator::onStoreFault(TimePoint end)
{
    m_storeCalmSince = std::max(m_storeCalmSince, end);
}

bool SoakOperator::isExcused(int node, TimePoint since) const
{
    auto found = m_nodeCalmSince.find(node);
    bool hadFault = found != m_nodeCalmSince.end()
        && (!found->second || since < *found->second + m_bounds.stable);
    return hadFault || since < m_changedAt + m_bounds.inForce
        || since < m_busyUntil + m_bounds.stable
        || since < m_storeCalmSince + m_bounds.stable + m_bounds.unstableStore;
}

Task<int> SoakOperator::statusWithKey(int port, int version)
{
    HttpClientOptions options;
    options.preserveHost = true;
    HttpClient client({"127.0.0.1", static_cast<std::uint16_t>(port)}, options);
    std::string id = fmt::format("operator-{}", m_sent++);
    m_record.attempt(id).mayRepeat = true;
    HttpRequest request {"GET",
                         "/x/1",
                         {{"Host", "a.example"},
                          {"Attempt-Id", id},
                          {"Deadline-Ms", "2000"},
                          {"Credential", keyOf(version)}},
                         {}};
    CallResult result = co_await client.exchange(std::move(request), answerLimit);
    const HttpResponse *response = std::get_if<HttpResponse>(&result);
    int status = response ? response->status : 0;
    m_record.attempt(id).status = status;
    co_return status;
}

void SoakOperator::report(int node, int version, const char *what)
{
    m_violations.push_back(fmt::format(
        "CONFIG: node {} {} version {} at {:.3f}, {:.3f} after the last change", node, what,
        version, inSeconds(steadyNow() - m_begin), inSeconds(steadyNow() - m_changedAt)));
}

Task<void> SoakOperator::check(int node, int port)
{
    TimePoint sentAt = steadyNow();
    int version = m_version;
    int current = co_await statusWithKey(port, version);
    int withdrawn = co_await statusWithKey(port, version - 1);
    // A change or a fault since then may explain the answers.
    if (version != m_version || isExcused(node, sentAt))
        co_return;
    ++m_checks;
    if (current == statusUnknownKey)
        report(node, version, "does not know the key of");
    if (withdrawn == statusServed)
        report(node, version - 1, "serves the withdrawn key of");
}

} // namespace ibiswell::soak
