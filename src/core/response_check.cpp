#include "ibiswell/core/response_check.h"

namespace ibiswell {

ResponseDefect checkEnd(BodyEnd end, SendOutcome sending)
{
    if (end == BodyEnd::ConnectionClose && sending == SendOutcome::Failed)
        return "the connection was reset before the end of the response";
    return std::nullopt;
}

} // namespace ibiswell
