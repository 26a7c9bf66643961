#include "platform_client.h"

#include <fmt/format.h>

#include <charconv>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration callTimeout = 3s;

/** The version in a response's ETag field. */
std::optional<std::uint64_t> versionFromETag(const HttpResponse &response)
{
    for (const HeaderField &field : response.headers) {
        if (field.name != "ETag" && field.name != "etag")
            continue;
        std::uint64_t version = 0;
        std::string_view text = field.value;
        if (text.size() >= 2 && text.front() == '"')
            text = text.substr(1, text.size() - 2);
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), version);
        if (ec == std::errc {})
            return version;
    }
    return std::nullopt;
}

} // namespace

PlatformClient::PlatformClient(Endpoint platform)
    : m_client(std::move(platform))
{
}

Task<PlatformReply> PlatformClient::send(HttpRequest request, Duration limit)
{
    ++m_callCount;
    CallResult result = co_await m_client.exchange(std::move(request), limit);
    if (const Refusal *refusal = std::get_if<Refusal>(&result))
        co_return Error {ErrorKind::PlatformUnavailable, refusal->detail};
    HttpResponse &response = std::get<HttpResponse>(result);
    if (response.status == 404)
        co_return PlatformObject {};
    if (response.status == 409 || response.status == 412)
        co_return PlatformConflict {};
    std::optional<std::uint64_t> version = versionFromETag(response);
    if (response.status != 200 || !version)
        co_return Error {ErrorKind::PlatformUnavailable,
                         fmt::format("the platform responded with status {}", response.status)};
    co_return PlatformObject {*version, std::move(response.body)};
}

Task<PlatformReply> PlatformClient::get(std::string name)
{
    HttpRequest request {"GET", fmt::format("/objects/{}", name), {}, {}};
    co_return co_await send(std::move(request), callTimeout);
}

Task<PlatformReply> PlatformClient::put(std::string name, std::uint64_t ifVersion,
                                        std::string value)
{
    HttpRequest request {"PUT",
                         fmt::format("/objects/{}?if_version={}", name, ifVersion),
                         {{"content-type", "application/json"}},
                         std::move(value)};
    co_return co_await send(std::move(request), callTimeout);
}

Task<PlatformReply> PlatformClient::watch(std::string name, std::uint64_t after, Duration wait)
{
    auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    HttpRequest request {
        "GET",
        fmt::format("/watch/{}?after={}&wait_ms={}", name, after, milliseconds.count()),
        {},
        {}};
    co_return co_await send(std::move(request), wait + callTimeout);
}

} // namespace ibiswell
