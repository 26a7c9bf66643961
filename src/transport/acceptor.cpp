#include "acceptor.h"

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** Bounds the time for which established connections wait while new ones are accepted. */
constexpr std::size_t maximumAcceptedAtOnce = 128;
constexpr Duration waitWithoutDescriptors = 10ms; // until some are closed

} // namespace

std::optional<Error> openAcceptor(tcp::acceptor &acceptor, const Endpoint &endpoint)
{
    std::optional<tcp::endpoint> local = toTcpEndpoint(endpoint);
    boost::system::error_code ec = asio::error::invalid_argument;
    if (local)
        acceptor.open(local->protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(*local, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (!ec)
        acceptor.non_blocking(true, ec);
    if (!ec)
        return std::nullopt;
    return Error {ErrorKind::InvalidSetting,
                  "cannot listen on " + toString(endpoint) + ": " + ec.message()};
}

Task<std::vector<tcp::socket>> acceptPending(tcp::acceptor &acceptor)
{
    std::vector<tcp::socket> accepted;
    auto [ec] = co_await acceptor.async_wait(tcp::acceptor::wait_read, asResult);
    while (!ec && accepted.size() < maximumAcceptedAtOnce) {
        tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, ec);
        if (!ec)
            accepted.push_back(std::move(socket));
    }
    bool failed = ec && ec != asio::error::would_block && acceptor.is_open();
    if (failed)
        co_await sleepFor(waitWithoutDescriptors);
    co_return accepted;
}

} // namespace ibiswell
