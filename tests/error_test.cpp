#include "ibiswell/core/error.h"

#include <doctest/doctest.h>

#include <set>

using namespace ibiswell;

TEST_CASE("each error kind has one response with a unique name")
{
    std::set<std::string_view> names;
    for (const ErrorResponse &response : errorTable()) {
        CHECK(&responseFor(response.kind) == &response);
        CHECK(response.httpStatus >= 400);
        CHECK(response.httpStatus < 600);
        names.insert(response.name);
    }
    CHECK(names.size() == errorTable().size());
}

TEST_CASE("choosing another target is free only if the request did not run")
{
    for (const ErrorResponse &response : errorTable()) {
        if (response.rechoice == Rechoice::Free)
            CHECK(bool(response.execution == Execution::NotRun));
    }
}
