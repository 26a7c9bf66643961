#include "platform_sync.h"

#include "ibiswell/policy/object_reader.h"
#include "ibiswell/policy/stored_policy.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maximumSeedNodes = 16;
constexpr Duration watchWait = 3s; // under half of the time until a node counts as isolated
constexpr Duration retryDelay = 500ms;
constexpr Duration watcherCheckInterval = 1s;
constexpr Duration joinRetryInterval = 500ms;
constexpr int registrationAttempts = 4;

std::vector<Endpoint> parseSeedNodes(const std::string &text)
{
    std::vector<Endpoint> seedNodes;
    Error error;
    auto value = parseJson(text, ErrorKind::PlatformUnavailable, error);
    if (!value || !value->is_array())
        return seedNodes;
    for (const boost::json::value &item : value->as_array()) {
        ErrorList errors;
        Endpoint seed;
        int port = 0;
        ObjectReader reader(item, "contact", errors);
        reader.readRequiredText("address", seed.address);
        reader.readInteger("port", {1, 65535}, port);
        seed.port = static_cast<std::uint16_t>(port);
        if (errors.isEmpty())
            seedNodes.push_back(std::move(seed));
    }
    return seedNodes;
}

std::string serializeSeedNodes(const std::vector<Endpoint> &seedNodes)
{
    boost::json::array array;
    for (const Endpoint &seed : seedNodes)
        array.push_back(boost::json::object {{"address", seed.address}, {"port", seed.port}});
    return boost::json::serialize(array);
}

} // namespace

PlatformSync::PlatformSync(Kernel &kernel)
    : m_node(kernel.get<NodeState>("node"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_connectivity(kernel.get<ConnectivityMonitor>("contact"))
    , m_platform(kernel.get<PlatformClient>("platform"))
    , m_gossip(kernel.get<Gossip>("gossip"))
    , m_log(kernel.get<Log>("log"))
{
}

Task<std::vector<Endpoint>> PlatformSync::fetchSeedNodes(std::uint64_t &version,
                                                         bool &platformReachable)
{
    PlatformReply reply = co_await m_platform.get(std::string(seedNodesObjectName));
    const PlatformObject *object = std::get_if<PlatformObject>(&reply);
    platformReachable = object != nullptr;
    if (!object)
        co_return m_node.settings.seedNodes;
    version = object->version;
    std::vector<Endpoint> seedNodes = parseSeedNodes(object->value);
    seedNodes.insert(seedNodes.end(), m_node.settings.seedNodes.begin(),
                     m_node.settings.seedNodes.end());
    co_return seedNodes;
}

Task<void> PlatformSync::join()
{
    const Endpoint self = m_membership.self().endpoint;
    for (int attempts = 0;; ++attempts) {
        std::uint64_t version = 0;
        bool platformReachable = false;
        std::vector<Endpoint> candidates = co_await fetchSeedNodes(version, platformReachable);
        std::vector<Endpoint> responding;
        for (const Endpoint &seed : candidates) {
            bool responds = seed != self && co_await m_gossip.joinVia(seed);
            if (responds)
                responding.push_back(seed);
        }
        m_log.write(steadyNow(), LogLevel::Info, "joined",
                    {{"contacts", fmt::to_string(responding.size())},
                     {"platform", platformReachable ? "up" : "down"}});
        bool hasAttemptsLeft = attempts < registrationAttempts;
        bool registered = false;
        if (platformReachable && hasAttemptsLeft) {
            auto registering = registerAsSeed(version, std::move(candidates), responding);
            registered = co_await std::move(registering);
        }
        bool joined = registered && !responding.empty();
        bool finished = platformReachable && (joined || !hasAttemptsLeft);
        if (finished)
            co_return;
        co_await sleepFor(joinRetryInterval);
    }
}

/**
 * A list that would not change is not written: nodes that start together would otherwise lose their
 * registrations to the conflict with it.
 */
Task<bool> PlatformSync::registerAsSeed(std::uint64_t version, std::vector<Endpoint> listed,
                                        std::vector<Endpoint> responding)
{
    const Endpoint self = m_membership.self().endpoint;
    if (responding.size() >= maximumSeedNodes)
        co_return true;
    responding.push_back(self);
    std::sort(responding.begin(), responding.end());
    responding.erase(std::unique(responding.begin(), responding.end()), responding.end());
    std::sort(listed.begin(), listed.end());
    listed.erase(std::unique(listed.begin(), listed.end()), listed.end());
    bool isStored = version > 0 && listed == responding;
    if (isStored)
        co_return true;
    std::string value = serializeSeedNodes(responding);
    PlatformReply reply = co_await m_platform.put(std::string(seedNodesObjectName), version, value);
    co_return std::holds_alternative<PlatformObject>(reply);
}

Task<void> PlatformSync::watchPolicy()
{
    for (;;) {
        bool shouldWatch = !m_policy.isReady() || m_connectivity.arePeersSilent(steadyNow())
            || isPolicyWatcher(m_membership.self(), m_membership.activeMembers());
        if (!shouldWatch) {
            co_await sleepFor(watcherCheckInterval);
            continue;
        }
        std::uint64_t after = std::max(m_seenVersion, m_policy.version());
        PlatformReply reply =
            co_await m_platform.watch(std::string(policyObjectName), after, watchWait);
        const PlatformObject *object = std::get_if<PlatformObject>(&reply);
        if (object)
            m_connectivity.onPlatformResponse(steadyNow());
        if (object && object->version > after) {
            m_seenVersion = object->version;
            adoptPolicy(*object);
        }
        if (!object || object->version == 0)
            co_await sleepFor(retryDelay);
    }
}

void PlatformSync::adoptPolicy(const PlatformObject &object)
{
    Error error;
    std::optional<StoredPolicy> stored = parseStoredPolicy(object.value, object.version, error);
    if (stored && m_policy.adopt(std::move(stored->document))) {
        m_gossip.onPolicyAdopted();
        return;
    }
    m_log.write(steadyNow(), LogLevel::Error, "policy-rejected",
                {{"version", fmt::to_string(object.version)},
                 {"detail", stored ? m_policy.lastError()->detail : error.detail}});
}

} // namespace ibiswell
