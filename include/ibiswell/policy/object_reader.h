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
 * @param error set when nothing is returned; names the line and column of the error.
 */
std::optional<boost::json::value> parseJson(std::string_view text, ErrorKind kind, Error &error);

/** Collects all errors of a document, so that an operator can correct them at once. */
class ErrorList
{
public:
    void add(const std::string &path, std::string_view message);
    bool isEmpty() const { return m_errors.empty(); }
    /** All errors, one per line. */
    std::string text() const;

private:
    std::vector<std::string> m_errors;
};

/** Range of a numeric field, both bounds included. */
struct NumberRange
{
    double minimum;
    double maximum;
};

/**
 * Reads the fields of one JSON object and checks their ranges. An absent field keeps its default;
 * an invalid one adds an error with its path and the allowed range. finish() adds an error for
 * each field that was not read, so that a misspelt name is not ignored.
 */
class ObjectReader
{
public:
    ObjectReader(const boost::json::value &value, std::string path, ErrorList &errors);

    void readNumber(std::string_view field, NumberRange range, double &out);
    void readInteger(std::string_view field, NumberRange range, int &out);
    /** Reads a time in milliseconds; the field's name ends in "_ms". */
    void readMilliseconds(std::string_view field, NumberRange range, Duration &out);
    void readBoolean(std::string_view field, bool &out);
    void readText(std::string_view field, std::string &out);
    /** Like readText(), but the field must be present and not empty. */
    void readRequiredText(std::string_view field, std::string &out);
    /** Reads a text that must be one of @p allowed. */
    void readChoice(std::string_view field, const std::vector<std::string_view> &allowed,
                    std::string &out);
    /** The value of a field, or null when it is absent. */
    const boost::json::value *readChild(std::string_view field);
    /** Path of a field from the root of the document, for error messages. */
    std::string pathOf(std::string_view field) const;
    /** Adds an error for each field that was not read. */
    void finish();

private:
    /** Marks a field as read and returns its value, or null when it is absent. */
    const boost::json::value *findField(std::string_view field);

    const boost::json::object *m_object = nullptr;
    std::string m_path;
    ErrorList &m_errors;
    std::set<std::string, std::less<>> m_read;
};

} // namespace ibiswell
