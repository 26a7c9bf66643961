#include "ibiswell/decisions/split_chooser.h"

#include <algorithm>

namespace ibiswell {

bool SplitChooser::matches(const std::vector<Part> &parts, const RoutePolicy &route)
{
    return std::equal(parts.begin(), parts.end(), route.split.begin(), route.split.end(),
                      [](const Part &part, const SplitPart &wanted) {
                          return part.service == wanted.service && part.weight == wanted.weight;
                      });
}

const std::string &SplitChooser::choose(const RoutePolicy &route)
{
    std::vector<Part> &parts = m_routes[route.name];
    if (!matches(parts, route)) {
        parts.clear();
        for (const SplitPart &part : route.split)
            parts.push_back({part.service, part.weight, 0});
    }
    double total = 0;
    for (Part &part : parts) {
        part.credit += part.weight;
        total += part.weight;
    }
    auto chosen = std::max_element(parts.begin(), parts.end(), [](const Part &a, const Part &b) {
        return a.credit < b.credit;
    });
    chosen->credit -= total;
    return chosen->service;
}

} // namespace ibiswell
