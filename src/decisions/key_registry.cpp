#include "ibiswell/decisions/key_registry.h"

#include "ibiswell/core/hash.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** A claim that has not settled after this time is no longer considered to be running. */
constexpr Duration maximumRunTime = 60s;

} // namespace

std::uint32_t keyRangeOf(std::string_view team, std::string_view key, int keyRanges)
{
    std::uint64_t hash = stableHash(key, stableHash(team));
    return static_cast<std::uint32_t>(hash % static_cast<std::uint64_t>(keyRanges));
}

std::string KeyRegistry::compositeKey(const std::string &team, const std::string &key)
{
    return fmt::format("{}:{}{}", team.size(), team, key);
}

void KeyRegistry::removeExpired(TimePoint now)
{
    while (!m_claimsByAge.empty() && now - m_claimsByAge.front().first > retentionTime) {
        auto found = m_keys.find(m_claimsByAge.front().second);
        if (found != m_keys.end() && found->second.claimedAt == m_claimsByAge.front().first) {
            m_responseBytes -= found->second.response.body.size();
            m_keys.erase(found);
        }
        m_claimsByAge.pop_front();
    }
}

KeyClaimResponse KeyRegistry::respondToKnownKey(TimePoint now, const Entry &entry) const
{
    if (entry.settled && entry.responseStored)
        return {KeyDone {entry.response}};
    if (entry.settled)
        return {Refusal {ErrorKind::OutcomeUnknown,
                         "an earlier attempt has run or may have run; no response is stored",
                         Execution::Unknown}};
    if (now - entry.claimedAt > maximumRunTime)
        return {Refusal {ErrorKind::OutcomeUnknown, "an earlier attempt did not report its outcome",
                         Execution::Unknown}};
    return {Refusal {ErrorKind::DuplicateInFlight, "an earlier attempt is still running",
                     Execution::Unknown}};
}

KeyClaimResponse KeyRegistry::claim(TimePoint now, TimePoint ownedSince, const KeyClaim &claim)
{
    removeExpired(now);
    std::string name = compositeKey(claim.team, claim.key);
    auto found = m_keys.find(name);
    if (found != m_keys.end())
        return respondToKnownKey(now, found->second);
    if (!claim.firstAttempt && now - ownedSince < retentionTime)
        return {Refusal {ErrorKind::OutcomeUnknown,
                         "the former owner of this key is gone; the request was not run now, but "
                         "an earlier attempt may have run",
                         Execution::Unknown}};
    if (m_keys.size() >= maximumKeys)
        return {Refusal {ErrorKind::KeyMemoryFull,
                         "the maximum number of idempotency keys is stored", Execution::NotRun}};
    m_keys.emplace(name, Entry {now, false, false, {}});
    m_claimsByAge.emplace_back(now, std::move(name));
    return {KeyGranted {}};
}

void KeyRegistry::settle(TimePoint now, const KeySettlement &settlement)
{
    removeExpired(now);
    auto found = m_keys.find(compositeKey(settlement.team, settlement.key));
    if (found == m_keys.end() || found->second.settled)
        return;
    Entry &entry = found->second;
    if (const Refusal *refusal = std::get_if<Refusal>(&settlement.result)) {
        if (refusal->execution == Execution::NotRun)
            m_keys.erase(found);
        else
            entry.settled = true;
        return;
    }
    const HttpResponse &response = std::get<HttpResponse>(settlement.result);
    entry.settled = true;
    entry.responseStored = response.body.size() <= maximumResponseBodyBytes
        && m_responseBytes + response.body.size() <= maximumResponseBytes;
    if (entry.responseStored) {
        entry.response = response;
        m_responseBytes += response.body.size();
    }
}

} // namespace ibiswell
