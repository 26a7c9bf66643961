#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ibiswell {

/** A node's address: an IP number with the node's TCP port; UDP uses the same port number. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default; // NOLINT(modernize-use-nullptr)
};

std::string toString(const Endpoint &endpoint);

/** State of a member as the membership protocol knows it. */
enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead };

/** One node with the target beside it, as it announces itself. */
struct Member
{
    std::string node; ///< Name of the node, unique in the fleet.
    std::string service; ///< Service of the target beside it.
    std::string zone; ///< Availability zone.
    Endpoint endpoint;
    std::uint16_t httpPort = 0; ///< Where callers and operators reach the node.
    /** Raised by the node itself, at each start and to refute a suspicion. */
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    /** Numbers of the leases that the node holds (rate shares, key ranges). */
    std::vector<std::uint32_t> leases;
    /** Whether the target beside the node takes new work; the node itself may live on without. */
    bool takesWork = true;

    bool operator==(const Member &) const = default;
};

std::string_view toString(MemberState state);

} // namespace ibiswell
