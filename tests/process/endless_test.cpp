/**
 * Bytes without end, from each side that a node reads from. The process keeps within the memory of
 * the smallest VM, and serves others meanwhile.
 */

#include "background_context.h"
#include "platform_deployment.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <thread>

using namespace ibiswell;
using namespace ibiswell::test;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t smallestVmBytes = 160u << 20;
constexpr std::size_t bytesOfEach = 100u << 20; ///< Sent on a connection, unless it is closed.
/** Long writes fill the buffer of the reader, short ones leave it nearly empty. */
constexpr std::array<std::size_t, 2> blockSizes {1400, 64u << 10};
constexpr int senders = 8;
constexpr auto sendLimit = 4s;

/** A message that begins well and then goes on for ever. */
struct EndlessMessage
{
    const char *name;
    std::string begin;
    std::string repeated;
    std::size_t blockBytes = 0; ///< Sent at once.
};

/** Each message with each size of its writes. */
std::vector<EndlessMessage> withBlockSizes(const std::vector<EndlessMessage> &messages)
{
    std::vector<EndlessMessage> all;
    for (EndlessMessage message : messages) {
        for (std::size_t size : blockSizes) {
            message.blockBytes = size;
            all.push_back(message);
        }
    }
    return all;
}

std::vector<EndlessMessage> endlessResponses()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"header fields", ok, "X-A: b\r\n"},
            {"header field", ok + "X-A: ", "b"},
            {"status line", "HTTP/1.1 200 ", "O"},
            {"body by length", ok + "Content-Length: 100000000000\r\n\r\n", "b"},
            {"body to the close", ok + "Connection: close\r\n\r\n", "b"},
            {"chunks", chunked, "5\r\nabcde\r\n"},
            {"chunk", chunked + "FFFFFFFFF\r\n", "b"},
            {"chunk extension", chunked + "5;a=", "b"},
            {"trailer fields", chunked + "0\r\n", "X-A: b\r\n"},
            {"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
            {"not HTTP", "", "\x01\x02"}};
}

std::vector<EndlessMessage> endlessRequests()
{
    const std::string get = "GET /x/1 HTTP/1.1\r\nHost: a.example\r\n";
    const std::string post = "POST /x/1 HTTP/1.1\r\nHost: a.example\r\n";
    const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"header fields", get, "X-A: b\r\n"},
            {"header field", get + "X-A: ", "b"},
            {"request line", "GET /", "b"},
            {"body by length", post + "Content-Length: 100000000000\r\n\r\n", "b"},
            {"chunks", chunked, "5\r\nabcde\r\n"},
            {"chunk extension", chunked + "5;a=", "b"},
            {"trailer fields", chunked + "0\r\n", "X-A: b\r\n"},
            {"not HTTP", "", "\x01\x02"}};
}

std::string makeBlock(const EndlessMessage &message)
{
    std::string block;
    while (block.size() < message.blockBytes)
        block += message.repeated;
    return block;
}

/** Sends until the peer closes, bytesOfEach are sent or the time is over. */
Task<void> sendEndlessly(tcp::socket &socket, EndlessMessage message)
{
    std::string block = makeBlock(message);
    auto [error, ignored] =
        co_await asio::async_write(socket, asio::buffer(message.begin), asResult);
    for (std::size_t sent = 0; !error && sent < bytesOfEach; sent += block.size()) {
        auto [failure, count] = co_await asio::async_write(socket, asio::buffer(block), asResult);
        error = failure;
    }
}

/**
 * A server that answers each request with the same endless message, and questions for its health
 * soundly; a thread serves it.
 */
class EndlessServer
{
public:
    explicit EndlessServer(int port)
        : m_acceptor(m_context.get(),
                     {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)})
    {
        asio::co_spawn(m_context.get(), accept(), asio::detached);
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;
    ~EndlessServer() { m_context.stop(); }
    void setMessage(EndlessMessage message)
    {
        asio::post(m_context.get(), [this, message = std::move(message)] { m_message = message; });
    }
    int connections() const { return m_connections; } ///< That brought a caller's request.

private:
    Task<void> accept()
    {
        for (;;) {
            auto [error, socket] = co_await m_acceptor.async_accept(asResult);
            if (error)
                co_return;
            asio::co_spawn(m_context.get(), serve(std::move(socket)), asio::detached);
        }
    }
    Task<void> serve(tcp::socket socket)
    {
        std::array<char, 4096> request {};
        auto [error, count] = co_await socket.async_read_some(asio::buffer(request), asResult);
        if (error)
            co_return;
        if (std::string_view(request.data(), count).starts_with("GET /healthz ")) {
            std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(sound), asResult);
            co_return;
        }
        ++m_connections;
        co_await sendEndlessly(socket, m_message);
    }

    BackgroundContext m_context;
    tcp::acceptor m_acceptor;
    EndlessMessage m_message;
    std::atomic<int> m_connections {0};
};

