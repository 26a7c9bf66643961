#include "peer_connection.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

CallMessage makeCall(std::uint64_t id, std::size_t bodyBytes)
{
    CallMessage call;
    call.callId = id;
    call.request.method = "POST";
    call.request.body.assign(bodyBytes, 'x');
    return call;
}

} // namespace

// A call that was cut or stalled for want of memory would have an unknown outcome.
TEST_CASE("a call for which there is no room is dropped by its id, and the next one is received")
{
    asio::io_context context {1};
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket sending(context);
    tcp::socket receiving(context);
    sending.connect(acceptor.local_endpoint());
    acceptor.accept(receiving);
    BufferBudget bodies(100'000);
    PeerConnection sender(std::move(sending));
    PeerConnection receiver(std::move(receiving), &bodies);
    auto send = [&]() -> Task<void> {
        for (std::uint64_t id = 1; id <= 3; ++id) {
            PeerMessage message(makeCall(id, id == 2 ? 1'000'000 : 50'000));
            co_await sender.send(message, 1s);
        }
    };
    std::vector<std::optional<PeerMessage>> received;
    std::uint64_t dropped = 0;
    auto receive = [&]() -> Task<void> {
        for (int i = 0; i < 3; ++i) {
            received.push_back(co_await receiver.receive(1s));
            if (!received.back() && receiver.lastError()->kind == ErrorKind::QueueFull)
                dropped = receiver.droppedCallId();
        }
    };
    asio::co_spawn(context, send(), asio::detached);
    asio::co_spawn(context, receive(), asio::detached);
    context.run_for(5s);
    REQUIRE(received.size() == 3);
    REQUIRE(received[0]);
    CHECK(std::get<CallMessage>(*received[0]).request.body.size() == 50'000);
    CHECK_FALSE(received[1]);
    CHECK(dropped == 2);
    REQUIRE(received[2]);
    CHECK(std::get<CallMessage>(*received[2]).callId == 3);
}

// Guards against bytes without end: a message that is never whole would hold its room for good.
TEST_CASE("a message that stops in the middle ends its connection and gives its room back")
{
    asio::io_context context {1};
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket sending(context);
    sending.connect(acceptor.local_endpoint());
    constexpr std::uint32_t length = 90'000;
    const std::string frame {'\x90', '\x5f', '\x01', '\0', 'b', 'e', 'g', 'i', 'n'};
    asio::write(sending, asio::buffer(frame));
    BufferBudget bodies(length);
    bool hasEnded = false;
    auto receive = [&]() -> Task<void> {
        PeerConnection receiver(acceptor.accept(), &bodies);
        std::optional<PeerMessage> message = co_await receiver.receive(std::nullopt);
        CHECK_FALSE(message);
        CHECK(receiver.lastError()->kind == ErrorKind::ConnectionLost);
        hasEnded = true;
    };
    asio::co_spawn(context, receive(), asio::detached);
    context.run_for(peerInactivityTimeout + 1s);
    CHECK(hasEnded);
    BufferBudget::Reservation whole(&bodies);
    CHECK(whole.grow(length));
}
