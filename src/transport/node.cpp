#include "ibiswell/transport/node.h"

#include "call_dispatcher.h"
#include "front.h"
#include "gossip.h"
#include "key_service.h"
#include "lease_service.h"
#include "loop_monitor.h"
#include "node_discovery.h"
#include "object_store_client.h"
#include "peer_server.h"
#include "platform_sync.h"
#include "rate_service.h"
#include "service_loop.h"
#include "status_page.h"
#include "store_sync.h"
#include "target_monitor.h"
#include "target_service.h"

#include "ibiswell/decisions/connectivity_monitor.h"
#include "ibiswell/decisions/downstream_capacity.h"
#include "ibiswell/decisions/inherited_retries.h"
#include "ibiswell/decisions/stop_admission.h"
#include "ibiswell/decisions/store_confirmation.h"
#include "ibiswell/decisions/store_era.h"
#include "ibiswell/kernel/kernel.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration healthInterval = 500ms;
constexpr int failuresUntilUnavailable = 2;
/**
 * Other nodes may choose this one until its announcement has reached them. For at least this time
 * the node stays up to refuse their calls as "not run".
 */
constexpr Duration minimumDrainTime = 2500ms;
constexpr Duration deregisterTimeout = 500ms;
constexpr Duration stopCheckInterval = 20ms;
/** Time for the answers to requests that are still in progress at the end of a planned stop. */
constexpr Duration lastAnswersTime = 200ms;
constexpr Duration maintenanceInterval = 1s;

/**
 * The bytes of bodies that the node may hold: a body exists several times while it is passed on
 * (as received, as a message to another node and as the bytes of that message).
 */
std::size_t bytesForBodies(const NodeSettings &settings)
{
    constexpr std::size_t copiesOfBody = 4;
    constexpr std::size_t partsOfMemory = 2; // the other part is for everything else
    std::size_t memoryBytes = static_cast<std::size_t>(settings.memoryMegabytes) << 20;
    return memoryBytes / partsOfMemory / copiesOfBody;
}

Member makeSelfMember(const NodeSettings &settings)
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch);
    Member self;
    self.node = settings.node;
    self.service = settings.service;
    self.zone = settings.zone;
    self.endpoint = {settings.address, static_cast<std::uint16_t>(settings.peerPort)};
    self.httpPort = static_cast<std::uint16_t>(settings.httpPort);
    // A restart has a higher incarnation. If the clock went back, the node raises its incarnation
    // when it refutes what others know of it.
    self.incarnation = static_cast<std::uint64_t>(milliseconds.count());
    return self;
}

} // namespace

struct Node::Impl
{
    Impl(NodeSettings settings, FrontChoice chosen);

    void addDecisions();
    void addTransport();
    void addCoordination(const NativeFront &);
    void addCoordination(const ExternalFront &front);
    void addFront(const NativeFront &);
    void addFront(const ExternalFront &front);
    std::optional<Error> listen(const NativeFront &) { return std::nullopt; }
    std::optional<Error> listen(const ExternalFront &front) { return front.listen(kernel); }
    void startTasks(const NativeFront &);
    void startTasks(const ExternalFront &);
    Task<void> leaveFleet(NativeFront);
    Task<void> leaveFleet(ExternalFront);
    void spawn(Task<void> task) { asio::co_spawn(context, std::move(task), asio::detached); }
    /** Runs a loop of a service in the background, by startServiceLoop(). */
    void spawnLoop(std::string name, std::function<Task<void>()> loop);
    void runEvents();

    Task<void> monitorBackendHealth();
    Task<void> runMaintenance();
    Task<void> drainOnSignal();
    Task<void> logReloadSignals();

    FrontChoice front;
    Kernel kernel;
    asio::io_context &context;
    std::optional<Error> lastError;
};

Node::Impl::Impl(NodeSettings settings, FrontChoice chosen)
    : front(std::move(chosen))
    , context(kernel.add<asio::io_context>("io", 1))
{
    kernel.add<Log>("log", settings.logLevel);
    NodeState &state = kernel.add<NodeState>("node");
    state.settings = std::move(settings);
    std::random_device seed;
    state.random.seed((static_cast<std::uint64_t>(seed()) << 32) | seed());
    state.runId = fmt::format("{:08x}", static_cast<std::uint32_t>(state.random()));
    addDecisions();
    addTransport();
    std::visit([&](const auto &kind) { addCoordination(kind); }, front);
    kernel.add<TargetService>("target", kernel, context);
    kernel.add<CallDispatcher>("call-path", kernel);
    std::visit([&](const auto &kind) { addFront(kind); }, front);
    kernel.add<PeerServer>("peer-server", kernel, context);
    kernel.add<Front>("front", kernel, context);
}

