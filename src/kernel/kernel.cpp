#include "ibiswell/kernel/kernel.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

namespace ibiswell {

Kernel::~Kernel()
{
    while (!m_entries.empty())
        m_entries.pop_back();
}

std::vector<std::string> Kernel::names() const
{
    std::vector<std::string> names;
    for (const Entry &entry : m_entries)
        names.push_back(entry.name);
    return names;
}

void Kernel::insert(std::string name, std::type_index type, Holder holder)
{
    if (!m_byName.emplace(name, m_entries.size()).second) {
        fmt::print(stderr, "kernel: service \"{}\" is registered twice\n", name);
        std::abort();
    }
    m_entries.push_back({std::move(name), type, std::move(holder)});
}

void *Kernel::lookUp(std::string_view name, std::type_index type)
{
    auto found = m_byName.find(name);
    if (found == m_byName.end()) {
        m_lastError = Error {ErrorKind::NodeNotReady, fmt::format("no service \"{}\"", name)};
        return nullptr;
    }
    Entry &entry = m_entries[found->second];
    if (entry.type != type) {
        m_lastError =
            Error {ErrorKind::NodeNotReady, fmt::format("service \"{}\" has another type", name)};
        return nullptr;
    }
    return entry.holder.get();
}

void Kernel::failMissing(std::string_view name) const
{
    fmt::print(stderr, "kernel: {} (required service: \"{}\")\n",
               m_lastError ? m_lastError->detail : "missing service", name);
    std::abort();
}

} // namespace ibiswell
