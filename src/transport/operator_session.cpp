#include "ibiswell/transport/operator_session.h"

#include "asio.h"
#include "http_client.h"
#include "platform_client.h"

#include "ibiswell/policy/object_reader.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

#include <random>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view statusPath = "/-/status";
constexpr Duration pageTimeout = 2s;
constexpr int maximumChangeAttempts = 8;
constexpr Duration readRetryDelay = 300ms;
constexpr Duration pollInterval = 20ms;

std::string newChangeId()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}", device(), device());
}

/** Runs a task to completion on @p context, which has no other tasks. */
template<typename T> T runTask(asio::io_context &context, Task<T> task)
{
    std::optional<T> result;
    auto storeResult = [&result](const std::exception_ptr &, T value) {
        result = std::move(value);
    };
    context.restart();
    asio::co_spawn(context, std::move(task), storeResult);
    context.run();
    return std::move(*result);
}

} // namespace

struct OperatorSession::Impl
{
    Endpoint platformEndpoint;
    Endpoint node;
    std::string token;
    asio::io_context context {1};
    std::optional<Error> lastError;

    PlatformReply getPolicy()
    {
        PlatformClient platform(platformEndpoint);
        return runTask(context, platform.get(std::string(policyObjectName)));
    }
    PlatformReply putPolicy(std::uint64_t ifVersion, const StoredPolicy &stored)
    {
        PlatformClient platform(platformEndpoint);
        return runTask(
            context,
            platform.put(std::string(policyObjectName), ifVersion, serializeStoredPolicy(stored)));
    }
};

OperatorSession::OperatorSession(Endpoint platform, Endpoint node, std::string token)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->platformEndpoint = std::move(platform);
    m_impl->node = std::move(node);
    m_impl->token = std::move(token);
}

OperatorSession::~OperatorSession() = default;

const std::optional<Error> &OperatorSession::lastError() const
{
    return m_impl->lastError;
}

const Endpoint &OperatorSession::node() const
{
    return m_impl->node;
}

std::optional<StoredPolicy> OperatorSession::readPolicy()
{
    PlatformReply reply = m_impl->getPolicy();
    if (const Error *error = std::get_if<Error>(&reply)) {
        m_impl->lastError = *error;
        return std::nullopt;
    }
    const PlatformObject &object = std::get<PlatformObject>(reply);
    if (object.version == 0)
        return StoredPolicy {};
    Error error;
    std::optional<StoredPolicy> stored = parseStoredPolicy(object.value, object.version, error);
    if (!stored)
        m_impl->lastError = error;
    return stored;
}

std::optional<std::uint64_t> OperatorSession::submitChange(const PolicyChange &change)
{
    std::string id = newChangeId();
    std::optional<PolicyDocument> before;
    for (int attempts = 0; attempts < maximumChangeAttempts; ++attempts) {
        std::optional<StoredPolicy> stored = readPolicy();
        if (!stored) {
            std::this_thread::sleep_for(readRetryDelay);
            continue;
        }
        if (stored->hasChange(id))
            return stored->document.version;
        if (before && !isIndependent(change, *before, stored->document)) {
            m_impl->lastError =
                Error {ErrorKind::VersionConflict,
                       fmt::format("another operator changed the same entries (version {}); "
                                   "nothing was written",
                                   stored->document.version)};
            return std::nullopt;
        }
        before = stored->document;
        Error error;
        if (!applyChange(stored->document, change, error)) {
            m_impl->lastError = error;
            return std::nullopt;
        }
        std::uint64_t version = stored->document.version;
        stored->addChange(id);
        PlatformReply reply = m_impl->putPolicy(version, *stored);
        if (const PlatformObject *object = std::get_if<PlatformObject>(&reply))
            return object->version;
        if (const Error *failure = std::get_if<Error>(&reply))
            m_impl->lastError = *failure;
    }
    if (!m_impl->lastError || m_impl->lastError->kind != ErrorKind::PlatformUnavailable)
        m_impl->lastError =
            Error {ErrorKind::VersionConflict, "other operators wrote first at every attempt"};
    return std::nullopt;
}

std::optional<std::string> OperatorSession::fetchPage(const Endpoint &node, const std::string &path)
{
    HttpClient client(node);
    HttpRequest request {"GET", path, {}, {}};
    if (!m_impl->token.empty())
        request.headers.push_back({"authorization", "Bearer " + m_impl->token});
    CallResult result = runTask(m_impl->context, client.exchange(std::move(request), pageTimeout));
    if (const Refusal *refusal = std::get_if<Refusal>(&result)) {
        m_impl->lastError =
            Error {refusal->kind, fmt::format("{}: {}", toString(node), refusal->detail)};
        return std::nullopt;
    }
    HttpResponse &response = std::get<HttpResponse>(result);
    if (response.status != 200) {
        m_impl->lastError =
            Error {ErrorKind::NotPermitted,
                   fmt::format("{} responded with status {}", toString(node), response.status)};
        return std::nullopt;
    }
    return std::move(response.body);
}

bool OperatorSession::readPage(const Endpoint &node, const std::string &path,
                               const PageReader &read)
{
    std::optional<std::string> page = fetchPage(node, path);
    if (!page)
        return false;
    try {
        read(boost::json::parse(*page));
    } catch (const std::exception &failure) {
        m_impl->lastError = Error {ErrorKind::MalformedMessage,
                                   fmt::format("{}: the page {} cannot be read: {}", toString(node),
                                               path, failure.what())};
        return false;
    }
    return true;
}

std::optional<std::vector<Endpoint>> OperatorSession::fetchMembers()
{
    std::vector<Endpoint> endpoints;
    auto readMembers = [&](const boost::json::value &page) {
        for (const boost::json::value &member : page.at("members").as_array()) {
            std::string state {member.at("state").as_string()};
            if (state == "dead")
                continue;
            endpoints.push_back({std::string(member.at("address").as_string()),
                                 member.at("http_port").to_number<std::uint16_t>()});
        }
    };
    if (!readPage(m_impl->node, std::string(statusPath), readMembers))
        return std::nullopt;
    return endpoints;
}

std::optional<OperatorSession::RolloutStatus> OperatorSession::waitForRollout(std::uint64_t version,
                                                                              Duration limit)
{
    TimePoint start = steadyNow();
    std::optional<std::vector<Endpoint>> nodes = fetchMembers();
    if (!nodes)
        return std::nullopt;
    std::vector<Endpoint> pending = *nodes;
    RolloutStatus rollout {nodes->size(), pending.size(), {}};
    for (;;) {
        std::erase_if(pending, [&](const Endpoint &endpoint) {
            std::uint64_t inForce = 0;
            bool isKnown =
                readPage(endpoint, std::string(statusPath), [&](const boost::json::value &page) {
                    inForce = page.at("policy_version").to_number<std::uint64_t>();
                });
            return isKnown && inForce >= version;
        });
        rollout.pending = pending.size();
        rollout.elapsed = steadyNow() - start;
        if (pending.empty() || rollout.elapsed >= limit)
            return rollout;
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace ibiswell