void Node::Impl::addDecisions()
{
    const NodeSettings &settings = kernel.get<NodeState>("node").settings;
    const ExternalFront *external = std::get_if<ExternalFront>(&front);
    kernel.add<Dialect>("dialect", external ? external->dialect : nativeDialect());
    kernel.add<PolicyStore>("policy");
    kernel.add<Membership>("membership", makeSelfMember(settings));
    kernel.add<Router>("router", settings.zone, settings.otherZoneLatency);
    kernel.add<PathTable>("paths");
    kernel.add<ConnectivityMonitor>("contact");
    kernel.add<RetryPolicy>("retries",
                            external ? RetryLimit(external->retries) : RetryAllowance {});
    kernel.add<TargetAdmission>("admission");
    kernel.add<StopAdmission>("stop-admission");
    kernel.add<CallTable>("calls");
    if (external) {
        kernel.add<StoreConfirmation>("store-confirmation");
        kernel.add<StoreEra>("store-era");
        kernel.add<EntryThrottle>("throttle");
        kernel.add<InheritedRetries>("inherited-retries");
        kernel.add<DownstreamCapacity>("downstream-capacity");
    }
    kernel.add<EntryAdmission>("entry", kernel);
}

void Node::Impl::addTransport()
{
    kernel.add<Metrics>("metrics");
    kernel.add<BufferBudget>("body-buffers",
                             bytesForBodies(kernel.get<NodeState>("node").settings));
    bool hasExplainPage = std::holds_alternative<NativeFront>(front);
    kernel.add<DecisionLog>("decisions", kernel,
                            hasExplainPage ? DecisionLog::defaultRetainedRequests : 0);
    kernel.add<PeerConnectionPool>("peer-links", &kernel.get<BufferBudget>("body-buffers"));
    kernel.add<Gossip>("gossip", kernel, context);
    kernel.add<LoopMonitor>("loop-monitor", kernel, context);
}

/**
 * Registers the services of the native front: leases, rates shared through them, idempotency keys
 * and the policy of the platform.
 */
void Node::Impl::addCoordination(const NativeFront &)
{
    const NodeState &state = kernel.get<NodeState>("node");
    const NodeSettings &settings = state.settings;
    kernel.add<LeaseManager>("leases", settings.node, state.runId, settings.leaseDuration);
    kernel.add<TokenCache>("purse");
    kernel.add<KeyRegistry>("key-registry");
    kernel.add<PlatformClient>("platform", settings.platform);
    kernel.add<LeaseService>("lease-service", kernel, context);
    kernel.add<RateService>("rates", kernel, context,
                            LeasedShares {&kernel.get<LeaseManager>("leases")});
    kernel.add<KeyService>("keys", kernel, context);
    kernel.add<PlatformSync>("platform-sync", kernel);
}

/**
 * Registers the services of an external front: the object store, the local target's reports,
 * records of saturated downstream services, and rates whose shares are issued by the highest-ranked
 * node.
 */
void Node::Impl::addCoordination(const ExternalFront &external)
{
    const NodeSettings &settings = kernel.get<NodeState>("node").settings;
    kernel.add<TargetGate>("target-gate", settings.service);
    kernel.add<DownstreamSaturation>("broken-calls");
    kernel.add<TokenCache>("purse");
    kernel.add<ObjectStoreClient>("object-store", external.store, settings.platform,
                                  kernel.get<StoreEra>("store-era"), kernel.get<Log>("log"),
                                  kernel.get<Metrics>("metrics"));
    kernel.add<StoreSync>("store-sync", kernel, context);
    kernel.add<NodeDiscovery>("node-discovery", kernel);
    kernel.add<RateService>("rates", kernel, context, RankedShares {});
}

void Node::Impl::addFront(const NativeFront &)
{
    kernel.add<StatusPage>("status", kernel);
}

