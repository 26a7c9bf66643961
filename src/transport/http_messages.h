#pragma once

#include "ibiswell/core/messages.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <cctype>
#include <string>

namespace ibiswell {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/** Hop-by-hop fields concern a single connection and are never forwarded. */
inline bool isHopByHop(http::field field)
{
    switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::upgrade:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

template<class Fields> std::vector<HeaderField> endToEndFields(const Fields &fields)
{
    std::vector<HeaderField> result;
    for (const auto &field : fields) {
        if (!isHopByHop(field.name()))
            result.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return result;
}

} // namespace ibiswell
