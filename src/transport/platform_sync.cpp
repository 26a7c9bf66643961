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

constexpr std::size_t mostContacts = 16;
constexpr Duration watchWait = 3s; // under half of what makes a node count as cut off
constexpr Duration pauseAfterFailure = 500ms;
constexpr Duration watcherCheckInterval = 1s;
constexpr Duration pauseBetweenJoins = 500ms;
constexpr int offerTries = 4;

std::vector<Endpoint> readContacts(const std::string &text)
{
    std::vector<Endpoint> contacts;
    Error error;
    auto value = parseJson(text, ErrorKind::PlatformUnavailable, error);
    if (!value || !value->is_array())
        return contacts;
    for (const boost::json::value &item : value->as_array()) {
        ErrorList faults;
        Endpoint contact;
        int port = 0;
        ObjectReader reader(item, "contact", faults);
        reader.requiredText("address", contact.address);
        reader.integer("port", {1, 65535}, port);
        contact.port = static_cast<std::uint16_t>(port);
        if (faults.isEmpty())
            contacts.push_back(std::move(contact));
    }
    return contacts;
}

std::string writeContacts(const std::vector<Endpoint> &contacts)
{
    boost::json::array array;
    for (const Endpoint &contact : contacts)
        array.push_back(boost::json::object {{"address", contact.address}, {"port", contact.port}});
    return boost::json::serialize(array);
}

} // namespace

PlatformSync::PlatformSync(Kernel &kernel)
    : m_node(kernel.get<NodeState>("node"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_contact(kernel.get<Contact>("contact"))
    , m_platform(kernel.get<PlatformClient>("platform"))
    , m_gossip(kernel.get<Gossip>("gossip"))
    , m_log(kernel.get<Log>("log"))
{
}

Task<std::vector<Endpoint>> PlatformSync::contacts(std::uint64_t &version, bool &known)
{
    PlatformReply reply = co_await m_platform.get(std::string(seedNodesObjectName));
    const PlatformObject *object = std::get_if<PlatformObject>(&reply);
    known = object != nullptr;
    if (!object)
        co_return m_node.settings.contacts;
    version = object->version;
    std::vector<Endpoint> contacts = readContacts(object->value);
    contacts.insert(contacts.end(), m_node.settings.contacts.begin(),
                    m_node.settings.contacts.end());
    co_return contacts;
}

Task<void> PlatformSync::join()
{
    const Endpoint self = m_membership.self().endpoint;
    for (int tries = 0;; ++tries) {
        std::uint64_t version = 0;
        bool known = false;
        std::vector<Endpoint> all = co_await contacts(version, known);
        std::vector<Endpoint> answering;
        for (const Endpoint &contact : all) {
            bool joined = contact != self && co_await m_gossip.joinBy(contact);
            if (joined)
                answering.push_back(contact);
        }
        m_log.write(
            steadyNow(), LogLevel::Info, "joined",
            {{"contacts", fmt::to_string(answering.size())}, {"platform", known ? "up" : "down"}});
        if (known && tries < offerTries)
            co_await offerAsContact(version, answering);
        bool settled = known && (!answering.empty() || tries >= offerTries);
        if (settled)
            co_return;
        co_await sleepFor(pauseBetweenJoins);
    }
}

Task<void> PlatformSync::offerAsContact(std::uint64_t version, std::vector<Endpoint> answering)
{
    const Endpoint self = m_membership.self().endpoint;
    if (answering.size() >= mostContacts)
        co_return;
    answering.push_back(self);
    std::sort(answering.begin(), answering.end());
    answering.erase(std::unique(answering.begin(), answering.end()), answering.end());
    std::string value = writeContacts(answering);
    co_await m_platform.put(std::string(seedNodesObjectName), version, value);
}

Task<void> PlatformSync::watchPolicy()
{
    for (;;) {
        bool watches = !m_policy.isReady() || m_contact.arePeersSilent(steadyNow())
            || isPolicyWatcher(m_membership.self(), m_membership.activeMembers());
        if (!watches) {
            co_await sleepFor(watcherCheckInterval);
            continue;
        }
        std::uint64_t after = std::max(m_seenVersion, m_policy.version());
        PlatformReply reply =
            co_await m_platform.watch(std::string(policyObjectName), after, watchWait);
        const PlatformObject *object = std::get_if<PlatformObject>(&reply);
        if (object)
            m_contact.onPlatformHeard(steadyNow());
        if (object && object->version > after) {
            m_seenVersion = object->version;
            take(*object);
        }
        if (!object || object->version == 0)
            co_await sleepFor(pauseAfterFailure);
    }
}

void PlatformSync::take(const PlatformObject &object)
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
