/**
 * Measures added latency with real processes: alternates direct calls to a backend server with
 * calls through two nodes to a backend server of the same kind, over persistent connections.
 *
 * Usage: added_latency BACKEND_PORT NODE_PORT PATH_AT_BACKEND PATH_AT_NODE PAIRS
 * Example, while "tools/run_example.sh --keep" runs:
 * added_latency 7103 8101 /open /stock/open 2000
 */

#include "http_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <vector>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

Task<Duration> timeRequest(HttpClient &client, std::string path, int &failures)
{
    HttpRequest request {"GET", std::move(path), {}, {}};
    TimePoint start = steadyNow();
    auto exchange = client.exchange(std::move(request), 5s);
    CallResult result = co_await std::move(exchange);
    const HttpResponse *response = std::get_if<HttpResponse>(&result);
    failures += response && response->status == 200 ? 0 : 1;
    co_return steadyNow() - start;
}

Task<void> measure(HttpClient &direct, HttpClient &node, std::string directPath,
                   std::string nodePath, int pairs)
{
    std::vector<Duration> directTimes;
    std::vector<Duration> nodeTimes;
    int failures = 0;
    for (int i = 0; i < pairs; ++i) {
        directTimes.push_back(co_await timeRequest(direct, directPath, failures));
        nodeTimes.push_back(co_await timeRequest(node, nodePath, failures));
    }
    std::sort(directTimes.begin(), directTimes.end());
    std::sort(nodeTimes.begin(), nodeTimes.end());
    auto quantile = [&](const std::vector<Duration> &times, double fraction) {
        return times[static_cast<std::size_t>(fraction * static_cast<double>(times.size() - 1))];
    };
    for (double fraction : {0.5, 0.9, 0.99})
        fmt::print("percentile {:>2.0f}: direct {:>8} us  through nodes {:>8} us  added {:>8} us\n",
                   fraction * 100, quantile(directTimes, fraction).count(),
                   quantile(nodeTimes, fraction).count(),
                   (quantile(nodeTimes, fraction) - quantile(directTimes, fraction)).count());
    fmt::print("failures {}\n", failures);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 6) {
        fmt::print(stderr,
                   "usage: added_latency BACKEND_PORT NODE_PORT PATH_AT_BACKEND "
                   "PATH_AT_NODE PAIRS\n");
        return 2;
    }
    asio::io_context context;
    HttpClient direct({"127.0.0.1", static_cast<std::uint16_t>(std::atoi(argv[1]))});
    HttpClient node({"127.0.0.1", static_cast<std::uint16_t>(std::atoi(argv[2]))});
    asio::co_spawn(context, measure(direct, node, argv[3], argv[4], std::atoi(argv[5])),
                   asio::detached);
    context.run();
    return 0;
}