void Node::Impl::addFront(const ExternalFront &external)
{
    kernel.add<TargetInquiry>("target-inquiry", kernel);
    kernel.add<TargetMonitor>("target-watch", kernel);
    external.addServices(kernel);
}

void Node::Impl::spawnLoop(std::string name, std::function<Task<void>()> loop)
{
    startServiceLoop(context, kernel.get<Log>("log"), std::move(name), std::move(loop));
}

void Node::Impl::startTasks(const NativeFront &)
{
    PlatformSync &sync = kernel.get<PlatformSync>("platform-sync");
    LeaseService &leases = kernel.get<LeaseService>("lease-service");
    spawnLoop("backend-health", [this] { return monitorBackendHealth(); });
    spawnLoop("join", [&sync] { return sync.join(); });
    spawnLoop("watch-policy", [&sync] { return sync.watchPolicy(); });
    spawnLoop("leases", [&leases] { return leases.maintain(); });
}

void Node::Impl::startTasks(const ExternalFront &)
{
    StoreSync &sync = kernel.get<StoreSync>("store-sync");
    NodeDiscovery &discovery = kernel.get<NodeDiscovery>("node-discovery");
    TargetMonitor &monitor = kernel.get<TargetMonitor>("target-watch");
    spawnLoop("discover-nodes", [&discovery] { return discovery.discoverNodes(); });
    spawnLoop("follow-policy", [&sync] { return sync.followPolicy(); });
    spawnLoop("follow-zones", [&sync] { return sync.followZones(); });
    spawnLoop("check-store", [&sync] { return sync.checkPeriodically(); });
    spawnLoop("target-gate", [&monitor] { return monitor.applyPeriodically(); });
    spawnLoop("target-questions", [&monitor] { return monitor.confirmStarts(); });
}

/** Releases the node's leases, so that other nodes can take them over at once. */
Task<void> Node::Impl::leaveFleet(NativeFront)
{
    auto releasing = kernel.get<LeaseService>("lease-service").release();
    co_await std::move(releasing);
}

/** Removes this node from the store, so that nodes that start do not try to join through it. */
Task<void> Node::Impl::leaveFleet(ExternalFront)
{
    auto deregistering = kernel.get<NodeDiscovery>("node-discovery").deregister();
    co_await withTimeout(std::move(deregistering), deregisterTimeout);
}

/**
 * Polls the backend server. It counts as unavailable only after it reported "draining" or could not
 * be connected to in failuresUntilUnavailable consecutive polls.
 */
Task<void> Node::Impl::monitorBackendHealth()
{
    NodeState &state = kernel.get<NodeState>("node");
    TargetService &target = kernel.get<TargetService>("target");
    Gossip &gossip = kernel.get<Gossip>("gossip");
    int failures = 0;
    while (!state.stopping) {
        bool ready = co_await target.isBackendReady();
        failures = ready ? 0 : failures + 1;
        state.backendUnavailable = failures >= failuresUntilUnavailable;
        if (!state.stopping)
            gossip.announceTakesWork(!state.backendUnavailable);
        co_await sleepFor(healthInterval);
    }
}

Task<void> Node::Impl::runMaintenance()
{
    for (;;) {
        co_await sleepFor(maintenanceInterval);
        kernel.get<PathTable>("paths").tick(steadyNow());
    }
}

/**
 * Performs a planned stop: announces it, refuses new calls as "not run", releases the node's leases
 * or deregisters it from the store, and waits for the calls in progress. Callers whose requests
 * have not ended by then are told so.
 */
Task<void> Node::Impl::drainOnSignal()
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(asResult);
    NodeState &state = kernel.get<NodeState>("node");
    TargetService &target = kernel.get<TargetService>("target");
    Front &callerFront = kernel.get<Front>("front");
    Log &log = kernel.get<Log>("log");
    log.write(steadyNow(), LogLevel::Info, "stop", {{"phase", "leaving"}});
    state.stopping = true;
    TimePoint begin = steadyNow();
    TimePoint end = begin + state.settings.stopLimit;
    kernel.get<StopAdmission>("stop-admission").begin(begin, end);
    kernel.get<Gossip>("gossip").announceLeaving();
    callerFront.drain();
    auto leaving = std::visit([&](const auto &kind) { return leaveFleet(kind); }, front);
    co_await std::move(leaving);
    auto isLimitReached = [&] { return steadyNow() >= end; };
    // The backend server makes calls through this node until its work has ended.
    while ((steadyNow() - begin < minimumDrainTime || target.inFlight() > 0) && !isLimitReached())
        co_await sleepFor(stopCheckInterval);
    callerFront.stop();
    while ((callerFront.connectionCount() > 0 || target.inFlight() > 0) && !isLimitReached())
        co_await sleepFor(stopCheckInterval);
    callerFront.endRequests();
    TimePoint answersEnd = steadyNow() + lastAnswersTime;
    while (callerFront.connectionCount() > 0 && steadyNow() < answersEnd)
        co_await sleepFor(stopCheckInterval);
    kernel.get<PeerServer>("peer-server").stop();
    log.write(steadyNow(), LogLevel::Info, "stop", {{"phase", "ended"}});
    context.stop();
}

