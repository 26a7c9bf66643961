#include "http_reader.h"

#include <doctest/doctest.h>

#include <string>

using namespace ibiswell;

namespace {

constexpr std::size_t bufferBytes = 64u << 10;
constexpr std::size_t sentBytes = 16u << 20;
/** With the first lines below, a write ends one byte behind the start of a line. */
constexpr std::size_t writeBytes = 512;
const std::string line = "X-A: b\r\n";

/** How a reader took a message whose header never ends, sent a little at a time. */
struct Taken
{
    std::size_t bytes = 0;
    boost::system::error_code error;
};

template<bool isRequest> Taken sendEndlessHeader(const std::string &firstLine)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    tcp::socket sender(context);
    sender.connect(acceptor.local_endpoint());
    sender.set_option(tcp::no_delay(true));
    tcp::socket receiver = acceptor.accept();
    Taken taken;
    bool hasEnded = false;
    auto read = [&]() -> Task<void> {
        beast::flat_buffer buffer(bufferBytes);
        http::parser<isRequest, http::string_body> parser;
        parser.header_limit(bufferBytes);
        taken.error = co_await readHeader(receiver, buffer, parser);
        hasEnded = true;
    };
    asio::co_spawn(context, read(), asio::detached);
    auto send = [&](const std::string &bytes) {
        boost::system::error_code ec;
        asio::write(sender, asio::buffer(bytes), ec);
        taken.bytes += bytes.size();
        while (receiver.available(ec) > 0 && !hasEnded)
            context.poll();
    };
    std::string pending = firstLine;
    while (!hasEnded && taken.bytes < sentBytes) {
        while (pending.size() < writeBytes)
            pending += line;
        send(pending.substr(0, writeBytes));
        pending.erase(0, writeBytes);
    }
    return taken;
}

} // namespace

TEST_CASE("a header of short lines without end is bounded like any other")
{
    for (const Taken &taken : {sendEndlessHeader<false>("HTTP/1.1 200 OK, agai\r\n"),
                               sendEndlessHeader<true>("GET /1234567 HTTP/1.1\r\n" + line)}) {
        CHECK(taken.bytes < 2 * bufferBytes);
        CHECK(taken.error == http::error::header_limit);
    }
}
