#include "rate_model.h"

#include <algorithm>
#include <cmath>

namespace ibiswell::model {

namespace {

using namespace std::chrono_literals;

constexpr Duration sameZoneLatency = 200us;
constexpr Duration tickInterval = 10ms;
constexpr Duration longestWait = 150ms;
const std::string team = "team";

/** A central token bucket: what an exact rate limiter without latency would admit. */
struct CentralBucket
{
    double rate;
    double burst;
    double tokens;
    TimePoint refilledAt {};

    bool admit(TimePoint now)
    {
        tokens = std::min(burst, tokens + rate * inSeconds(now - refilledAt));
        refilledAt = now;
        if (tokens < 1)
            return false;
        tokens -= 1;
        return true;
    }
};

/** Largest number of requests admitted in any interval in excess of rate times its length. */
struct ExcessMeter
{
    double rate;
    double level = 0;
    double largest = 0;
    TimePoint last {};

    void onAdmitted(TimePoint now)
    {
        level = std::max(0.0, level - rate * inSeconds(now - last)) + 1;
        last = now;
        largest = std::max(largest, level);
    }
};

class RateModel
{
public:
    explicit RateModel(const RateScenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
        , m_nodes(static_cast<std::size_t>(scenario.nodes))
        , m_shares(static_cast<std::size_t>(scenario.shares), RateShare(TimePoint {}))
        , m_central {scenario.ratePerSecond, scenario.burst, scenario.burst}
        , m_excess {scenario.ratePerSecond}
    {
        m_policy.defaults.rateShares = scenario.shares;
        m_policy.teams[team] = {scenario.ratePerSecond, scenario.burst, 1};
    }

    RateMeasurements run()
    {
        // The shares' buckets start empty and the central one full: requests start after 2 s, when
        // the shares' buckets have been filled too.
        m_events.at(TimePoint {} + 2s, [this] { arrive(); });
        for (std::size_t node = 0; node < m_nodes.size(); ++node)
            tickNode(node);
        m_events.runUntil(TimePoint {} + m_scenario.length + 1s);
        m_measurements.largestExcess = m_excess.largest;
        return m_measurements;
    }

private:
    struct WaitingRequest
    {
        TimePoint since;
        bool centralAdmits;
    };
    struct Node
    {
        TokenCache tokenCache;
        std::deque<WaitingRequest> waiting;
    };

    int zoneOf(std::size_t node) const { return static_cast<int>(node) % m_scenario.zones; }
    std::size_t holderOf(std::uint32_t share) const { return share % m_nodes.size(); }

    void arrive()
    {
        if (m_events.now() > TimePoint {} + m_scenario.length)
            return;
        double gap =
            -std::log(1 - uniform(m_random)) / (m_scenario.ratePerSecond * m_scenario.load);
        m_events.after(fromSeconds(gap), [this] { arrive(); });
        std::size_t node = m_scenario.singleEntryNode ? 0 : pickIndex(m_random, m_nodes.size());
        ++m_measurements.sent;
        WaitingRequest request {m_events.now(), m_central.admit(m_events.now())};
        m_measurements.centrallyAdmitted += request.centralAdmits ? 1 : 0;
        recordDecision(node, request, m_nodes[node].tokenCache.spend(m_events.now(), team));
        sendTokenRequests(node);
    }

    void recordDecision(std::size_t node, const WaitingRequest &request,
                        const TokenDecision &decision)
    {
        if (std::holds_alternative<TokenPending>(decision)) {
            m_nodes[node].waiting.push_back(request);
            return;
        }
        if (std::holds_alternative<TokenSpent>(decision)) {
            ++m_measurements.admitted;
            m_excess.onAdmitted(m_events.now());
            m_measurements.longestWait =
                std::max(m_measurements.longestWait, m_events.now() - request.since);
        } else {
            m_measurements.wronglyRefused += request.centralAdmits ? 1 : 0;
        }
    }

    void serveWaiting(std::size_t index)
    {
        Node &node = m_nodes[index];
        std::deque<WaitingRequest> waiting;
        waiting.swap(node.waiting);
        for (const WaitingRequest &request : waiting) {
            if (m_events.now() - request.since > longestWait) {
                node.tokenCache.cancelPending(team);
                m_measurements.wronglyRefused += request.centralAdmits ? 1 : 0;
                continue;
            }
            recordDecision(index, request, node.tokenCache.spendPending(m_events.now(), team));
        }
    }

    void tickNode(std::size_t node)
    {
        serveWaiting(node);
        sendTokenRequests(node);
        m_events.after(tickInterval, [this, node] { tickNode(node); });
    }

    void sendTokenRequests(std::size_t index)
    {
        auto distance = [&](std::uint32_t share) -> std::optional<int> {
            std::size_t holder = holderOf(share);
            return holder == index ? 0 : zoneOf(holder) == zoneOf(index) ? 1 : 2;
        };
        auto requests = m_nodes[index].tokenCache.takeRequests(m_events.now(), m_policy, distance);
        for (SendTokenRequest &request : requests) {
            std::size_t holder = holderOf(request.share);
            send(index, holder, [this, index, holder, request = request.request] {
                grant(index, holder, request);
            });
        }
    }

    void grant(std::size_t requester, std::size_t holder, const TokenRequest &request)
    {
        const TeamPolicy &policy = m_policy.team(team);
        int count = static_cast<int>(sharesOfTeam(team, policy, m_policy.defaults).size());
        TokenGrant grant {request.sequence, request.share, {}, RateShare::grantLifetime};
        for (const TokenAmount &wanted : request.wanted)
            grant.granted.push_back(
                m_shares[request.share].grant(m_events.now(), team, policy, count, wanted.tokens));
        send(holder, requester, [this, requester, grant] {
            m_nodes[requester].tokenCache.onGrant(m_events.now(), grant);
            serveWaiting(requester);
        });
    }

    void send(std::size_t from, std::size_t to, std::function<void()> deliver)
    {
        if (from == to) {
            deliver();
            return;
        }
        ++m_measurements.messages;
        if (uniform(m_random) < m_scenario.messageLoss)
            return;
        bool isSameZone = zoneOf(from) == zoneOf(to);
        m_events.after(isSameZone ? sameZoneLatency : m_scenario.otherZoneLatency,
                       std::move(deliver));
    }

    RateScenario m_scenario;
    EventQueue m_events;
    Random m_random;
    std::vector<Node> m_nodes;
    std::vector<RateShare> m_shares;
    Policy m_policy;
    CentralBucket m_central;
    ExcessMeter m_excess;
    RateMeasurements m_measurements;
};

} // namespace

RateMeasurements runRateModel(const RateScenario &scenario)
{
    return RateModel(scenario).run();
}

} // namespace ibiswell::model
