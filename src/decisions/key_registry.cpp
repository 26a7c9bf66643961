#include "ibiswell/decisions/key_registry.h"

#include "ibiswell/core/hash.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** After this a claim that never settled counts as lost, not as running. */
constexpr Duration longestRun = 60s;

} // namespace

std::uint32_t keyRangeOf(std::string_view team, std::string_view key, int keyRanges)
{
    std::uint64_t hash = stableHash(key, stableHash(team));
    return static_cast<std::uint32_t>(hash % static_cast<std::uint64_t>(keyRanges));
}

std::string KeyRegistry::nameOf(const std::string &team, const std::string &key)
{
    return fmt::format("{}:{}{}", team.size(), team, key);
}

void KeyRegistry::forgetOld(TimePoint now)
{
    while (!m_byAge.empty() && now - m_byAge.front().first > remembered) {
        auto found = m_keys.find(m_byAge.front().second);
        if (found != m_keys.end() && found->second.claimedAt == m_byAge.front().first) {
            m_answerBytes -= found->second.answer.body.size();
            m_keys.erase(found);
        }
        m_byAge.pop_front();
    }
}

KeyClaimResponse KeyRegistry::answerKnown(TimePoint now, const Entry &entry) const
{
    if (entry.settled && entry.answerKept)
        return {KeyDone {entry.answer}};
    if (entry.settled)
        return {Refusal {ErrorKind::OutcomeUnknown, "ran before; its answer is not kept",
                         Execution::Unknown}};
    if (now - entry.claimedAt > longestRun)
        return {Refusal {ErrorKind::OutcomeUnknown, "an earlier attempt ended without word",
                         Execution::Unknown}};
    return {Refusal {ErrorKind::DuplicateInFlight, "an earlier attempt still runs",
                     Execution::Unknown}};
}

KeyClaimResponse KeyRegistry::claim(TimePoint now, TimePoint ownedSince, const KeyClaim &claim)
{
    forgetOld(now);
    std::string name = nameOf(claim.team, claim.key);
    auto found = m_keys.find(name);
    if (found != m_keys.end())
        return answerKnown(now, found->second);
    if (!claim.firstAttempt && now - ownedSince < remembered)
        return {Refusal {ErrorKind::OutcomeUnknown,
                         "the node that remembered this key is gone; the request was not run now, "
                         "an earlier attempt may have run",
                         Execution::Unknown}};
    if (m_keys.size() >= mostKeys)
        return {Refusal {ErrorKind::KeyMemoryFull, "too many idempotency keys are remembered",
                         Execution::NotRun}};
    m_keys.emplace(name, Entry {now, false, false, {}});
    m_byAge.emplace_back(now, std::move(name));
    return {KeyGranted {}};
}

void KeyRegistry::settle(TimePoint now, const KeySettlement &settled)
{
    forgetOld(now);
    auto found = m_keys.find(nameOf(settled.team, settled.key));
    if (found == m_keys.end() || found->second.settled)
        return;
    Entry &entry = found->second;
    if (const Refusal *refusal = std::get_if<Refusal>(&settled.result)) {
        if (refusal->execution == Execution::NotRun)
            m_keys.erase(found);
        else
            entry.settled = true;
        return;
    }
    const HttpResponse &answer = std::get<HttpResponse>(settled.result);
    entry.settled = true;
    entry.answerKept = answer.body.size() <= longestKeptAnswer
        && m_answerBytes + answer.body.size() <= mostAnswerBytes;
    if (entry.answerKept) {
        entry.answer = answer;
        m_answerBytes += answer.body.size();
    }
}

} // namespace ibiswell
