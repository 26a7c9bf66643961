#include "ibiswell/policy/policy.h"

#include "ibiswell/core/hash.h"

namespace ibiswell {

const RoutePolicy *Policy::findRoute(std::string_view service, std::string_view method,
                                     std::string_view path) const
{
    for (const RoutePolicy &route : routes) {
        bool methodMatches = route.method == "*" || route.method == method;
        if (route.service == service && methodMatches && path.starts_with(route.pathPrefix))
            return &route;
    }
    return nullptr;
}

const RoutePolicy *Policy::findRouteByHost(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    std::string key(host);
    key += path;
    while (key.size() > host.size()) {
        key.resize(key.rfind('/') + 1);
        auto found = routeByHostAndPrefix.find(key);
        if (found != routeByHostAndPrefix.end())
            return &routes[found->second];
        key.pop_back();
    }
    return nullptr;
}

const RoutePolicy *Policy::findRouteByName(std::string_view name) const
{
    for (const RoutePolicy &route : routes) {
        if (route.name == name)
            return &route;
    }
    return nullptr;
}

const std::string *Policy::teamOfKey(std::string_view key) const
{
    auto found = teamByKeyHash.find(sha256Hex(key));
    return found == teamByKeyHash.end() ? nullptr : &found->second;
}

const TeamPolicy &Policy::team(std::string_view name) const
{
    auto found = teams.find(name);
    return found == teams.end() ? defaults.team : found->second;
}

} // namespace ibiswell
