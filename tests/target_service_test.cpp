#include "target_service.h"

#include "answering_target.h"
#include "dialect.h"

#include "ibiswell/decisions/call_table.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

#include <array>
#include <list>
#include <vector>

using namespace ibiswell;
using namespace ibiswell::test;
using namespace std::chrono_literals;

namespace {

/** A backend server that reads requests and sends the bytes that the test passes to send(). */
class FakeBackend
{
public:
    explicit FakeBackend(asio::io_context &context)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(context, acceptLoop(), asio::detached);
    }

    Endpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    /** Number of accepted connections; the node sends one request at a time on each. */
    std::size_t connectionCount() const { return m_sockets.size(); }

    /** Whether the complete header of the request of call @p id was read. */
    bool hasRequest(std::uint64_t id) const
    {
        std::size_t at = m_received.find(fmt::format("Attempt-Id: request-{}\r\n", id));
        return at != std::string::npos && m_received.find("\r\n\r\n", at) != std::string::npos;
    }

    /** Sends @p bytes on all connections, and closes them when @p close is set. */
    void send(const std::string &bytes, bool close = false)
    {
        boost::system::error_code ignored;
        for (tcp::socket &socket : m_sockets) {
            asio::write(socket, asio::buffer(bytes), ignored);
            if (close)
                socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
    }

    /** Sends @p bytes on all connections again and again until they are closed. */
    void sendWithoutEnd(const std::string &bytes)
    {
        for (tcp::socket &socket : m_sockets)
            asio::co_spawn(m_acceptor.get_executor(), repeat(socket, bytes), asio::detached);
    }
    std::size_t bytesSentWithoutEnd() const { return m_bytesSentWithoutEnd; }

private:
    Task<void> repeat(tcp::socket &socket, std::string bytes)
    {
        for (;;) {
            auto [ec, count] = co_await asio::async_write(socket, asio::buffer(bytes), asResult);
            m_bytesSentWithoutEnd += count;
            if (ec)
                co_return;
        }
    }

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
            m_received.append(bytes.data(), count);
        }
    }

    std::string m_received;
    std::size_t m_bytesSentWithoutEnd = 0;
    tcp::acceptor m_acceptor;
    std::list<tcp::socket> m_sockets;
};

/** A complete, signed response to the request of call @p id. */
std::string completeResponse(std::uint64_t id, const std::string &body = "ok")
{
    return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: request-{}\r\nResponse-Signature: s\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       id, body.size(), body);
}

/** A caller and the connection on which the node accepted its calls. */
struct ConnectedCaller
{
    explicit ConnectedCaller(asio::io_context &context)
        : caller(context)
        , accepted(context)
    {
        tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        caller.connect(acceptor.local_endpoint());
        acceptor.accept(accepted);
    }

    tcp::socket caller;
    tcp::socket accepted;
};

constexpr std::size_t bodyBytes = 48u << 20; // that a node holds at most

/** The node of a target with one slot, and the services that TargetService looks up. */
struct OneSlotNode
{
    explicit OneSlotNode(Dialect dialect = platform::makeDialect())
        : context(kernel.add<asio::io_context>("io", 1))
        , backend(context)
    {
        kernel.add<Log>("log", LogLevel::Error);
        NodeState &state = kernel.add<NodeState>("node");
        state.settings.service = "ledger";
        state.settings.backend = backend.endpoint();
        kernel.add<Dialect>("dialect", std::move(dialect));
        PolicyStore &policy = kernel.add<PolicyStore>("policy");
        PolicyDocument document;
        document.version = 1;
        REQUIRE(policy.adopt(std::move(document)));
        kernel.add<PathTable>("paths");
        kernel.add<CallTable>("calls");
        kernel.add<RetryPolicy>("retries");
        kernel.add<BufferBudget>("body-buffers", bodyBytes);
        kernel.add<DownstreamSaturation>("broken-calls");
        kernel.add<TargetAdmission>("admission").setSlots(1);
        kernel.add<DecisionLog>("decisions", kernel, 0);
        TargetGate &gate = kernel.add<TargetGate>("target-gate", std::string("ledger"));
        TargetReport report;
        report.instance = "i-1";
        report.service = "ledger";
        report.sequence = 1;
        report.slots = 1;
        reportAndAnswer(gate, steadyNow(), report);
        kernel.add<TargetService>("target", kernel, context);
    }

