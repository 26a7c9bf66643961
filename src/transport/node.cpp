#include "ibiswell/transport/node.h"

#include "call_path.h"
#include "front.h"
#include "gossip.h"
#include "key_service.h"
#include "lease_service.h"
#include "peer_server.h"
#include "platform_sync.h"
#include "rate_service.h"
#include "status_page.h"
#include "target_service.h"

#include "ibiswell/decisions/contact.h"
#include "ibiswell/kernel/kernel.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration healthInterval = 500ms;
constexpr int failuresBeforeLeaving = 2;
/** Other nodes may still choose this one; until then they are refused with "not run". */
constexpr Duration noticeBeforeStop = 1500ms;
constexpr Duration stopCheckInterval = 20ms;
constexpr Duration tidyInterval = 1s;

Member selfFrom(const NodeSettings &settings)
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch);
    Member self;
    self.node = settings.node;
    self.service = settings.service;
    self.zone = settings.zone;
    self.endpoint = {settings.address, static_cast<std::uint16_t>(settings.peerPort)};
    self.httpPort = static_cast<std::uint16_t>(settings.httpPort);
    // A restart counts as newer; a clock that went back is mended by the refutation.
    self.incarnation = static_cast<std::uint64_t>(milliseconds.count());
    return self;
}

} // namespace

struct Node::Parts
{
    explicit Parts(NodeSettings settings);

    Task<void> watchHealth();
    Task<void> tidy();
    Task<void> stopOnSignal();

    asio::io_context context {1};
    Kernel kernel;
    std::optional<Error> lastError;
};

Node::Parts::Parts(NodeSettings settings)
{
    kernel.add<Log>("log", settings.logLevel);
    NodeState &state = kernel.add<NodeState>("node");
    state.settings = std::move(settings);
    std::random_device seed;
    state.random.seed((static_cast<std::uint64_t>(seed()) << 32) | seed());
    state.start = fmt::format("{:08x}", static_cast<std::uint32_t>(state.random()));
    const NodeSettings &own = state.settings;

    // Decisions.
    kernel.add<PolicyStore>("policy");
    kernel.add<Membership>("membership", selfFrom(own));
    kernel.add<Router>("router", own.zone, own.otherZoneLatency);
    kernel.add<PathTable>("paths");
    kernel.add<Contact>("contact");
    kernel.add<RetryPolicy>("retries");
    kernel.add<TargetAdmission>("admission");
    kernel.add<CallTable>("calls");
    kernel.add<LeaseKeeper>("leases", own.node, state.start, own.leaseDuration);
    kernel.add<TokenPurse>("purse");
    kernel.add<KeyRegistry>("key-registry");
    kernel.add<EntryAdmission>("entry", kernel);

    // Transport.
    kernel.add<Metrics>("metrics");
    kernel.add<DecisionLog>("decisions", kernel);
    kernel.add<PeerLinks>("peer-links");
    kernel.add<PlatformClient>("platform", own.platform);
    kernel.add<Gossip>("gossip", kernel, context);
    kernel.add<LeaseService>("lease-service", kernel, context);
    kernel.add<RateService>("rates", kernel, context);
    kernel.add<KeyService>("keys", kernel, context);
    kernel.add<PlatformSync>("platform-sync", kernel);
    kernel.add<TargetService>("target", kernel, context);
    kernel.add<CallPath>("call-path", kernel);
    kernel.add<StatusPage>("status", kernel);
    kernel.add<PeerServer>("peer-server", kernel, context);
    kernel.add<Front>("front", kernel, context);
}

/** Follows what the backend server says of itself: only "draining" and silence are believed. */
Task<void> Node::Parts::watchHealth()
{
    NodeState &state = kernel.get<NodeState>("node");
    TargetService &target = kernel.get<TargetService>("target");
    Gossip &gossip = kernel.get<Gossip>("gossip");
    int failures = 0;
    while (!state.stopping) {
        bool ready = co_await target.isBackendReady();
        failures = ready ? 0 : failures + 1;
        state.backendLeaving = failures >= failuresBeforeLeaving;
        if (!state.stopping)
            gossip.announce(state.backendLeaving ? MemberState::Leaving : MemberState::Alive);
        co_await sleepFor(healthInterval);
    }
}

Task<void> Node::Parts::tidy()
{
    for (;;) {
        co_await sleepFor(tidyInterval);
        kernel.get<PathTable>("paths").tick(steadyNow());
    }
}

/** A planned stop: announce, refuse new calls as "not run", finish what runs, leave. */
Task<void> Node::Parts::stopOnSignal()
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(asResult);
    NodeState &state = kernel.get<NodeState>("node");
    TargetService &target = kernel.get<TargetService>("target");
    Front &front = kernel.get<Front>("front");
    Log &log = kernel.get<Log>("log");
    log.write(steadyNow(), LogLevel::Info, "stop", {{"phase", "leaving"}});
    state.stopping = true;
    TimePoint begin = steadyNow();
    kernel.get<Gossip>("gossip").announce(MemberState::Leaving);
    auto releasing = kernel.get<LeaseService>("lease-service").release();
    co_await std::move(releasing);
    auto mayEnd = [&] { return steadyNow() - begin > state.settings.stopLimit; };
    while ((target.inFlight() > 0 || steadyNow() - begin < noticeBeforeStop) && !mayEnd())
        co_await sleepFor(stopCheckInterval);
    front.stop();
    while ((front.connections() > 0 || target.inFlight() > 0) && !mayEnd())
        co_await sleepFor(stopCheckInterval);
    kernel.get<PeerServer>("peer-server").stop();
    log.write(steadyNow(), LogLevel::Info, "stop", {{"phase", "ended"}});
    context.stop();
}

Node::Node(NodeSettings settings)
    : m_parts(std::make_unique<Parts>(std::move(settings)))
{
}

Node::~Node() = default;

const std::optional<Error> &Node::lastError() const
{
    return m_parts->lastError;
}

bool Node::listen()
{
    Kernel &kernel = m_parts->kernel;
    const NodeSettings &settings = kernel.get<NodeState>("node").settings;
    Endpoint peer {settings.address, static_cast<std::uint16_t>(settings.peerPort)};
    Endpoint http {settings.address, static_cast<std::uint16_t>(settings.httpPort)};
    auto listenOn = [&](auto &service, const Endpoint &endpoint) {
        bool listens = service.listen(endpoint);
        if (!listens)
            m_parts->lastError = service.lastError();
        return listens;
    };
    return listenOn(kernel.get<PeerServer>("peer-server"), peer)
        && listenOn(kernel.get<Gossip>("gossip"), peer)
        && listenOn(kernel.get<Front>("front"), http);
}

void Node::run()
{
    asio::io_context &context = m_parts->context;
    Kernel &kernel = m_parts->kernel;
    asio::co_spawn(context, m_parts->stopOnSignal(), asio::detached);
    asio::co_spawn(context, m_parts->watchHealth(), asio::detached);
    asio::co_spawn(context, m_parts->tidy(), asio::detached);
    asio::co_spawn(context, kernel.get<PlatformSync>("platform-sync").join(), asio::detached);
    asio::co_spawn(context, kernel.get<PlatformSync>("platform-sync").watchPolicy(),
                   asio::detached);
    asio::co_spawn(context, kernel.get<LeaseService>("lease-service").keep(), asio::detached);
    asio::co_spawn(context, kernel.get<RateService>("rates").keepStock(), asio::detached);
    asio::co_spawn(context, kernel.get<TargetService>("target").expireWaiting(), asio::detached);
    context.run();
    kernel.get<Log>("log").close();
    std::_Exit(0);
}

} // namespace ibiswell