/** Several clients that each send the message to @p port at the same time. */
void sendFromClients(int port, const EndlessMessage &message)
{
    asio::io_context context;
    auto send = [&]() -> Task<void> {
        tcp::socket socket(context);
        tcp::endpoint server(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port));
        auto [error] = co_await socket.async_connect(server, asResult);
        if (!error)
            co_await sendEndlessly(socket, message);
    };
    for (int i = 0; i < senders; ++i)
        asio::co_spawn(context, send(), asio::detached);
    context.run_for(sendLimit);
}

/** The node beside the endless target of a deployment. */
constexpr int besideEndless = 0;

void checkMemory(PlatformDeployment &platform, int node, const EndlessMessage &message)
{
    CHECK_MESSAGE(platform.node(node).peakMemoryBytes() < smallestVmBytes,
                  std::string(message.name)
                      << ", " << message.blockBytes << " bytes at once: "
                      << (platform.node(node).peakMemoryBytes() >> 20) << " MB");
}

} // namespace

TEST_CASE("endless: bytes of a target do not fill the memory of the node beside it")
{
    PlatformDeployment platform(20800);
    platform.addNode("desk");
    platform.addTarget("shop");
    EndlessServer target(platform.targetPort(besideEndless));
    REQUIRE(eventually([&] { return platform.isReady(besideEndless); }));
    REQUIRE(eventually([&] { return platform.isServing(1); }));
    for (const EndlessMessage &message : withBlockSizes(endlessResponses())) {
        target.setMessage(message);
        platform.reportTarget(besideEndless, "desk");
        int before = target.connections();
        std::vector<std::thread> clients;
        clients.reserve(senders);
        for (int i = 0; i < senders; ++i)
            clients.emplace_back([&, i] {
                Reply reply = platform.sendRequest(i % 2, "GET", "/d/1", "endless");
                CHECK_MESSAGE(reply.status != 200, message.name);
            });
        for (std::thread &client : clients)
            client.join();
        CHECK_MESSAGE(target.connections() > before, message.name);
        checkMemory(platform, besideEndless, message);
        checkMemory(platform, 1, message);
        CHECK(platform.isServing(1));
    }
}

TEST_CASE("endless: bytes of clients do not fill the memory of a node")
{
    PlatformDeployment platform(20840);
    platform.addTarget("shop");
    REQUIRE(eventually([&] { return platform.isServing(0); }));
    for (const EndlessMessage &message : withBlockSizes(endlessRequests())) {
        sendFromClients(platform.callerPort(0), message);
        checkMemory(platform, 0, message);
        CHECK(platform.isServing(0));
    }
}

TEST_CASE("endless: bytes of a peer do not fill the memory of a node")
{
    PlatformDeployment platform(20880);
    platform.addTarget("shop");
    REQUIRE(eventually([&] { return platform.isServing(0); }));
    const std::string longest {'\0', '\0', '\0', '\x02'}; // 32 MB, as a little-endian length
    const std::string beyond(4, '\x7f');
    for (const EndlessMessage &message :
         withBlockSizes({{"longest message", longest, "b"},
                         {"too long a message", beyond, "b"},
                         {"short messages", "", std::string {'\x01', '\0', '\0', '\0', 'b'}}})) {
        sendFromClients(platform.peerPort(0), message);
        checkMemory(platform, 0, message);
        CHECK(platform.isServing(0));
    }
}

TEST_CASE("endless: bytes of the store do not fill the memory of a node")
{
    PlatformDeployment platform(20920);
    EndlessServer store(20999);
    platform.useStore(20999);
    for (const EndlessMessage &message : withBlockSizes(endlessResponses())) {
        store.setMessage(message);
        int node = platform.addNode("shop");
        CHECK_MESSAGE(eventually([&] { return store.connections() >= 4; }), message.name);
        std::this_thread::sleep_for(500ms);
        checkMemory(platform, node, message);
        platform.removeNode(node);
    }
}

// Each page of a listing is whole, and says that another one follows.
TEST_CASE("endless: a listing of the store that does not end does not fill the memory of a node")
{
    PlatformDeployment platform(20960);
    platform.setStoreFault(R"({"endless_pages": true})");
    int node = platform.addNode("shop");
    std::this_thread::sleep_for(sendLimit);
    checkMemory(platform, node, {"pages", {}, {}});
}
