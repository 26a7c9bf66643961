#include "ibiswell/core/error.h"

#include <doctest/doctest.h>

#include <set>

using namespace ibiswell;

TEST_CASE("each error kind has one answer with a name of its own")
{
    std::set<std::string_view> names;
    for (const ErrorResponse &answer : errorTable()) {
        CHECK(&responseFor(answer.kind) == &answer);
        CHECK(answer.httpStatus >= 400);
        CHECK(answer.httpStatus < 600);
        names.insert(answer.name);
    }
    CHECK(names.size() == errorTable().size());
}

TEST_CASE("a free choice of another target is only offered when nothing ran")
{
    for (const ErrorResponse &answer : errorTable()) {
        if (answer.rechoice == Rechoice::Free)
            CHECK(bool(answer.execution == Execution::NotRun));
    }
}
