#include "ibiswell/policy/object_reader.h"

#include <boost/json/parse_options.hpp>
#include <boost/json/stream_parser.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cmath>

namespace ibiswell {

namespace json = boost::json;

namespace {

std::string lineAndColumn(std::string_view text, std::size_t offset)
{
    std::string_view before = text.substr(0, std::min(offset, text.size()));
    auto line = 1 + std::count(before.begin(), before.end(), '\n');
    std::size_t lineStart = before.rfind('\n');
    std::size_t column =
        lineStart == std::string_view::npos ? before.size() + 1 : before.size() - lineStart;
    return fmt::format("line {}, column {}", line, column);
}

} // namespace

std::optional<json::value> parseJson(std::string_view text, ErrorKind kind, Error &error)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::stream_parser parser({}, options);
    json::error_code ec;
    std::size_t consumed = parser.write_some(text.data(), text.size(), ec);
    if (!ec && !parser.done())
        parser.finish(ec); // a number at top level is complete only at the end of the input
    if (!ec) {
        std::size_t trailing = text.find_first_not_of(" \t\r\n", consumed);
        if (trailing != std::string_view::npos && text.substr(trailing, 1) != "/") {
            consumed = trailing;
            ec = json::error::extra_data;
        }
    }
    if (ec) {
        error = {kind, fmt::format("{}: {}", lineAndColumn(text, consumed), ec.message())};
        return std::nullopt;
    }
    return parser.release();
}

void ErrorList::add(const std::string &path, std::string_view message)
{
    m_errors.push_back(fmt::format("{}: {}", path.empty() ? "document" : path, message));
}

std::string ErrorList::text() const
{
    return fmt::format("{}", fmt::join(m_errors, "\n"));
}

ObjectReader::ObjectReader(const json::value &value, std::string path, ErrorList &errors)
    : m_object(value.if_object())
    , m_path(std::move(path))
    , m_errors(errors)
{
    if (!m_object)
        m_errors.add(m_path, "must be an object");
}

std::string ObjectReader::pathOf(std::string_view field) const
{
    return m_path.empty() ? std::string(field) : fmt::format("{}.{}", m_path, field);
}

const json::value *ObjectReader::findField(std::string_view field)
{
    m_read.emplace(field);
    return m_object ? m_object->if_contains(json::string_view(field.data(), field.size()))
                    : nullptr;
}

const json::value *ObjectReader::readChild(std::string_view field)
{
    return findField(field);
}

void ObjectReader::readNumber(std::string_view field, NumberRange range, double &out)
{
    const json::value *value = findField(field);
    if (!value)
        return;
    json::error_code ec;
    double read = value->is_number() ? value->to_number<double>(ec) : std::nan("");
    if (ec || !(read >= range.minimum && read <= range.maximum)) {
        m_errors.add(pathOf(field),
                     fmt::format("must be a number from {} to {}", range.minimum, range.maximum));
        return;
    }
    out = read;
}

void ObjectReader::readInteger(std::string_view field, NumberRange range, int &out)
{
    double read = out;
    readNumber(field, range, read);
    if (read != std::floor(read)) {
        m_errors.add(pathOf(field), "must be a whole number");
        return;
    }
    out = static_cast<int>(read);
}

void ObjectReader::readMilliseconds(std::string_view field, NumberRange range, Duration &out)
{
    double read = inSeconds(out) * 1000;
    readNumber(field, range, read);
    out = fromSeconds(read / 1000);
}

void ObjectReader::readBoolean(std::string_view field, bool &out)
{
    const json::value *value = findField(field);
    if (!value)
        return;
    if (!value->is_bool()) {
        m_errors.add(pathOf(field), "must be true or false");
        return;
    }
    out = value->as_bool();
}

void ObjectReader::readText(std::string_view field, std::string &out)
{
    const json::value *value = findField(field);
    if (!value)
        return;
    if (!value->is_string()) {
        m_errors.add(pathOf(field), "must be a string");
        return;
    }
    out = std::string(value->as_string());
}

void ObjectReader::readRequiredText(std::string_view field, std::string &out)
{
    std::string read;
    readText(field, read);
    bool isPresent =
        m_object && m_object->if_contains(json::string_view(field.data(), field.size()));
    if (!isPresent || read.find_first_not_of(" \t\n") == std::string::npos)
        m_errors.add(pathOf(field), "is required and must not be empty");
    out = read;
}

void ObjectReader::readChoice(std::string_view field, const std::vector<std::string_view> &allowed,
                              std::string &out)
{
    std::string read = out;
    readText(field, read);
    if (std::find(allowed.begin(), allowed.end(), read) == allowed.end()) {
        m_errors.add(pathOf(field), fmt::format("must be one of {}", fmt::join(allowed, ", ")));
        return;
    }
    out = read;
}

void ObjectReader::finish()
{
    if (!m_object)
        return;
    for (const auto &item : *m_object) {
        std::string_view name(item.key().data(), item.key().size());
        if (!m_read.contains(name))
            m_errors.add(pathOf(name), "is not a known field");
    }
}

} // namespace ibiswell
