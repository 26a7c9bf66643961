#include "ibiswell/core/response_check.h"

#include <fmt/format.h>

#include <algorithm>

namespace ibiswell {

namespace {

constexpr int firstInterimStatus = 100;
constexpr int switchingProtocolsStatus = 101;
constexpr int firstFinalStatus = 200;
constexpr int noContentStatus = 204;
constexpr int notModifiedStatus = 304;
constexpr int lastStatus = 599;

ResponseDefect checkStatus(int status)
{
    if (status < firstInterimStatus || status > lastStatus)
        return fmt::format("{:03} is not the status of a response", status);
    if (status == switchingProtocolsStatus)
        return "the response switches to a protocol that was not asked for";
    return std::nullopt;
}

bool isFieldName(std::string_view name)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    auto isAllowed = [&](char c) {
        bool isLetterOrDigit =
            (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        return isLetterOrDigit || punctuation.find(c) != std::string_view::npos;
    };
    return !name.empty() && std::all_of(name.begin(), name.end(), isAllowed);
}

bool isFieldValue(std::string_view value)
{
    constexpr unsigned char firstPrintable = ' ';
    constexpr unsigned char deleteCharacter = 0x7f;
    return std::all_of(value.begin(), value.end(), [](unsigned char c) {
        return c == '\t' || (c >= firstPrintable && c != deleteCharacter);
    });
}

constexpr std::string_view codingField = "transfer-encoding";

bool isCoding(const HeaderField &field)
{
    return equalIgnoringCase(field.name, codingField);
}

bool statesCoding(const ResponseHead &head)
{
    return std::any_of(head.fields.begin(), head.fields.end(), isCoding);
}

bool statesLength(const ResponseHead &head)
{
    return std::any_of(head.fields.begin(), head.fields.end(), [](const HeaderField &field) {
        return equalIgnoringCase(field.name, "content-length") && field.value != "0";
    });
}

/** Whether the message ends with its head. */
bool isAlwaysEmpty(int status)
{
    return isInterim(status) || status == noContentStatus || status == notModifiedStatus;
}

/**
 * What follows a message without a body is the next response. Where such a message states a body,
 * what follows may be either.
 */
ResponseDefect checkFraming(const ResponseHead &head)
{
    // A 304 states the length of a body that the caller has.
    bool mayStateBody = !isAlwaysEmpty(head.status) || head.status == notModifiedStatus;
    if (!mayStateBody && (statesCoding(head) || statesLength(head)))
        return fmt::format("a response with status {} has no body", head.status);
    if (hasUnknownCoding(head.fields))
        return "the transfer coding of the response is not supported";
    if (!head.isHttp11 && statesCoding(head))
        return "a response of HTTP/1.0 has no transfer coding";
    return std::nullopt;
}

} // namespace

bool isInterim(int status)
{
    return status >= firstInterimStatus && status < firstFinalStatus;
}

bool hasUnknownCoding(const std::vector<HeaderField> &fields)
{
    auto coding = std::find_if(fields.begin(), fields.end(), isCoding);
    if (coding == fields.end())
        return false;
    bool isRepeated = std::any_of(coding + 1, fields.end(), isCoding);
    return isRepeated || !equalIgnoringCase(coding->value, "chunked");
}

bool hasFoldedLine(std::string_view head)
{
    return head.find("\n ") != std::string_view::npos
        || head.find("\n\t") != std::string_view::npos;
}

ResponseDefect checkHead(const ResponseHead &head)
{
    ResponseDefect defect = checkStatus(head.status);
    if (!defect)
        defect = checkFraming(head);
    return defect;
}

ResponseDefect checkPassedOn(const HttpResponse &response)
{
    if (ResponseDefect defect = checkStatus(response.status))
        return defect;
    if (isInterim(response.status))
        return "an interim response is not passed on";
    if (isAlwaysEmpty(response.status) && !response.body.empty())
        return fmt::format("a response with status {} has no body", response.status);
    for (const HeaderField &field : response.headers) {
        if (!isFieldName(field.name) || !isFieldValue(field.value))
            return "a field of the response has characters that are not allowed";
        if (isHopByHop(field.name))
            return fmt::format("the field {} is not passed on", field.name);
    }
    return std::nullopt;
}

ResponseDefect checkEnd(BodyEnd end, SendOutcome sending)
{
    if (end == BodyEnd::ConnectionClose && sending == SendOutcome::Failed)
        return "the connection was reset before the end of the response";
    return std::nullopt;
}

} // namespace ibiswell
