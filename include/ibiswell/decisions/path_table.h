#pragma once

#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <compare>
#include <cstddef>
#include <map>
#include <string>

namespace ibiswell {

/** The requests that a path fraction applies to. */
struct PathKey
{
    std::string route;
    std::string team;
    PriorityClass priority = PriorityClass::Normal;

    auto operator<=>(const PathKey &) const = default; // NOLINT(modernize-use-nullptr)
};

/** The PathKey::route under which a target's node stores the fraction downstream of @p route. */
std::string downstreamPathName(const std::string &route);

/**
 * The path fraction of each route, team and priority class, learned from responses: the fraction of
 * the demand that all services on the remaining path can take. The entry node of a call tree uses
 * it to refuse requests before any work is done, and so does the node of the first target, which
 * receives the calls of all entry nodes.
 *
 * The fraction of an entry that gets no responses rises back to 1 by itself, so that a path
 * without responses is tried again.
 */
class PathTable
{
public:
    /** The fraction of these requests to admit. */
    double fraction(TimePoint now, const PathKey &key) const;

    /** Records the path fraction that a response carried. */
    void onResponse(TimePoint now, const PathKey &key, double pathFraction);

    /** Removes entries whose fraction has risen back to 1. */
    void tick(TimePoint now);

    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        double fraction = 1;
        TimePoint updatedAt;
    };

    static double recoveredFraction(const Entry &entry, TimePoint now);

    std::map<PathKey, Entry> m_entries;
};

} // namespace ibiswell
