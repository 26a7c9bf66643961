#include "ibiswell/core/dialect.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace ibiswell {

namespace {

HttpResponse writeRefusal(const HeaderNames &names, const std::string &requestId,
                          const Refusal &refusal)
{
    const ErrorResponse &error = responseFor(refusal.kind);
    boost::json::object body;
    body["error"] = std::string(error.name);
    body["execution"] = std::string(toString(refusal.execution));
    body["request"] = requestId;
    body["detail"] = refusal.detail;
    HttpResponse response;
    response.status = error.httpStatus;
    response.headers = {{"content-type", "application/json"},
                        {names.execution, std::string(toString(refusal.execution))},
                        {names.requestId, requestId}};
    response.body = boost::json::serialize(body) + "\n";
    return response;
}

} // namespace

Dialect nativeDialect()
{
    Dialect dialect;
    dialect.names.requestId = "x-request-id";
    dialect.names.key = "x-ibiswell-key";
    dialect.names.team = "x-ibiswell-team";
    dialect.names.deadline = "x-ibiswell-deadline-ms";
    dialect.names.callToken = "x-ibiswell-call";
    dialect.names.execution = "x-ibiswell-execution";
    dialect.acceptsBearerKeys = true;
    dialect.reservedPrefix = "x-ibiswell-";
    dialect.writeRefusal = writeRefusal;
    return dialect;
}

} // namespace ibiswell
