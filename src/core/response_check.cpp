#include "ibiswell/core/response_check.h"

#include <fmt/format.h>

#include <algorithm>

namespace ibiswell {

namespace {

constexpr int firstInterimStatus = 100;
constexpr int switchingProtocolsStatus = 101;
constexpr int firstFinalStatus = 200;
constexpr int lastStatus = 599;

ResponseDefect checkStatus(int status)
{
    if (status < firstInterimStatus || status > lastStatus)
        return fmt::format("{:03} is not the status of a response", status);
    if (status == switchingProtocolsStatus)
        return "the response switches to a protocol that was not asked for";
    return std::nullopt;
}

const HeaderField *findField(const ResponseHead &head, std::string_view name)
{
    auto hasName = [&](const HeaderField &field) { return equalIgnoringCase(field.name, name); };
    auto found = std::find_if(head.fields.begin(), head.fields.end(), hasName);
    return found == head.fields.end() ? nullptr : &*found;
}

/** Whether the head states a body that is not empty. */
bool statesBody(const ResponseHead &head)
{
    const HeaderField *length = findField(head, "content-length");
    return findField(head, "transfer-encoding") || (length && length->value != "0");
}

/**
 * A message that has no body ends with its head, whatever the head states. Where it states a body,
 * what follows may be that body or the next response.
 */
ResponseDefect checkFraming(const ResponseHead &head)
{
    if (isInterim(head.status) && statesBody(head))
        return fmt::format("a response with status {} has no body", head.status);
    return std::nullopt;
}

} // namespace

bool isInterim(int status)
{
    return status >= firstInterimStatus && status < firstFinalStatus;
}

ResponseDefect checkHead(const ResponseHead &head)
{
    ResponseDefect defect = checkStatus(head.status);
    if (!defect)
        defect = checkFraming(head);
    return defect;
}

ResponseDefect checkEnd(BodyEnd end, SendOutcome sending)
{
    if (end == BodyEnd::ConnectionClose && sending == SendOutcome::Failed)
        return "the connection was reset before the end of the response";
    return std::nullopt;
}

} // namespace ibiswell
