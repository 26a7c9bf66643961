#include "target_service.h"

#include "ibiswell/decisions/call_table.h"

#include <doctest/doctest.h>

#include <list>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

/** A backend server that takes requests and answers them when the test says so. */
class FakeBackend
{
public:
    explicit FakeBackend(asio::io_context &context)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(context, acceptLoop(), asio::detached);
    }

    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    std::size_t requests() const { return m_sockets.size(); }

    void answerAll()
    {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        for (tcp::socket &socket : m_sockets)
            asio::write(socket, asio::buffer(answer));
    }

private:
    Task<void> acceptLoop()
    {
        for (;;) {
            auto [ec, socket] = co_await m_acceptor.async_accept(asResult);
            if (ec)
                co_return;
            m_sockets.push_back(std::move(socket));
        }
    }

    tcp::acceptor m_acceptor;
    std::list<tcp::socket> m_sockets;
};

/** A target's node with one slot, and the services that TargetService looks up. */
struct OneSlotNode
{
    OneSlotNode()
        : context(kernel.add<asio::io_context>("io", 1))
        , backend(context)
    {
        kernel.add<Log>("log", LogLevel::Error);
        NodeState &state = kernel.add<NodeState>("node");
        state.settings.service = "ledger";
        state.settings.backend = backend.endpoint();
        kernel.add<Dialect>("dialect");
        PolicyStore &policy = kernel.add<PolicyStore>("policy");
        PolicyDocument document;
        document.version = 1;
        REQUIRE(policy.adopt(std::move(document)));
        kernel.add<PathTable>("paths");
        kernel.add<CallTable>("calls");
        kernel.add<TargetAdmission>("admission").setSlots(1);
        kernel.add<DecisionLog>("decisions", kernel, 0);
        TargetGate &gate = kernel.add<TargetGate>("target-gate", std::string("ledger"));
        TargetReport report;
        report.instance = "i-1";
        report.service = "ledger";
        report.sequence = 1;
        report.slots = 1;
        gate.onReport(steadyNow(), report);
        kernel.add<TargetService>("target", kernel, context);
    }

    void call(std::uint64_t id)
    {
        CallMessage message;
        message.callId = id;
        message.service = "ledger";
        message.route = "refund";
        message.context.requestId = "request-" + std::to_string(id);
        message.context.timeLeft = 5s;
        message.request.method = "GET";
        message.request.path = "/";
        asio::co_spawn(context, run(std::move(message)), asio::detached);
    }

    Task<void> run(CallMessage message)
    {
        auto running = kernel.get<TargetService>("target").run(std::move(message));
        answers.push_back(co_await std::move(running));
    }

    /** Runs one handler after the other until @p condition holds. */
    template<typename Condition> bool runUntil(Condition condition)
    {
        TimePoint end = steadyNow() + 5s;
        while (!condition() && steadyNow() < end)
            context.run_one_for(10ms);
        return condition();
    }

    Kernel kernel;
    asio::io_context &context;
    FakeBackend backend;
    std::vector<AnswerMessage> answers;
};

} // namespace

TEST_CASE("a call whose gate closes between the grant of its slot and its start frees the slot")
{
    OneSlotNode node;
    TargetAdmission &admission = node.kernel.get<TargetAdmission>("admission");
    node.call(1);
    REQUIRE(node.runUntil([&] { return node.backend.requests() == 1; }));
    node.call(2);
    REQUIRE(node.runUntil([&] { return admission.queued() == 1; }));

    node.backend.answerAll();
    // The first call's end grants the slot; the second call's task has not gone on yet.
    REQUIRE(node.runUntil([&] { return admission.queued() == 0; }));
    REQUIRE(node.answers.size() <= 1);
    node.kernel.get<TargetGate>("target-gate").onDeparture("i-1");
    REQUIRE(node.runUntil([&] { return node.answers.size() == 2; }));

    const Refusal *refusal = std::get_if<Refusal>(&node.answers.back().result);
    REQUIRE(refusal);
    CHECK((refusal->kind == ErrorKind::TargetLeaving));
    CHECK((refusal->execution == Execution::NotRun));
    CHECK(node.backend.requests() == 1);
    CHECK(admission.inFlight() == 0);
}
