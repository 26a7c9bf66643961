#include "ibiswell/kernel/kernel.h"

#include <doctest/doctest.h>

using namespace ibiswell;

namespace {

/** Appends its number to a list when it is destroyed. */
struct DestructionRecorder
{
    DestructionRecorder(std::vector<int> &destructionOrder, int ownNumber)
        : order(destructionOrder)
        , number(ownNumber)
    {
    }
    std::vector<int> &order;
    int number;
    ~DestructionRecorder() { order.push_back(number); }
};

} // namespace

TEST_CASE("services are found by name and type, and a failed look-up gives its reason")
{
    Kernel kernel;
    kernel.add<std::string>("name", "value");
    REQUIRE(kernel.find<std::string>("name"));
    CHECK(kernel.get<std::string>("name") == "value");
    CHECK(kernel.find<int>("name") == nullptr);
    CHECK(kernel.lastError()->detail == "service \"name\" has another type");
    CHECK(kernel.find<int>("other") == nullptr);
    CHECK(kernel.lastError()->detail == "no service \"other\"");
}

TEST_CASE("services are destroyed in the reverse order of registration")
{
    std::vector<int> order;
    {
        Kernel kernel;
        kernel.add<DestructionRecorder>("one", order, 1);
        kernel.add<DestructionRecorder>("two", order, 2);
    }
    CHECK(order == std::vector<int> {2, 1});
}
