// Fuzz tests of the decoders of messages and policies, with corrupted and with random input. They
// guard against a decoder that crashes or returns a value out of range. A policy document that is
// read must also be the same after it is written and read again.

#include "support.h"

#include "ibiswell/policy/policy_document.h"
#include "ibiswell/policy/stored_policy.h"
#include "ibiswell/wire/codec.h"

using namespace ibiswell;

namespace {

/** Truncates the bytes in half of the cases and overwrites up to seven of them. */
std::string corrupt(std::string bytes)
{
    auto length = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
    if (*rc::gen::arbitrary<bool>())
        bytes.resize(length);
    auto overwrites = *rc::gen::inRange(0, 8);
    for (int i = 0; i < overwrites && !bytes.empty(); ++i)
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    return bytes;
}

} // namespace

TEST_CASE("peer messages: any bytes are decoded to a message in range or rejected")
{
    CHECK_PROPERTY([] {
        CallMessage call;
        call.route = *rc::gen::arbitrary<std::string>();
        call.request.body = *rc::gen::arbitrary<std::string>();
        Error error;
        auto message = decodePeerMessage(corrupt(encode(PeerMessage(call))), error);
        if (const auto *read = message ? std::get_if<CallMessage>(&*message) : nullptr) {
            RC_ASSERT(read->context.admissionDraw >= 0);
            RC_ASSERT(read->context.admissionDraw <= 1);
        }
        ResponseMessage response;
        response.result = HttpResponse {*rc::gen::inRange(-100, 1100), {{"a", "b"}}, "body"};
        message = decodePeerMessage(corrupt(encode(PeerMessage(response))), error);
        if (const auto *read = message ? std::get_if<ResponseMessage>(&*message) : nullptr) {
            const HttpResponse *whole = std::get_if<HttpResponse>(&read->result);
            RC_ASSERT(!whole || (whole->status >= 200 && whole->status <= 599));
        }
        std::string noise = *rc::gen::arbitrary<std::string>();
        decodePeerMessage(noise, error);
        decodeDatagram(noise, error);
    });
}

TEST_CASE("datagrams: corrupted bytes are decoded to a datagram in range or rejected")
{
    CHECK_PROPERTY([] {
        Datagram datagram;
        datagram.sender = *rc::gen::arbitrary<std::string>();
        datagram.updates.resize(*rc::gen::inRange<std::size_t>(0, 6));
        datagram.body = TokenRequest {1, 2, {{"team", 3}}};
        Error error;
        auto read = decodeDatagram(corrupt(encode(datagram)), error);
        for (const Member &member : read ? read->updates : std::vector<Member> {})
            RC_ASSERT(member.state <= MemberState::Dead);
    });
}

TEST_CASE("policies: corrupted text gives a valid policy or an error with a description")
{
    const std::string text = R"({"defaults": {"deadline_ms": 10}, "teams": {"t": {"burst": 5}},
        "routes": {"r": {"service": "s", "path": "/", "priority": "bulk"}},
        "exceptions": {"e": {"reason": "x", "applies_to": "team:t", "set": {"burst": 6}}}})";
    CHECK_PROPERTY([&] {
        Error error;
        auto document = parsePolicyDocument(corrupt(text), error);
        auto policy = document ? compilePolicy(*document, error) : std::nullopt;
        RC_ASSERT(policy || !error.detail.empty());
        if (policy)
            RC_ASSERT(policy->defaults.deadline > Duration::zero());
        if (document)
            RC_ASSERT(parsePolicyDocument(serializePolicyDocument(*document), error) == document);
        parseStoredPolicy(corrupt(text), 1, error);
    });
}
