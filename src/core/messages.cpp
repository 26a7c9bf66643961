#include "ibiswell/core/messages.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace ibiswell {

namespace {

const HeaderField *findField(const std::vector<HeaderField> &fields, std::string_view name)
{
    auto found = std::find_if(fields.begin(), fields.end(), [&](const HeaderField &field) {
        return equalIgnoringCase(field.name, name);
    });
    return found == fields.end() ? nullptr : &*found;
}

} // namespace

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
        return std::tolower(static_cast<unsigned char>(x))
            == std::tolower(static_cast<unsigned char>(y));
    });
}

bool isHopByHop(std::string_view fieldName)
{
    constexpr std::array<std::string_view, 11> names {
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
        "te",         "trailer",    "transfer-encoding",  "content-length",      "upgrade",
        "expect"};
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view name) { return equalIgnoringCase(name, fieldName); });
}

std::string_view HttpRequest::header(std::string_view name) const
{
    const HeaderField *field = findField(headers, name);
    return field ? std::string_view(field->value) : std::string_view();
}

std::string_view HttpResponse::header(std::string_view name) const
{
    const HeaderField *field = findField(headers, name);
    return field ? std::string_view(field->value) : std::string_view();
}

bool HttpResponse::hasHeader(std::string_view name) const
{
    return findField(headers, name) != nullptr;
}

void HttpRequest::removeHeader(std::string_view name)
{
    std::erase_if(headers,
                  [&](const HeaderField &field) { return equalIgnoringCase(field.name, name); });
}

} // namespace ibiswell
