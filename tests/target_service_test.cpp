#include "target_service.h"

#include "dialect.h"

#include "ibiswell/decisions/call_table.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

#include <array>
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
    /** Connections taken; the node sends one request at a time on each. */
    std::size_t connections() const { return m_sockets.size(); }

    /** Whether the whole header of the request of call @p id was read. */
    bool hasRequest(std::uint64_t id) const
    {
        std::size_t at = m_read.find(fmt::format("Attempt-Id: request-{}\r\n", id));
        return at != std::string::npos && m_read.find("\r\n\r\n", at) != std::string::npos;
    }

    /** Sends @p bytes on all connections, and ends them when @p close is set. */
    void send(const std::string &bytes, bool close = false)
    {
        boost::system::error_code ignored;
        for (tcp::socket &socket : m_sockets) {
            asio::write(socket, asio::buffer(bytes), ignored);
            if (close)
                socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
    }

private:
    Task<void> acceptLoop()
    {
        for (;;) {
            auto [ec, socket] = co_await m_acceptor.async_accept(asResult);
            if (ec)
                co_return;
            m_sockets.push_back(std::move(socket));
            asio::co_spawn(m_acceptor.get_executor(), readAll(m_sockets.back()), asio::detached);
        }
    }

    Task<void> readAll(tcp::socket &socket)
    {
        std::array<char, 4096> bytes {};
        for (;;) {
            auto [ec, count] = co_await socket.async_read_some(asio::buffer(bytes), asResult);
            if (ec)
                co_return;
            m_read.append(bytes.data(), count);
        }
    }

    std::string m_read;
    tcp::acceptor m_acceptor;
    std::list<tcp::socket> m_sockets;
};

/** A signed answer to the request of call @p id. */
std::string wholeAnswer(std::uint64_t id, const std::string &body = "ok")
{
    return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: request-{}\r\nResponse-Signature: s\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       id, body.size(), body);
}

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
        kernel.add<Dialect>("dialect", platform::makeDialect());
        PolicyStore &policy = kernel.add<PolicyStore>("policy");
        PolicyDocument document;
        document.version = 1;
        REQUIRE(policy.adopt(std::move(document)));
        kernel.add<PathTable>("paths");
        kernel.add<CallTable>("calls");
        kernel.add<BrokenCalls>("broken-calls");
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

    /** Runs a call and sends @p bytes as what the backend server answers. */
    const CallResult &answerTo(std::uint64_t id, const std::string &bytes, bool close = false)
    {
        std::size_t before = answers.size();
        call(id);
        REQUIRE(runUntil([&] { return kernel.get<TargetAdmission>("admission").inFlight() == 1; }));
        REQUIRE(runUntil([&] { return backend.hasRequest(id); }));
        backend.send(bytes, close);
        REQUIRE(runUntil([&] { return answers.size() > before; }));
        return answers.back().result;
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
    REQUIRE(node.runUntil([&] { return node.backend.connections() == 1; }));
    node.call(2);
    REQUIRE(node.runUntil([&] { return admission.queued() == 1; }));

    node.backend.send(wholeAnswer(1));
    // The first call's end grants the slot; the second call's task has not gone on yet.
    REQUIRE(node.runUntil([&] { return admission.queued() == 0; }));
    REQUIRE(node.answers.size() <= 1);
    node.kernel.get<TargetGate>("target-gate").onDeparture("i-1");
    REQUIRE(node.runUntil([&] { return node.answers.size() == 2; }));

    const Refusal *refusal = std::get_if<Refusal>(&node.answers.back().result);
    REQUIRE(refusal);
    CHECK((refusal->kind == ErrorKind::TargetLeaving));
    CHECK((refusal->execution == Execution::NotRun));
    CHECK(node.backend.connections() == 1);
    CHECK(admission.inFlight() == 0);
}

TEST_CASE("an answer that ends early is no success, and its connection is not used again")
{
    OneSlotNode node;
    std::string whole = wholeAnswer(1, "a long body");
    const CallResult &result = node.answerTo(1, whole.substr(0, whole.size() - 4), true);
    const Refusal *refusal = std::get_if<Refusal>(&result);
    REQUIRE(refusal);
    CHECK((refusal->kind == ErrorKind::AnswerTruncated));
    CHECK((refusal->execution == Execution::Unknown));
    CHECK(std::holds_alternative<HttpAnswer>(node.answerTo(2, wholeAnswer(2))));
    CHECK(node.backend.connections() == 2);
}

TEST_CASE("bytes that are no HTTP are no answer, and nobody is told that the call did not run")
{
    OneSlotNode node;
    const CallResult &result = node.answerTo(1, "\x01\x02 not an answer\r\n\r\n", true);
    const Refusal *refusal = std::get_if<Refusal>(&result);
    REQUIRE(refusal);
    CHECK((refusal->execution == Execution::Unknown));
    CHECK(node.kernel.get<TargetAdmission>("admission").inFlight() == 0);
}

TEST_CASE("the late answer to another request is dropped, and the right one is taken")
{
    OneSlotNode node;
    const CallResult &result =
        node.answerTo(1, wholeAnswer(7, "of another request") + wholeAnswer(1, "mine"));
    const HttpAnswer *answer = std::get_if<HttpAnswer>(&result);
    REQUIRE(answer);
    CHECK(answer->body == "mine");
}

TEST_CASE("a second answer behind the right one belongs to no request")
{
    OneSlotNode node;
    const HttpAnswer *first =
        std::get_if<HttpAnswer>(&node.answerTo(1, wholeAnswer(1, "first") + wholeAnswer(1)));
    REQUIRE(first);
    CHECK(first->body == "first");
    const HttpAnswer *second = std::get_if<HttpAnswer>(&node.answerTo(2, wholeAnswer(2, "second")));
    REQUIRE(second);
    CHECK(second->body == "second");
    CHECK(node.backend.connections() == 2);
}

TEST_CASE("a success without the backend server's signature is not passed on as one")
{
    OneSlotNode node;
    const CallResult &result =
        node.answerTo(1, "HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nContent-Length: 2\r\n\r\nok");
    const Refusal *refusal = std::get_if<Refusal>(&result);
    REQUIRE(refusal);
    CHECK((refusal->execution == Execution::Unknown));
}

TEST_CASE("a failure after a call below found no room names the short service to the caller")
{
    OneSlotNode node;
    node.call(1);
    REQUIRE(node.runUntil([&] { return node.backend.hasRequest(1); }));
    node.kernel.get<BrokenCalls>("broken-calls").onBroken(steadyNow(), "stock");
    node.backend.send("HTTP/1.1 500 Failed\r\nAttempt-Id: request-1\r\nResponse-Signature: s\r\n"
                      "Content-Length: 0\r\n\r\n");
    REQUIRE(node.runUntil([&] { return node.answers.size() == 1; }));
    CHECK(node.answers.back().shortService == "stock");
    node.call(2);
    REQUIRE(node.runUntil([&] { return node.backend.hasRequest(2); }));
    node.backend.send("HTTP/1.1 500 Failed\r\nAttempt-Id: request-2\r\nResponse-Signature: s\r\n"
                      "Content-Length: 0\r\n\r\n");
    REQUIRE(node.runUntil([&] { return node.answers.size() == 2; }));
    CHECK(node.answers.back().shortService.empty());
}
