#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ibiswell {

/** Address of a node: an IP address and a port number that is used for both TCP and UDP. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default; // NOLINT(modernize-use-nullptr)
};

std::string toString(const Endpoint &endpoint);

/** State of a member in the membership protocol. */
enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Dead };

/** A node and its target, as the node announces them. */
struct Member
{
    std::string node; ///< Name of the node, unique in the fleet.
    std::string service; ///< Service of the node's target.
    std::string zone; ///< Availability zone.
    Endpoint endpoint;
    std::uint16_t httpPort = 0; ///< Port for callers and operators.
    /** Increased only by the node itself: at each start, and to refute a suspicion. */
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    /** Numbers of the leases that the node holds: leases of rate shares and of key ranges. */
    std::vector<std::uint32_t> leases;
    /** Whether the node's target takes new work. A node may be alive while its target is not. */
    bool takesWork = true;

    bool operator==(const Member &) const = default;
};

std::string_view toString(MemberState state);

} // namespace ibiswell
