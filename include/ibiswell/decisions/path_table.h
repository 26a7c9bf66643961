#pragma once

#include "ibiswell/core/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace ibiswell {

/**
 * What a node knows, from answers, of the part of each route's demand that the whole remaining
 * path takes. A node at the head of a call tree refuses by it before any work is done.
 *
 * An entry that hears nothing opens again by itself, so that a silent path is tried anew.
 */
class PathTable
{
public:
    /** The fraction of this team's requests on @p route to let pass. */
    double fraction(TimePoint now, const std::string &route, const std::string &team) const;

    /** Notes the path fraction that an answer carried. */
    void onAnswer(TimePoint now, const std::string &route, const std::string &team,
                  double pathFraction);

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

    std::map<std::pair<std::string, std::string>, Entry, std::less<>> m_entries;
};

} // namespace ibiswell
