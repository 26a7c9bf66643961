#pragma once

#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <compare>
#include <cstddef>
#include <map>
#include <string>

namespace ibiswell {

/** Whose requests a fraction applies to. */
struct PathKey
{
    std::string route;
    std::string team;
    PriorityClass priority = PriorityClass::Normal;

    auto operator<=>(const PathKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/** Name under which a target's node keeps what the calls below a route of its own take. */
std::string downstreamPathName(const std::string &route);

/**
 * What a node knows, from answers, of the part of each route's demand that the whole remaining
 * path takes. A node at the head of a call tree refuses by it before any work is done, and so
 * does the node of the first target, which sees the calls of all entry nodes.
 *
 * An entry that hears nothing opens again by itself, so that a silent path is tried anew.
 */
class PathTable
{
public:
    /** The fraction of these requests to let pass. */
    double fraction(TimePoint now, const PathKey &key) const;

    /** Notes the path fraction that an answer carried. */
    void onResponse(TimePoint now, const PathKey &key, double pathFraction);

    /** Forgets entries that are fully open. */
    void tick(TimePoint now);

    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        double fraction = 1;
        TimePoint updatedAt;
    };

    static double opened(const Entry &entry, TimePoint now);

    std::map<PathKey, Entry> m_entries;
};

} // namespace ibiswell