    void call(std::uint64_t id) { call(id, m_caller.accepted); }

    /** Starts a call that arrived on @p connection. */
    void call(std::uint64_t id, tcp::socket &connection)
    {
        CallMessage message;
        message.callId = id;
        message.service = "ledger";
        message.route = "refund";
        message.context.requestId = "request-" + std::to_string(id);
        message.context.remainingTime = 5s;
        message.request.method = "GET";
        message.request.path = "/";
        asio::co_spawn(context, run(std::move(message), CallerConnection(connection)),
                       asio::detached);
    }

    Task<void> run(CallMessage message, CallerConnection caller)
    {
        auto running = kernel.get<TargetService>("target").run(std::move(message), caller);
        responses.push_back(co_await std::move(running));
    }

    /** Runs a call, to which the backend server responds with @p bytes. */
    const CallResult &respondTo(std::uint64_t id, const std::string &bytes, bool close = false)
    {
        std::size_t before = responses.size();
        call(id);
        REQUIRE(runUntil([&] { return kernel.get<TargetAdmission>("admission").inFlight() == 1; }));
        REQUIRE(runUntil([&] { return backend.hasRequest(id); }));
        backend.send(bytes, close);
        REQUIRE(runUntil([&] { return responses.size() > before; }));
        return responses.back().result;
    }

    /** Runs one handler at a time until @p condition holds. */
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
    std::vector<ResponseMessage> responses;

private:
    ConnectedCaller m_caller {context}; ///< The caller of most calls, which never leaves.
};

} // namespace

TEST_CASE("a call whose gate closes between the grant of its slot and its start frees the slot")
{
    OneSlotNode node;
    TargetAdmission &admission = node.kernel.get<TargetAdmission>("admission");
    node.call(1);
    REQUIRE(node.runUntil([&] { return node.backend.connectionCount() == 1; }));
    node.call(2);
    REQUIRE(node.runUntil([&] { return admission.queued() == 1; }));

    node.backend.send(completeResponse(1));
    // The end of the first call grants the slot; the task of the second call has not resumed yet.
    REQUIRE(node.runUntil([&] { return admission.queued() == 0; }));
    REQUIRE(node.responses.size() <= 1);
    node.kernel.get<TargetGate>("target-gate").onDeparture(steadyNow(), "i-1");
    REQUIRE(node.runUntil([&] { return node.responses.size() == 2; }));

    const Refusal *refusal = std::get_if<Refusal>(&node.responses.back().result);
    REQUIRE(refusal);
    CHECK((refusal->kind == ErrorKind::TargetLeaving));
    CHECK((refusal->execution == Execution::NotRun));
    CHECK(node.backend.connectionCount() == 1);
    CHECK(admission.inFlight() == 0);
}

// Guards against the incident UNTOLD: the zone is back in the policy a moment before the gate paces
// the cold start, and what arrived between flooded the backend server.
TEST_CASE("UNTOLD: a call is refused until the gate has handled the return of its zone")
{
    OneSlotNode node;
    TargetGate &gate = node.kernel.get<TargetGate>("target-gate");
    gate.setZoneOut(steadyNow(), true);
    node.call(1);
    REQUIRE(node.runUntil([&] { return node.responses.size() == 1; }));
    const Refusal *refusal = std::get_if<Refusal>(&node.responses.back().result);
    REQUIRE(refusal);
    CHECK((refusal->kind == ErrorKind::ZoneOut));
    CHECK((refusal->execution == Execution::NotRun));
    gate.setZoneOut(steadyNow(), false);
    const CallResult &result = node.respondTo(2, completeResponse(2));
    CHECK(std::holds_alternative<HttpResponse>(result));
}

TEST_CASE("a truncated response is not a success, and its connection is not used again")
{
    OneSlotNode node;
    std::string complete = completeResponse(1, "a long body");
    const CallResult &result = node.respondTo(1, complete.substr(0, complete.size() - 4), true);
    const Refusal *refusal = std::get_if<Refusal>(&result);
    REQUIRE(refusal);
    CHECK((refusal->kind == ErrorKind::ResponseTruncated));
    CHECK((refusal->execution == Execution::Unknown));
    CHECK(std::holds_alternative<HttpResponse>(node.respondTo(2, completeResponse(2))));
    CHECK(node.backend.connectionCount() == 2);
}