/**
 * Handles events until the node has stopped. An exception that leaves a handler ends the task that
 * waited for the event, not the process with all that the others have in progress.
 */
void Node::Impl::runEvents()
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (const std::exception &exception) {
            kernel.get<Log>("log").write(steadyNow(), LogLevel::Error, "handler-failed",
                                         {{"detail", exception.what()}});
        }
    }
}

/** Logs SIGHUP without reloading: a changed settings file takes effect at the next start. */
Task<void> Node::Impl::logReloadSignals()
{
    asio::signal_set signals(context, SIGHUP);
    for (;;) {
        co_await signals.async_wait(asResult);
        kernel.get<Log>("log").write(steadyNow(), LogLevel::Info, "reload",
                                     {{"outcome", "settings unchanged until the next start"}});
    }
}

Node::Node(NodeSettings settings, FrontChoice front)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(front)))
{
}

Node::~Node() = default;

const std::optional<Error> &Node::lastError() const
{
    return m_impl->lastError;
}

bool Node::listen()
{
    Kernel &kernel = m_impl->kernel;
    const NodeSettings &settings = kernel.get<NodeState>("node").settings;
    Endpoint peer {settings.address, static_cast<std::uint16_t>(settings.peerPort)};
    Endpoint http {settings.address, static_cast<std::uint16_t>(settings.httpPort)};
    auto listenOn = [&](auto &service, const Endpoint &endpoint) {
        bool isListening = service.listen(endpoint);
        if (!isListening)
            m_impl->lastError = service.lastError();
        return isListening;
    };
    bool isListening = listenOn(kernel.get<PeerServer>("peer-server"), peer)
        && listenOn(kernel.get<Gossip>("gossip"), peer)
        && listenOn(kernel.get<Front>("front"), http);
    if (!isListening)
        return false;
    m_impl->lastError =
        std::visit([&](const auto &kind) { return m_impl->listen(kind); }, m_impl->front);
    return !m_impl->lastError;
}

void Node::run()
{
    Kernel &kernel = m_impl->kernel;
    const NodeSettings &settings = kernel.get<NodeState>("node").settings;
    kernel.get<Log>("log").write(steadyNow(), LogLevel::Info, "start",
                                 {{"node", settings.node},
                                  {"service", settings.service},
                                  {"zone", settings.zone},
                                  {"run", kernel.get<NodeState>("node").runId}});
    LoopMonitor &loopMonitor = kernel.get<LoopMonitor>("loop-monitor");
    TargetService &target = kernel.get<TargetService>("target");
    RateService &rates = kernel.get<RateService>("rates");
    Impl &impl = *m_impl;
    impl.spawn(impl.drainOnSignal());
    impl.spawnLoop("reload", [&impl] { return impl.logReloadSignals(); });
    impl.spawnLoop("maintenance", [&impl] { return impl.runMaintenance(); });
    impl.spawnLoop("receive-probes", [&loopMonitor] { return loopMonitor.receiveProbes(); });
    impl.spawnLoop("send-probes", [&loopMonitor] { return loopMonitor.sendProbes(); });
    impl.spawnLoop("expire-calls", [&target] { return target.expireWaitingCalls(); });
    impl.spawnLoop("tokens", [&rates] { return rates.replenishTokens(); });
    std::visit([&impl](const auto &kind) { impl.startTasks(kind); }, impl.front);
    impl.runEvents();
    kernel.get<Log>("log").close();
    std::_Exit(0);
}

} // namespace ibiswell
