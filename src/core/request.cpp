#include "ibiswell/core/request.h"

#include <array>

namespace ibiswell {

namespace {
constexpr std::array<std::string_view, priorityClassCount> priorityNames {"critical", "important",
                                                                          "normal", "bulk"};
} // namespace

std::string_view toString(PriorityClass priority)
{
    return priorityNames[static_cast<std::size_t>(priority)];
}

std::optional<PriorityClass> priorityFromString(std::string_view name)
{
    for (std::size_t i = 0; i < priorityNames.size(); ++i) {
        if (priorityNames[i] == name)
            return static_cast<PriorityClass>(i);
    }
    return std::nullopt;
}

} // namespace ibiswell
