#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/time.h"

#include <string>

namespace ibiswell {

/**
 * Whether an error tells that a service had no room for a call. What a backend server refuses or
 * loses by itself does not: it does so at any load, and letting in less would not help.
 */
bool indicatesSaturation(ErrorKind kind);

/**
 * Remembers that calls of the local backend server were not served since a service was short of
 * room. Its calls do not say which request caused them, so that a request is held to be broken by
 * such a call when it failed and the call ended while it ran.
 */
class DownstreamSaturation
{
public:
    /** A call of the local backend server found @p service, or one below it, short of room. */
    void onSaturated(TimePoint now, const std::string &service);
    /** The service that was short of room since @p start, or empty. */
    const std::string &saturatedServiceSince(TimePoint start) const;

private:
    TimePoint m_at;
    std::string m_service;
};

} // namespace ibiswell
