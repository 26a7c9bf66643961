#include "peer_links.h"

#include "socket_deadline.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t idleKeptForPeer = 16;
/** A node that lives answers at once; a lost packet is sent again after a second only. */
constexpr Duration connectLimit = 250ms;

Refusal lost(std::string detail)
{
    return {ErrorKind::ConnectionLost, std::move(detail), Execution::Unknown};
}

} // namespace

Task<std::optional<PeerConnection>> PeerLinks::connection(const Endpoint &peer, Duration limit)
{
    auto found = m_idle.find(peer);
    while (found != m_idle.end() && !found->second.empty()) {
        PeerConnection link = std::move(found->second.back());
        found->second.pop_back();
        if (!link.isStale())
            co_return std::optional<PeerConnection>(std::move(link));
    }
    std::optional<tcp::socket> socket = co_await connectTo(peer, std::min(limit, connectLimit));
    if (!socket)
        co_return std::nullopt;
    co_return std::optional<PeerConnection>(PeerConnection(std::move(*socket)));
}

void PeerLinks::keep(const Endpoint &peer, PeerConnection link)
{
    std::deque<PeerConnection> &idle = m_idle[peer];
    if (idle.size() < idleKeptForPeer)
        idle.push_back(std::move(link));
}

Task<PeerReply> PeerLinks::exchange(Endpoint peer, PeerMessage request, Duration limit)
{
    return run(std::move(peer), std::move(request), limit);
}

Task<PeerReply> PeerLinks::call(Endpoint peer, CallMessage call)
{
    Duration limit = call.context.timeLeft;
    return run(std::move(peer), PeerMessage(std::move(call)), limit);
}

Task<PeerReply> PeerLinks::run(Endpoint peer, PeerMessage request, Duration limit)
{
    TimePoint deadline = steadyNow() + limit;
    std::optional<PeerConnection> link = co_await connection(peer, limit);
    if (!link)
        co_return Refusal {ErrorKind::ConnectFailed,
                           fmt::format("no connection to {}", toString(peer)), Execution::NotRun};
    PeerReply reply = lost("");
    {
        SocketDeadline bound(link->socket(), deadline - steadyNow());
        if (CallMessage *call = std::get_if<CallMessage>(&request))
            reply = co_await awaitAnswer(*link, std::move(*call));
        else
            reply = co_await awaitReply(*link, std::move(request));
        if (bound.hasPassed() && std::holds_alternative<Refusal>(reply))
            reply = Refusal {ErrorKind::DeadlineExceeded, "no whole answer in time",
                             Execution::Unknown};
    }
    if (std::holds_alternative<PeerMessage>(reply))
        keep(peer, std::move(*link));
    co_return reply;
}

Task<PeerReply> PeerLinks::awaitReply(PeerConnection &link, PeerMessage request)
{
    bool sent = co_await link.send(request, silenceLimit);
    if (!sent)
        co_return lost(link.lastError()->detail);
    std::optional<PeerMessage> message = co_await link.receive(std::nullopt);
    if (!message)
        co_return lost(link.lastError()->detail);
    co_return std::move(*message);
}

Task<PeerReply> PeerLinks::awaitAnswer(PeerConnection &link, CallMessage call)
{
    std::uint64_t callId = call.callId;
    PeerMessage request(std::move(call));
    bool sent = co_await link.send(request, silenceLimit);
    if (!sent)
        co_return lost(link.lastError()->detail);
    for (;;) {
        std::optional<PeerMessage> received = co_await link.receive(silenceLimit);
        if (!received)
            co_return lost(link.lastError()->detail);
        PeerMessage &message = *received;
        if (const auto *working = std::get_if<WorkingMessage>(&message)) {
            if (working->callId != callId)
                co_return lost("a message of another call arrived");
            continue;
        }
        AnswerMessage *answer = std::get_if<AnswerMessage>(&message);
        if (!answer || answer->callId != callId)
            co_return lost("an answer to another call arrived");
        co_return std::move(message);
    }
}

} // namespace ibiswell
