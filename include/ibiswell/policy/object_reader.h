#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/time.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ibiswell {

/**
 * Parses JSON with comments and trailing commas.
 *
 * @param error set when nothing is returned; names the line and column of the fault.
 */
std::optional<boost::json::value> parseJson(std::string_view text, ErrorKind kind, Error &error);

/** Collects every fault of a document, so that a person can mend them in one go. */
class ErrorList
{
public:
    void add(const std::string &path, std::string_view fault);
    bool isEmpty() const { return m_errors.empty(); }
    /** All faults, one a line. */
    std::string text() const;

private:
    std::vector<std::string> m_errors;
};

/** Range of a numeric field, both ends included. */
struct NumberRange
{
    double minimum;
    double maximum;
};

/**
 * Reads the fields of one JSON object with their ranges. A field that is absent keeps its
 * default; one that is wrong adds a fault with its path and the allowed range. finish() adds a
 * fault for each field that nobody read, so that a misspelt name never passes silently.
 */
class ObjectReader
{
public:
    ObjectReader(const boost::json::value &value, std::string path, ErrorList &errors);

    void number(std::string_view field, NumberRange range, double &out);
    void integer(std::string_view field, NumberRange range, int &out);
    /** A time in milliseconds, as the field's name says ("..._ms"). */
    void milliseconds(std::string_view field, NumberRange range, Duration &out);
    void boolean(std::string_view field, bool &out);
    void text(std::string_view field, std::string &out);
    void requiredText(std::string_view field, std::string &out);
    /** One of @p allowed. */
    void choice(std::string_view field, const std::vector<std::string_view> &allowed,
                std::string &out);
    /** The value of a field, or null when it is absent. */
    const boost::json::value *child(std::string_view field);
    std::string pathOf(std::string_view field) const;
    void finish();

private:
    const boost::json::value *findField(std::string_view field);

    const boost::json::object *m_object = nullptr;
    std::string m_path;
    ErrorList &m_errors;
    std::set<std::string, std::less<>> m_read;
};

} // namespace ibiswell
