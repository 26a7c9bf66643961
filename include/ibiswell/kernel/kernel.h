#pragma once

#include "ibiswell/core/error.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <typeindex>
#include <utility>
#include <vector>

namespace ibiswell {

/**
 * The micro-kernel: owns the services of one node and lets them find each other by name.
 *
 * The kernel does not depend on what a service does. Services are registered while a node is
 * assembled, and look up the services that they use once, when they are constructed or bound. No
 * look-up takes place while a request is handled. Services are destroyed in the reverse order of
 * registration.
 */
class Kernel
{
public:
    Kernel() = default;
    Kernel(const Kernel &) = delete;
    Kernel &operator=(const Kernel &) = delete;
    ~Kernel();

    /**
     * Constructs a service, registers it as @p name and returns it. Registering a second service
     * with the same name is a programming error and aborts the process.
     */
    template<typename Service, typename... Arguments>
    Service &add(std::string name, Arguments &&...arguments)
    {
        auto service = std::make_unique<Service>(std::forward<Arguments>(arguments)...);
        Service &reference = *service;
        insert(std::move(name), typeid(Service),
               Holder(service.release(), [](void *p) { delete static_cast<Service *>(p); }));
        return reference;
    }

    /** The service of that name and type, or null; lastError() then describes the failure. */
    template<typename Service> Service *find(std::string_view name)
    {
        return static_cast<Service *>(lookUp(name, typeid(Service)));
    }

    /** Like find(), for a service that the node requires; aborts the process if it is missing. */
    template<typename Service> Service &get(std::string_view name)
    {
        Service *service = find<Service>(name);
        if (!service)
            failMissing(name);
        return *service;
    }

    /** Names of all services in the order of registration. */
    std::vector<std::string> names() const;

    /** Why the most recent failed find() returned null. */
    const std::optional<Error> &lastError() const { return m_lastError; }

private:
    using Holder = std::unique_ptr<void, void (*)(void *)>;
    struct Entry
    {
        std::string name;
        std::type_index type;
        Holder holder;
    };

    void insert(std::string name, std::type_index type, Holder holder);
    void *lookUp(std::string_view name, std::type_index type);
    [[noreturn]] void failMissing(std::string_view name) const;

    std::vector<Entry> m_entries;
    std::map<std::string, std::size_t, std::less<>> m_byName;
    std::optional<Error> m_lastError;
};

} // namespace ibiswell
