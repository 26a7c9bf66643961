#include "ibiswell/wire/codec.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace std::chrono_literals;

TEST_CASE("a call is unchanged by encoding and decoding")
{
    CallMessage call;
    call.callId = 7;
    call.service = "stock";
    call.route = "browse";
    call.context = {"request-1", "school", PriorityClass::Important, 0.25, 0.5, 1500ms, 3, 2, 1};
    call.request = {"GET", "/a?b=c", {{"accept", "*/*"}}, std::string("\0body", 5)};
    Error error;
    auto message = decodePeerMessage(encode(PeerMessage(call)), error);
    REQUIRE_MESSAGE(message, error.detail);
    const CallMessage &read = std::get<CallMessage>(*message);
    CHECK(read.callId == 7);
    CHECK(read.context.remainingTime == 1500ms);
    CHECK(read.context.remainingRetries == 1);
    CHECK(read.request.body == call.request.body);
    CHECK(read.request.headers == call.request.headers);
}

TEST_CASE("a policy, its deltas and members are unchanged by encoding and decoding")
{
    PolicyDocument document {4, {{"teams/a", "{}"}, {"keys/b", "{}"}}};
    PolicyDelta delta {3, 4, {{"teams/a", "{}"}, {"teams/old", std::nullopt}}};
    Error error;
    auto whole = decodePeerMessage(encode(PeerMessage(PolicyResponse {document})), error);
    CHECK(std::get<PolicyDocument>(std::get<PolicyResponse>(*whole).update) == document);
    auto deltas = decodePeerMessage(
        encode(PeerMessage(PolicyResponse {std::vector<PolicyDelta> {delta}})), error);
    auto &read = std::get<std::vector<PolicyDelta>>(std::get<PolicyResponse>(*deltas).update);
    CHECK(read.at(0).edits == delta.edits);
    Member member {"n", "s", "z", {"127.0.0.1", 9}, 8, 5, MemberState::Suspect, {1, 2}};
    auto roster = decodePeerMessage(encode(PeerMessage(RosterResponse {{member}})), error);
    CHECK(std::get<RosterResponse>(*roster).members.at(0) == member);
}

TEST_CASE("a message truncated at any length, or with trailing bytes, is rejected")
{
    CallMessage call;
    call.request = {"GET", "/", {{"a", "b"}}, "body"};
    std::string whole = encode(PeerMessage(call));
    for (std::size_t length = 0; length < whole.size(); ++length) {
        Error error;
        CHECK_FALSE(decodePeerMessage(std::string_view(whole).substr(0, length), error));
        CHECK(bool(error.kind == ErrorKind::MalformedMessage));
    }
    Error error;
    CHECK_FALSE(decodePeerMessage(whole + "x", error));
}

TEST_CASE("numbers and enumerations out of range are rejected")
{
    Error error;
    CallMessage call;
    call.context.admissionDraw = 2;
    CHECK_FALSE(decodePeerMessage(encode(PeerMessage(call)), error));
    call.context.admissionDraw = 0;
    call.context.priority = static_cast<PriorityClass>(9);
    CHECK_FALSE(decodePeerMessage(encode(PeerMessage(call)), error));
    Datagram datagram;
    datagram.body = TokenGrant {1, 0, {{"t", -5, 0}}, 1ms};
    CHECK_FALSE(decodeDatagram(encode(datagram), error));
    datagram.body = TokenGrant {1, 0, {{"t", std::numeric_limits<double>::quiet_NaN(), 0}}, 1ms};
    CHECK_FALSE(decodeDatagram(encode(datagram), error));
}

namespace {

/** Whether each message in which a response can arrive from another node is decoded with it. */
bool isAcceptedFromPeers(const HttpResponse &response)
{
    KeyClaimResponse done {KeyDone {response}};
    ResponseMessage answer;
    answer.result = response;
    int accepted = 0;
    for (const PeerMessage &message : {PeerMessage(answer), PeerMessage(done),
                                       PeerMessage(KeySettlement {"t", "k", response})}) {
        Error error;
        accepted += decodePeerMessage(encode(message), error) ? 1 : 0;
    }
    CHECK((accepted == 0 || accepted == 3));
    return accepted == 3;
}

} // namespace

TEST_CASE("BROKEN: a response that another node passes on is sound, or its message is rejected")
{
    for (int status : {-1, 0, 7, 99, 100, 101, 103, 199, 600, 700, 999, 1000, 70'000})
        CHECK_FALSE(isAcceptedFromPeers({status, {}, {}}));
    for (int status : {200, 204, 299, 302, 304, 404, 500, 599})
        CHECK(isAcceptedFromPeers({status, {}, {}}));
    for (int status : {204, 304})
        CHECK_FALSE(isAcceptedFromPeers({status, {}, "body"}));
    const std::vector<HeaderField> broken {{"X Y", "z"},
                                           {"", "z"},
                                           {"X:", "z"},
                                           {"X\r\nY", "z"},
                                           {" X", "z"},
                                           {"X\x80", "z"},
                                           {"X", "a\r\nY: z"},
                                           {"X", std::string(1, '\0')},
                                           {"X", "a\nz"},
                                           {"X", "\x7f"},
                                           {"Connection", "close"},
                                           {"Content-Length", "4"},
                                           {"transfer-encoding", "gzip"}};
    for (const HeaderField &field : broken)
        CHECK_FALSE_MESSAGE(isAcceptedFromPeers({200, {{"A", "b"}, field}, "body"}), field.name);
    for (const HeaderField &field :
         std::vector<HeaderField> {{"!#$%&'*+-.^_`|~09aZ", ""}, {"X", "a b\tc"}, {"X", "\x80\xff"}})
        CHECK_MESSAGE(isAcceptedFromPeers({200, {{"A", "b"}, field}, "body"}), field.name);
}

TEST_CASE("a probe with six membership updates fits into a datagram")
{
    Datagram datagram;
    datagram.sender = "a-node-with-a-rather-long-name-1234";
    for (int i = 0; i < 6; ++i)
        datagram.updates.push_back({"a-node-with-a-rather-long-name-123" + std::to_string(i),
                                    "a-service-name-of-some-length",
                                    "region-zone-a",
                                    {"100.100.100.100", 65535},
                                    65535,
                                    1u << 31,
                                    MemberState::Alive,
                                    {1, 2, 3}});
    datagram.body = Probe {1};
    CHECK(encode(datagram).size() <= maximumDatagramBytes);
}

TEST_CASE("the id of a call is known from its first bytes, and other messages have none")
{
    CallMessage call;
    call.callId = 0x1122334455667788;
    std::string bytes = encode(PeerMessage(call));
    CHECK(decodeCallId(bytes.substr(0, 16)) == call.callId);
    CHECK_FALSE(decodeCallId(bytes.substr(0, 8)));
    CHECK_FALSE(decodeCallId(""));
    CHECK_FALSE(decodeCallId(encode(PeerMessage(HeartbeatMessage {7}))));
    CHECK_FALSE(decodeCallId(encode(PeerMessage(ResponseMessage {}))));
}
