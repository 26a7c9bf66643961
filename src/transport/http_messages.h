#pragma once

#include "ibiswell/core/messages.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <string>
#include <vector>

namespace ibiswell {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/** The fields of a message that a Beast parser has read. */
template<class Fields> std::vector<HeaderField> toFields(const Fields &fields)
{
    std::vector<HeaderField> result;
    for (const auto &field : fields)
        result.push_back({std::string(field.name_string()), std::string(field.value())});
    return result;
}

inline std::vector<HeaderField> endToEndFields(std::vector<HeaderField> fields)
{
    std::erase_if(fields, [](const HeaderField &field) { return isHopByHop(field.name); });
    return fields;
}

} // namespace ibiswell
