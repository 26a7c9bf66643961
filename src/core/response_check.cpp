#include "ibiswell/core/response_check.h"

#include <fmt/format.h>

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

} // namespace

bool isInterim(int status)
{
    return status >= firstInterimStatus && status < firstFinalStatus;
}

ResponseDefect checkHead(const ResponseHead &head)
{
    return checkStatus(head.status);
}

ResponseDefect checkEnd(BodyEnd end, SendOutcome sending)
{
    if (end == BodyEnd::ConnectionClose && sending == SendOutcome::Failed)
        return "the connection was reset before the end of the response";
    return std::nullopt;
}

} // namespace ibiswell
