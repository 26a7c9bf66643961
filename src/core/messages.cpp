#include "ibiswell/core/messages.h"

#include <algorithm>
#include <cctype>

namespace ibiswell {

namespace {

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x))
            == std::tolower(static_cast<unsigned char>(y));
    });
}

} // namespace

std::string_view HttpRequest::header(std::string_view name) const
{
    for (const HeaderField &field : headers) {
        if (equalIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

void HttpRequest::removeHeader(std::string_view name)
{
    std::erase_if(headers,
                  [&](const HeaderField &field) { return equalIgnoringCase(field.name, name); });
}

} // namespace ibiswell
