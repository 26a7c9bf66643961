#pragma once

#include "asio.h"
#include "http_client.h"

#include "ibiswell/core/error.h"

#include <cstdint>
#include <string>
#include <variant>

namespace ibiswell {

/** An object of the platform's store. */
struct PlatformObject
{
    std::uint64_t version = 0; ///< 0: the object does not exist.
    std::string value;
};

/** A conditional write found another version and changed nothing. */
struct PlatformConflict
{
};

using PlatformReply = std::variant<PlatformObject, PlatformConflict, Error>;

/**
 * Client of the platform's object API: versions, conditional writes and watches over HTTP.
 *
 * An Error after put() does not tell whether the write took effect; reading the object does.
 */
class PlatformClient
{
public:
    explicit PlatformClient(Endpoint platform);

    Task<PlatformReply> get(std::string name);
    /** Writes if the version is still @p ifVersion (0: if the object does not exist). */
    Task<PlatformReply> put(std::string name, std::uint64_t ifVersion, std::string value);
    /** Gets the object as soon as its version is above @p after, at the latest after @p wait. */
    Task<PlatformReply> watch(std::string name, std::uint64_t after, Duration wait);

    std::uint64_t callCount() const { return m_callCount; }

private:
    Task<PlatformReply> send(HttpRequest request, Duration limit);

    HttpClient m_client;
    std::uint64_t m_callCount = 0;
};

} // namespace ibiswell
