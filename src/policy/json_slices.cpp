#include "ibiswell/policy/json_slices.h"

#include <algorithm>

namespace ibiswell {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

std::string_view trim(std::string_view text)
{
    std::size_t begin = text.find_first_not_of(whitespace);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(whitespace) - begin + 1);
}

/** Position after the string that starts at @p at with its opening quote; npos when unterminated.
 */
std::size_t endOfString(std::string_view text, std::size_t at)
{
    for (++at; at < text.size(); ++at) {
        if (text[at] == '\\')
            ++at;
        else if (text[at] == '"')
            return at + 1;
    }
    return std::string_view::npos;
}

/**
 * Position of the first @p wanted character outside of strings and of nested brackets, from
 * @p begin; the size of the text when there is none, npos when the brackets or quotes do not match.
 */
std::size_t findAtTopLevel(std::string_view text, std::size_t begin, char wanted)
{
    std::size_t depth = 0;
    std::size_t at = begin;
    while (at < text.size()) {
        char c = text[at];
        if (c == '"') {
            at = endOfString(text, at);
            if (at == std::string_view::npos)
                return at;
            continue;
        }
        if (depth == 0 && c == wanted)
            return at;
        if (c == '[' || c == '{')
            ++depth;
        if ((c == ']' || c == '}') && depth-- == 0)
            return std::string_view::npos;
        ++at;
    }
    return depth == 0 ? at : std::string_view::npos;
}

/** The texts between the commas of an array or an object, whose brackets are @p open, @p close. */
std::optional<std::vector<std::string_view>> splitAtCommas(std::string_view text, char open,
                                                           char close)
{
    text = trim(text);
    if (text.size() < 2 || text.front() != open || text.back() != close)
        return std::nullopt;
    text = trim(text.substr(1, text.size() - 2));
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    while (begin < text.size()) {
        std::size_t end = findAtTopLevel(text, begin, ',');
        if (end == std::string_view::npos)
            return std::nullopt;
        parts.push_back(trim(text.substr(begin, end - begin)));
        begin = end + 1;
    }
    return parts;
}

} // namespace

std::optional<std::vector<std::string_view>> splitArray(std::string_view text)
{
    return splitAtCommas(text, '[', ']');
}

std::optional<std::vector<JsonField>> splitObject(std::string_view text)
{
    auto members = splitAtCommas(text, '{', '}');
    if (!members)
        return std::nullopt;
    std::vector<JsonField> fields;
    for (std::string_view member : *members) {
        std::size_t colon = findAtTopLevel(member, 0, ':');
        if (colon >= member.size())
            return std::nullopt;
        std::string_view name = trim(member.substr(0, colon));
        if (name.size() < 2 || name.front() != '"' || name.back() != '"')
            return std::nullopt;
        fields.push_back({name.substr(1, name.size() - 2), trim(member.substr(colon + 1))});
    }
    return fields;
}

std::string_view findSlice(const std::vector<JsonField> &fields, std::string_view name)
{
    auto found = std::find_if(fields.begin(), fields.end(),
                              [&](const JsonField &field) { return field.name == name; });
    return found == fields.end() ? std::string_view {} : found->value;
}

} // namespace ibiswell
