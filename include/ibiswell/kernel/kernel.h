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
 * The kernel knows nothing of what a service does. Services are registered while a node is put
 * together and look their partners up once, when they are constructed or bound; no look-up is on
 * the path of a request. Services are destroyed in the reverse order of registration.
 */
class Kernel
{
public:
    Kernel() = default;
    Kernel(const Kernel &) = delete;
    Kernel &operator=(const Kernel &) = delete;
    ~Kernel();

    /**
     * Constructs a service under @p name and returns it. The name must be free; a second service
     * of the same name is a programming error and ends the process.
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

    /** The service of that name and type, or null; lastError() then tells which was missing. */
    template<typename Service> Service *find(std::string_view name)
    {
        return static_cast<Service *>(lookUp(name, typeid(Service)));
    }

    /** Like find(), for a service that the node cannot be without; ends the process if missing. */
    template<typename Service> Service &get(std::string_view name)
    {
        Service *service = find<Service>(name);
        if (!service)
            failMissing(name);
        return *service;
    }

    /** Names of all services, in the order of registration. */
    std::vector<std::string> names() const;

    /** Why the last find() returned null. */
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
