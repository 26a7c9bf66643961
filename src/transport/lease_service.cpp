#include "lease_service.h"

#include "ibiswell/policy/object_reader.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration tickInterval = 200ms;
/** Longer than the tick interval, because computing the wanted leases visits all members. */
constexpr Duration wantedInterval = 1s;

std::string formatRecord(const LeaseRecord &record)
{
    boost::json::object object;
    object["holder"] = record.holder;
    object["nonce"] = record.nonce;
    object["duration_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(record.duration).count();
    return boost::json::serialize(object);
}

std::optional<LeaseRecord> parseRecord(const PlatformObject &object)
{
    LeaseRecord record;
    record.version = object.version;
    if (object.version == 0)
        return record;
    Error error;
    auto value = parseJson(object.value, ErrorKind::PlatformUnavailable, error);
    if (!value)
        return std::nullopt;
    ErrorList errors;
    ObjectReader reader(*value, "lease", errors);
    reader.readText("holder", record.holder);
    reader.readText("nonce", record.nonce);
    reader.readMilliseconds("duration_ms", {0, 86'400'000}, record.duration);
    if (!errors.isEmpty())
        return std::nullopt;
    return record;
}

} // namespace

LeaseService::LeaseService(Kernel &kernel, asio::io_context &context)
    : m_context(context)
    , m_node(kernel.get<NodeState>("node"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_leases(kernel.get<LeaseManager>("leases"))
    , m_platform(kernel.get<PlatformClient>("platform"))
    , m_gossip(kernel.get<Gossip>("gossip"))
{
}

Task<void> LeaseService::maintain()
{
    std::vector<std::uint32_t> wanted;
    TimePoint wantedValidUntil;
    while (!m_node.stopping) {
        co_await sleepFor(tickInterval);
        if (!m_policy.isReady() || m_node.stopping)
            continue;
        const FleetDefaults &defaults = m_policy.policy().defaults;
        auto count = static_cast<std::uint32_t>(defaults.rateShares + defaults.keyRanges);
        TimePoint now = steadyNow();
        if (now >= wantedValidUntil) {
            wanted = leasesToAcquire(m_membership.self(), m_membership.activeMembers(), count);
            wantedValidUntil = now + wantedInterval;
        }
        spawn(m_leases.tick(now, wanted));
        m_gossip.announceLeases(m_leases.heldLeases(now));
    }
}

void LeaseService::spawn(std::vector<LeaseEffect> effects)
{
    for (LeaseEffect &effect : effects)
        asio::co_spawn(m_context, execute(std::move(effect)), asio::detached);
}

Task<void> LeaseService::execute(LeaseEffect effect)
{
    if (const ReadLease *readEffect = std::get_if<ReadLease>(&effect))
        co_await read(readEffect->lease);
    else
        co_await write(std::get<WriteLease>(effect));
}

Task<void> LeaseService::read(std::uint32_t lease)
{
    PlatformReply reply = co_await m_platform.get(leaseObjectName(lease));
    const PlatformObject *object = std::get_if<PlatformObject>(&reply);
    std::optional<LeaseRecord> record = object ? parseRecord(*object) : std::nullopt;
    if (record)
        spawn(m_leases.onRead(steadyNow(), lease, *record));
}

Task<void> LeaseService::write(WriteLease effect)
{
    TimePoint sentAt = steadyNow();
    std::string value = formatRecord(effect.record);
    PlatformReply reply =
        co_await m_platform.put(leaseObjectName(effect.lease), effect.ifVersion, value);
    if (const PlatformObject *object = std::get_if<PlatformObject>(&reply)) {
        effect.record.version = object->version;
        m_leases.onWritten(sentAt, effect.lease, effect.record);
        co_return;
    }
    spawn(m_leases.onWriteFailed(effect.lease));
}

Task<void> LeaseService::release()
{
    for (LeaseEffect &effect : m_leases.releaseAll(steadyNow()))
        co_await execute(std::move(effect));
}

} // namespace ibiswell
