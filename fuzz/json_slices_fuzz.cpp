/** Splitting of JSON text: any bytes, and lists in which some elements are not valid. */

#include "ibiswell/policy/json_slices.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace ibiswell;

namespace {

/** Whether @p part lies inside of @p whole. */
bool isWithin(std::string_view part, std::string_view whole)
{
    return part.empty()
        || (part.data() >= whole.data()
            && part.data() + part.size() <= whole.data() + whole.size());
}

/** Elements whose brackets and quotes match, though some are not valid JSON. */
std::string makeElement(int kind, int size)
{
    auto count = static_cast<std::size_t>(size);
    switch (kind) {
    case 0:
        return fmt::format("{}", size);
    case 1:
        return "\"" + std::string(count, 'x') + "\\\",]}[\"";
    case 2:
        return std::string(count, '[') + std::string(count, ']');
    case 3:
        return "{\"a\": [1, {\"b\": \"}\"}], \"c\": 1e99999}";
    case 4:
        return "\"\xff\xfe\"";
    default:
        return "neither a number nor a word of JSON";
    }
}

} // namespace

TEST_CASE("fuzz: splitting any bytes stays within them")
{
    bool passed = rc::check("slices lie within the text", [](const std::string &bytes) {
        for (const std::string &text : {bytes, "[" + bytes + "]", "{" + bytes + "}"}) {
            if (auto elements = splitArray(text)) {
                for (std::string_view element : *elements)
                    RC_ASSERT(isWithin(element, text));
            }
            if (auto fields = splitObject(text)) {
                for (const JsonField &field : *fields)
                    RC_ASSERT(isWithin(field.name, text) && isWithin(field.value, text));
            }
        }
    });
    CHECK(passed);
}

TEST_CASE("fuzz: each element of a list is found, whatever the others hold")
{
    bool passed = rc::check("elements are found", [](const std::vector<std::uint8_t> &kinds) {
        std::vector<std::string> elements;
        elements.reserve(kinds.size());
        for (std::uint8_t kind : kinds)
            elements.push_back(makeElement(kind % 6, 1 + kind));
        std::string list = fmt::format("[{}]", fmt::join(elements, " , "));
        auto split = splitArray(list);
        RC_ASSERT(split.has_value());
        RC_ASSERT(split->size() == elements.size());
        for (std::size_t i = 0; i < elements.size(); ++i)
            RC_ASSERT((*split)[i] == elements[i]);
        std::string object = fmt::format(R"({{"items": {}, "more": false}})", list);
        auto fields = splitObject(object);
        RC_ASSERT(fields.has_value());
        RC_ASSERT(findSlice(*fields, "items") == list);
        RC_ASSERT(findSlice(*fields, "more") == "false");
    });
    CHECK(passed);
}
