#include "ibiswell/decisions/store_check.h"

#include "ibiswell/core/hash.h"

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** The ages leave time for the statements of the higher ranks to arrive. */
struct RankGroup
{
    std::size_t end = 0; ///< The first rank beyond the group.
    Duration age {};
};

constexpr RankGroup groups[] {{1, firstStoreCheckAge}, {3, 1400ms}, {9, 1600ms}};
/** Changes must be in force within two seconds, also when only the last node hears the store. */
constexpr Duration lastAge = 1800ms;

std::uint64_t positionOf(const Member &member)
{
    return stableHash(member.node, stableHash("store-check"));
}

} // namespace

std::size_t storeCheckRank(const Member &self, const std::vector<const Member *> &watchers)
{
    std::uint64_t own = positionOf(self);
    std::size_t rank = 0;
    for (const Member *member : watchers) {
        if (member->node != self.node && positionOf(*member) > own)
            ++rank;
    }
    return rank;
}

Duration storeCheckAge(std::size_t rank)
{
    for (const RankGroup &group : groups) {
        if (rank < group.end)
            return group.age;
    }
    return lastAge;
}

} // namespace ibiswell
