#pragma once

#include <optional>
#include <string_view>
#include <vector>

/**
 * Splits JSON text into the texts of its parts without interpreting them.
 *
 * A parser that reads a whole list rejects it for one element that is nested too deeply or is not
 * valid UTF-8. Text that was split is parsed element by element, so that an invalid one affects no
 * other. Memory and stack use do not depend on the nesting.
 */
namespace ibiswell {

/** One member of a JSON object. */
struct JsonField
{
    std::string_view name; ///< As written, without its quotes; escapes are not decoded.
    std::string_view value; ///< Text of the value, without the space around it.
};

/** The members of the object @p text; nothing when its brackets, quotes or commas do not match. */
std::optional<std::vector<JsonField>> splitObject(std::string_view text);

/** The elements of the array @p text; nothing when its brackets, quotes or commas do not match. */
std::optional<std::vector<std::string_view>> splitArray(std::string_view text);

/** The value of the first member called @p name; empty when there is none. */
std::string_view findSlice(const std::vector<JsonField> &fields, std::string_view name);

} // namespace ibiswell