TEST_CASE("bytes that are not HTTP are not a response, and the call is not reported as not run")
{
    OneSlotNode node;
    const CallResult &result = node.respondTo(1, "\x01\x02 not an answer\r\n\r\n", true);
    const Refusal *refusal = std::get_if<Refusal>(&result);
    REQUIRE(refusal);
    CHECK((refusal->execution == Execution::Unknown));
    CHECK(node.kernel.get<TargetAdmission>("admission").inFlight() == 0);
}

TEST_CASE("a late response to another request is discarded, and the matching one is returned")
{
    OneSlotNode node;
    const CallResult &result =
        node.respondTo(1, completeResponse(7, "of another request") + completeResponse(1, "mine"));
    const HttpResponse *response = std::get_if<HttpResponse>(&result);
    REQUIRE(response);
    CHECK(response->body == "mine");
}

TEST_CASE("a second response after the matching one is not returned to any request")
{
    OneSlotNode node;
    const HttpResponse *first = std::get_if<HttpResponse>(
        &node.respondTo(1, completeResponse(1, "first") + completeResponse(1)));
    REQUIRE(first);
    CHECK(first->body == "first");
    const HttpResponse *second =
        std::get_if<HttpResponse>(&node.respondTo(2, completeResponse(2, "second")));
    REQUIRE(second);
    CHECK(second->body == "second");
    CHECK(node.backend.connectionCount() == 2);
}

