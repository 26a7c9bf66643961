#include "ibiswell/core/member.h"

#include <fmt/format.h>

namespace ibiswell {

std::string toString(const Endpoint &endpoint)
{
    return fmt::format("{}:{}", endpoint.address, endpoint.port);
}

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "dead";
}

} // namespace ibiswell
