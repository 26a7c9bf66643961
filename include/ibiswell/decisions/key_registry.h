#pragma once

#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace ibiswell {

/** Number of the range to which an idempotency key belongs. */
std::uint32_t keyRangeOf(std::string_view team, std::string_view key, int keyRanges);

/**
 * Remembers, as the owner of a range of idempotency keys, what became of each.
 *
 * Guarantee: while one node owns the range, a key's request is granted at most once, but for one
 * that settled as "not run". An owner that has not owned the range for as long as keys are
 * remembered cannot know a former owner's keys: it then grants only first attempts and answers
 * the others honestly.
 */
class KeyRegistry
{
public:
    /** How long a key is remembered. Callers must not repeat a key after that. */
    static constexpr Duration remembered = std::chrono::minutes(10);
    static constexpr std::size_t mostKeys = 200'000;
    static constexpr std::size_t mostAnswerBytes = 64u << 20; ///< Of all kept answers together.
    static constexpr std::size_t longestKeptAnswer = 16u << 10; ///< Bytes of one body.

    /** @param ownedSince when this node began to own the range of the key. */
    KeyClaimResponse claim(TimePoint now, TimePoint ownedSince, const KeyClaim &claim);
    void settle(TimePoint now, const KeySettlement &settled);

    std::size_t size() const { return m_keys.size(); }

private:
    struct Entry
    {
        TimePoint claimedAt;
        bool settled = false;
        bool answerKept = false;
        HttpResponse answer;
    };

    static std::string nameOf(const std::string &team, const std::string &key);
    void forgetOld(TimePoint now);
    KeyClaimResponse answerKnown(TimePoint now, const Entry &entry) const;

    std::unordered_map<std::string, Entry> m_keys;
    std::deque<std::pair<TimePoint, std::string>> m_byAge;
    std::size_t m_answerBytes = 0;
};

} // namespace ibiswell
