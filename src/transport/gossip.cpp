#include "gossip.h"

#include "service_loop.h"

#include "ibiswell/wire/codec.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration pullTimeout = 2s;
constexpr std::size_t policyUpdateFanout = 4;
constexpr std::size_t knowledgeFanout = 8;
/** Bounds the time for which connections wait while datagrams are handled. */
constexpr int maximumReceivedAtOnce = 128;

} // namespace

Gossip::Gossip(Kernel &kernel, asio::io_context &context)
    : m_context(context)
    , m_node(kernel.get<NodeState>("node"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_router(kernel.get<Router>("router"))
    , m_connectivity(kernel.get<ConnectivityMonitor>("contact"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_connections(kernel.get<PeerConnectionPool>("peer-links"))
    , m_log(kernel.get<Log>("log"))
    , m_confirmation(kernel.find<StoreConfirmation>("store-confirmation"))
    , m_era(kernel.find<StoreEra>("store-era"))
    , m_metrics(kernel.get<Metrics>("metrics"))
    , m_socket(context)
{
    m_router.onMember(m_membership.self());
}

bool Gossip::listen(const Endpoint &endpoint)
{
    boost::system::error_code ec;
    auto address = asio::ip::make_address(endpoint.address, ec);
    if (!ec)
        m_socket.open(address.is_v6() ? udp::v6() : udp::v4(), ec);
    if (!ec)
        m_socket.bind(udp::endpoint(address, endpoint.port), ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec) {
        m_lastError =
            Error {ErrorKind::InvalidSetting,
                   fmt::format("cannot bind UDP {}: {}", toString(endpoint), ec.message())};
        return false;
    }
    startServiceLoop(m_context, m_log, "gossip", [this] { return receiveLoop(); });
    startServiceLoop(m_context, m_log, "probes", [this] { return probeLoop(); });
    return true;
}

void Gossip::send(const SendDatagram &effect)
{
    boost::system::error_code ec;
    auto address = asio::ip::make_address(effect.to.address, ec);
    if (ec)
        return;
    Datagram datagram = effect.datagram;
    datagram.store = storeStatement();
    std::string bytes = encode(datagram);
    if (bytes.size() > maximumDatagramBytes) {
        datagram.updates.clear();
        bytes = encode(datagram);
    }
    // An error here is a lost datagram, which the membership protocol tolerates.
    m_socket.send_to(asio::buffer(bytes), udp::endpoint(address, effect.to.port), 0, ec);
    m_metrics.recordSentDatagram(bytes.size());
}

void Gossip::apply(const MembershipEffects &effects)
{
    struct EffectVisitor
    {
        Gossip &gossip;
        void operator()(const SendDatagram &effect) const { gossip.send(effect); }
        void operator()(const MemberChanged &effect) const
        {
            const Member &member = effect.member;
            gossip.m_router.onMember(member);
            gossip.m_log.write(steadyNow(), LogLevel::Info, "member",
                               {{"node", member.node},
                                {"state", std::string(toString(member.state))},
                                {"takes_work", member.takesWork ? "yes" : "no"},
                                {"service", member.service},
                                {"zone", member.zone},
                                {"incarnation", fmt::to_string(member.incarnation)}});
        }
    };
    for (const MembershipEffect &effect : effects)
        std::visit(EffectVisitor {*this}, effect);
}

void Gossip::receive(std::string_view bytes)
{
    m_metrics.recordReceivedDatagram(bytes.size());
    Error error;
    std::optional<Datagram> datagram = decodeDatagram(bytes, error);
    if (!datagram) {
        m_log.write(steadyNow(), LogLevel::Warning, "datagram-malformed",
                    {{"detail", error.detail}});
        return;
    }
    m_connectivity.onPeerMessage(steadyNow());
    bool isBehind = takeStoreStatement(*datagram);
    apply(m_membership.onDatagram(steadyNow(), *datagram));
    if (isBehind && !m_pulling) {
        m_pulling = true;
        asio::co_spawn(m_context, pullPolicy(datagram->senderEndpoint), asio::detached);
    }
    if (m_tokenHandler)
        m_tokenHandler(*datagram);
}

bool Gossip::takeStoreStatement(const Datagram &datagram)
{
    const StoreStatement &statement = datagram.store;
    if (m_era)
        m_era->onStated(statement.era);
    m_policy.confirmZones(statement.zonesPosition, statement.zonesDigest);
    bool isPolicyBehind = datagram.policyVersion > m_policy.version();
    bool areZonesBehind = m_policy.isBehind(statement.zonesPosition, statement.zonesDigest);
    if (isPolicyBehind)
        onBehind(StoreTopic::Policy);
    if (areZonesBehind)
        onBehind(StoreTopic::ZonesOut);
    bool isBehind = isPolicyBehind || areZonesBehind;
    // What was current in an earlier era tells nothing of the store that came back.
    bool isOfThisEra = !m_era || statement.zonesPosition.era >= m_era->latest();
    if (m_confirmation && isOfThisEra && !isBehind)
        m_confirmation->onStatement(steadyNow(), statement.confirmationAge);
    return isBehind;
}

void Gossip::onBehind(StoreTopic topic)
{
    if (m_changeListener)
        m_changeListener(topic);
}

/**
 * Receives all datagrams that have arrived before it waits again. One for each pass of the event
 * loop would not do: on a busy node, probes and grants would wait behind each other.
 */
Task<void> Gossip::receiveLoop()
{
    std::string buffer(64u << 10, '\0');
    for (;;) {
        auto [ec] = co_await m_socket.async_wait(udp::socket::wait_read, asResult);
        if (ec == asio::error::operation_aborted)
            co_return;
        receivePending(buffer);
    }
}

void Gossip::receivePending(std::string &buffer)
{
    udp::endpoint sender;
    for (int i = 0; i < maximumReceivedAtOnce; ++i) {
        boost::system::error_code ec;
        std::size_t size = m_socket.receive_from(asio::buffer(buffer), sender, 0, ec);
        if (ec == asio::error::would_block)
            return;
        if (!ec)
            receive(std::string_view(buffer).substr(0, size));
    }
}

Task<void> Gossip::probeLoop()
{
    for (;;) {
        co_await sleepFor(Membership::probePeriod());
        apply(m_membership.tick(steadyNow(), m_node.random));
    }
}

Task<bool> Gossip::joinVia(Endpoint node)
{
    PeerMessage request = RosterRequest {m_membership.self()};
    PeerReply reply = co_await m_connections.exchange(node, request, pullTimeout);
    PeerMessage *message = std::get_if<PeerMessage>(&reply);
    RosterResponse *roster = message ? std::get_if<RosterResponse>(message) : nullptr;
    if (!roster)
        co_return false;
    mergeMembers(roster->members);
    apply(m_membership.sendToRandomMembers(MemberUpdate {}, policyUpdateFanout, m_node.random));
    co_await pullPolicy(node);
    co_return true;
}

Task<void> Gossip::pullPolicy(Endpoint from)
{
    PeerMessage pull = PolicyPull {m_policy.version(), m_policy.zonesOut().position};
    PeerReply reply = co_await m_connections.exchange(from, pull, pullTimeout);
    m_pulling = false;
    PeerMessage *message = std::get_if<PeerMessage>(&reply);
    PolicyResponse *response = message ? std::get_if<PolicyResponse>(message) : nullptr;
    if (response && m_policy.adopt(*response))
        onPolicyAdopted();
    if (response)
        adoptZones(response->zones);
}

void Gossip::mergeMembers(const std::vector<Member> &members)
{
    apply(m_membership.onRoster(steadyNow(), members));
}

/**
 * Made anew for each datagram: other nodes pass on the age that it states, and an age from earlier
 * would make knowledge younger with each node that passes it on.
 */
StoreStatement Gossip::storeStatement() const
{
    StoreStatement statement;
    statement.zonesPosition = m_policy.zonesOut().position;
    statement.zonesDigest = m_policy.zonesDigest();
    if (m_era)
        statement.era = m_era->latest();
    if (m_confirmation)
        statement.confirmationAge = m_confirmation->age(steadyNow());
    return statement;
}

void Gossip::spreadStoreKnowledge(const std::vector<Endpoint> &watchers)
{
    for (const Endpoint &watcher : watchers)
        sendTo(watcher, MemberUpdate {});
    apply(m_membership.sendToRandomMembers(MemberUpdate {}, knowledgeFanout, m_node.random));
}

void Gossip::sendTo(const Endpoint &member, GossipBody body)
{
    send({member, m_membership.makeDatagram(std::move(body))});
}

ZonesUpdate Gossip::adoptZones(const ZonesOut &zones)
{
    ZonesUpdate update = m_policy.adoptZones(steadyNow(), zones);
    if (update != ZonesUpdate::Changed)
        return update;
    m_log.write(steadyNow(), LogLevel::Info, "zones-adopted",
                {{"era", fmt::to_string(zones.position.era)},
                 {"revision", fmt::to_string(zones.position.revision)},
                 {"out", fmt::format("{}", fmt::join(zones.zones, ","))}});
    apply(
        m_membership.sendToRandomMembers(PolicyUpdateNotice {}, policyUpdateFanout, m_node.random));
    return update;
}

void Gossip::onPolicyAdopted()
{
    m_membership.setPolicyVersion(m_policy.version());
    m_log.write(steadyNow(), LogLevel::Info, "policy-adopted",
                {{"version", fmt::to_string(m_policy.version())}});
    apply(
        m_membership.sendToRandomMembers(PolicyUpdateNotice {}, policyUpdateFanout, m_node.random));
}

void Gossip::announceTakesWork(bool takesWork)
{
    if (takesWork == m_membership.self().takesWork)
        return;
    apply(m_membership.announceTakesWork(takesWork, m_node.random));
    m_router.onMember(m_membership.self());
}

void Gossip::announceUpdate()
{
    apply(m_membership.announceUpdate(m_node.random));
    m_router.onMember(m_membership.self());
}

void Gossip::announceLeaving()
{
    apply(m_membership.announceState(MemberState::Leaving, m_node.random));
    m_router.onMember(m_membership.self());
}

void Gossip::announceLeases(std::vector<std::uint32_t> leases)
{
    apply(m_membership.announceLeases(std::move(leases), m_node.random));
}

} // namespace ibiswell