TEST_CASE("BROKEN: a health response says that the backend server drains only if it is sound")
{
    struct Case
    {
        std::string bytes;
        bool isReady;
    };
    const std::string draining = R"({"state":"draining"})";
    const std::string sized =
        fmt::format("Content-Length: {}\r\n\r\n{}", draining.size(), draining);
    for (const Case &health :
         {Case {"HTTP/1.1 200 OK\r\n" + sized, false},
          Case {"HTTP/1.1 503 Draining\r\n" + sized, false},
          Case {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", true},
          Case {"HTTP/1.1 000 Zero\r\n" + sized, true},
          Case {"HTTP/1.1 700 High\r\n" + sized, true},
          Case {"HTTP/1.1 103 Early Hints\r\n" + sized, true},
          Case {"HTTP/1.1 200 OK\r\nX Y: z\r\n" + sized, true},
          Case {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + draining, true},
          Case {"HTTP/1.1 200 OK\r\n\r\n" + draining, true},
          Case {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + draining, true}}) {
        OneSlotNode node {Dialect {}};
        std::optional<bool> isReady;
        auto probe = [&]() -> Task<void> {
            isReady = co_await node.kernel.get<TargetService>("target").isBackendReady();
        };
        asio::co_spawn(node.context, probe(), asio::detached);
        REQUIRE(node.runUntil([&] { return node.backend.connectionCount() == 1; }));
        node.backend.send(health.bytes, true);
        REQUIRE(node.runUntil([&] { return isReady.has_value(); }));
        CHECK_MESSAGE(*isReady == health.isReady, health.bytes);
    }
}

TEST_CASE("a success without the backend server's signature is not returned as a success")
{
    OneSlotNode node;
    const CallResult &result = node.respondTo(
        1, "HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nContent-Length: 2\r\n\r\nok");
    const Refusal *refusal = std::get_if<Refusal>(&result);
    REQUIRE(refusal);
    CHECK((refusal->execution == Execution::Unknown));
}

TEST_CASE("a failure after a downstream call was refused names the saturated service to the caller")
{
    OneSlotNode node;
    node.call(1);
    REQUIRE(node.runUntil([&] { return node.backend.hasRequest(1); }));
    node.kernel.get<DownstreamSaturation>("broken-calls")
        .onSaturated(steadyNow(), "stock", "stock");
    node.backend.send("HTTP/1.1 500 Failed\r\nAttempt-Id: request-1\r\nResponse-Signature: s\r\n"
                      "Content-Length: 0\r\n\r\n");
    REQUIRE(node.runUntil([&] { return node.responses.size() == 1; }));
    CHECK(node.responses.back().saturatedService == "stock");
    node.call(2);
    REQUIRE(node.runUntil([&] { return node.backend.hasRequest(2); }));
    node.backend.send("HTTP/1.1 500 Failed\r\nAttempt-Id: request-2\r\nResponse-Signature: s\r\n"
                      "Content-Length: 0\r\n\r\n");
    REQUIRE(node.runUntil([&] { return node.responses.size() == 2; }));
    CHECK(node.responses.back().saturatedService.empty());
}

// Guards against the incident GONE: a call that waited is not run once its caller has left.
TEST_CASE("GONE: a call whose caller left while it waited for a slot is not sent when it gets one")
{
    OneSlotNode node;
    TargetAdmission &admission = node.kernel.get<TargetAdmission>("admission");
    ConnectedCaller leaving(node.context);
    node.call(1);
    REQUIRE(node.runUntil([&] { return node.backend.hasRequest(1); }));
    node.call(2, leaving.accepted);
    REQUIRE(node.runUntil([&] { return admission.queued() == 1; }));

    // Bytes that nobody reads hide the end of the connection from a reader.
    asio::write(leaving.caller, asio::buffer("unread", 6));
    leaving.caller.close();
    node.backend.send(completeResponse(1));
    REQUIRE(node.runUntil([&] { return node.responses.size() == 2; }));

    const Refusal *refusal = std::get_if<Refusal>(&node.responses.back().result);
    REQUIRE(refusal);
    CHECK((refusal->kind == ErrorKind::Cancelled));
    CHECK((refusal->execution == Execution::NotRun));
    CHECK_FALSE(node.backend.hasRequest(2));
    CHECK(admission.inFlight() == 0);
}

TEST_CASE("REFUSED: a refusal that does not name the request does not state that it has not run")
{
    // A faulty backend server may send an earlier refusal once more on a connection in use.
    const std::string repeated =
        "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string misdirected = "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n";
    const std::string otherRefusal = "HTTP/1.1 503 Full\r\nAttempt-Id: request-1\r\nNot-Executed: "
                                     "1\r\nContent-Length: 0\r\n\r\n";
    OneSlotNode node;
    const Refusal *first = std::get_if<Refusal>(&node.respondTo(1, otherRefusal));
    REQUIRE(first);
    CHECK((first->execution == Execution::NotRun));
    std::uint64_t id = 2;
    for (const std::string &bytes : {repeated, misdirected}) {
        const Refusal *refusal = std::get_if<Refusal>(&node.respondTo(id++, bytes));
        REQUIRE(refusal);
        CHECK((refusal->execution == Execution::Unknown));
        CHECK(node.kernel.get<TargetGate>("target-gate").isOpen());
        const HttpResponse *next =
            std::get_if<HttpResponse>(&node.respondTo(id, completeResponse(id)));
        REQUIRE(next);
        ++id;
    }
    // The request's own response after the repeated refusal counts.
    const HttpResponse *own =
        std::get_if<HttpResponse>(&node.respondTo(id, otherRefusal + completeResponse(id, "own")));
    REQUIRE(own);
    CHECK(own->body == "own");
}

TEST_CASE("MIXED: a response that ends anywhere before its end is never a success")
{
    const std::string framed = completeResponse(1, "body");
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nResponse-Signature: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    const std::string unframedHead =
        "HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nResponse-Signature: s\r\n\r\n";
    for (const std::string &complete : {framed, chunked, unframedHead}) {
        for (std::size_t length = 0; length < complete.size(); ++length) {
            OneSlotNode node;
            const CallResult &result = node.respondTo(1, complete.substr(0, length), true);
            const Refusal *refusal = std::get_if<Refusal>(&result);
            REQUIRE_MESSAGE(refusal, complete.substr(0, length));
            CHECK((refusal->execution == Execution::Unknown));
        }
    }
}

TEST_CASE("bytes without end, in a head or a body, end in an unknown outcome and bounded memory")
{
    constexpr std::size_t maximumHeadBytes = 1u << 20;
    constexpr std::size_t maximumBodyBytes = 64u << 20;
    struct Endless
    {
        std::string begin;
        std::string repeated;
        std::size_t maximumBytes;
    };
    const std::string head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: request-1\r\nResponse-Signature: s\r\n";
    const std::string block(16384, 'x');
    const std::vector<Endless> cases {
        {"", block, maximumHeadBytes},
        {head, "X-Field: " + std::string(100, 'x') + "\r\n", maximumHeadBytes},
        {"", "HTTP/1.1 100 Continue\r\n\r\n", maximumHeadBytes},
        {head + "\r\n", block, maximumBodyBytes},
        {head + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + block + "\r\n",
         maximumBodyBytes},
    };
    for (const Endless &endless : cases) {
        CAPTURE(endless.begin);
        OneSlotNode node;
        node.call(1);
        REQUIRE(node.runUntil([&] { return node.backend.hasRequest(1); }));
        node.backend.send(endless.begin);
        node.backend.sendWithoutEnd(endless.repeated);
        REQUIRE(node.runUntil([&] { return node.responses.size() == 1; }));
        const Refusal *refusal = std::get_if<Refusal>(&node.responses.back().result);
        REQUIRE(refusal);
        CHECK((refusal->execution == Execution::Unknown));
        CHECK(node.backend.bytesSentWithoutEnd() < endless.maximumBytes);
    }
}

TEST_CASE("the responses of one server hold no more than their budget together")
{
    BufferBudget budget(100);
    BufferBudget::Reservation first(&budget);
    CHECK(first.grow(60));
    {
        BufferBudget::Reservation second(&budget);
        CHECK(second.grow(40));
        CHECK_FALSE(second.grow(1));
        CHECK_FALSE(first.grow(1));
    }
    CHECK(first.grow(40));
    // A body that is held already counts, so that the next one waits for room.
    first.growBeyond(50);
    BufferBudget::Reservation third(&budget);
    CHECK_FALSE(third.grow(1));
    first.release();
    CHECK(third.grow(100));
}

namespace {

/** The bytes of the body are more than the buffers of a connection take. */
constexpr std::size_t longBodyBytes = 8u << 20;

/** Sends a request with a long body to a server that responds before it has read it. */
CallResult sendToEarlyResponder(const std::string &response, bool closes, int &connections)
{
    asio::io_context context {1};
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    connections = 0;
    auto serve = [&]() -> Task<void> {
        std::list<tcp::socket> kept;
        for (;;) {
            tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
            ++connections;
            std::array<char, 1000> start {};
            co_await asio::async_read(socket, asio::buffer(start), asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(response), asio::use_awaitable);
            if (!closes)
                kept.push_back(std::move(socket));
        }
    };
    asio::co_spawn(context, serve(), asio::detached);
    HttpClientOptions options;
    options.echoedField = "Attempt-Id";
    HttpClient client({"127.0.0.1", acceptor.local_endpoint().port()}, options);
    HttpRequest request {"POST", "/", {{"Attempt-Id", "request-1"}}, {}};
    request.body.assign(longBodyBytes, 'x');
    std::optional<CallResult> result;
    auto exchangeTwice = [&]() -> Task<void> {
        result = co_await client.exchange(request, 3s);
        co_await client.exchange(request, 3s);
        context.stop();
    };
    asio::co_spawn(context, exchangeTwice(), asio::detached);
    context.run_for(10s);
    return result.value_or(Refusal {ErrorKind::DeadlineExceeded, "", Execution::Unknown});
}

} // namespace

// A refusal that states "not run" was lost while the rest of a body that nobody reads was sent.
TEST_CASE("a response that arrives before the body was read is used, and its connection is not")
{
    std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: request-1\r\n"
                          "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    for (bool closes : {false, true}) {
        int connections = 0;
        CallResult result = sendToEarlyResponder(refusal, closes, connections);
        const HttpResponse *response = std::get_if<HttpResponse>(&result);
        REQUIRE_MESSAGE(response, std::get<Refusal>(result).detail);
        CHECK(response->status == 503);
        CHECK(response->hasHeader("Not-Executed"));
        CHECK(connections == 2);
    }
}

TEST_CASE("LIMIT: a stated rate that cannot be read leaves the last one in force")
{
    OneSlotNode node;
    TargetGate &gate = node.kernel.get<TargetGate>("target-gate");
    auto stating = [](std::uint64_t id, const std::string &rate) {
        return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: request-{}\r\nResponse-Signature: s\r\n"
                           "Server-Limit: {}\r\nContent-Length: 0\r\n\r\n",
                           id, rate);
    };
    node.respondTo(1, stating(1, "55.3"));
    CHECK(gate.statedRate() == 55.3);
    std::uint64_t id = 2;
    for (const char *rate : {"many", "-1", "nan", "5,4", "1e999"}) {
        node.respondTo(id, stating(id, rate));
        CHECK(gate.statedRate() == 55.3);
        ++id;
    }
    node.respondTo(id, completeResponse(id));
    CHECK_FALSE(gate.statedRate());
}
