#include "ibiswell/wire/codec.h"

#include "ibiswell/core/response_check.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/variant.hpp>

#include <chrono>
#include <sstream>
#include <streambuf>

namespace cereal {

namespace {
constexpr std::uint32_t maximumElements = 1u << 20;
constexpr std::size_t readChunkBytes = 64u << 10;
} // namespace

template<class Archive> void save(Archive &archive, const std::string &text)
{
    archive(static_cast<std::uint32_t>(text.size()));
    archive(binary_data(text.data(), text.size()));
}

/**
 * Reads in chunks, so that a false length allocates at most one chunk more than the input has
 * before reading fails at the end of the input.
 */
template<class Archive> void load(Archive &archive, std::string &text)
{
    std::uint32_t remaining = 0;
    archive(remaining);
    text.clear();
    while (remaining > 0) {
        std::size_t chunk = std::min<std::size_t>(remaining, readChunkBytes);
        std::size_t start = text.size();
        text.resize(start + chunk);
        archive(binary_data(text.data() + start, chunk));
        remaining -= static_cast<std::uint32_t>(chunk);
    }
}

template<class Archive> void save(Archive &archive, const ibiswell::Duration &duration)
{
    archive(static_cast<std::int64_t>(duration.count()));
}

template<class Archive> void load(Archive &archive, ibiswell::Duration &duration)
{
    std::int64_t count = 0;
    archive(count);
    duration = ibiswell::Duration(count);
}

template<class Archive, class T> void save(Archive &archive, const std::vector<T> &values)
{
    archive(static_cast<std::uint32_t>(values.size()));
    for (const T &value : values)
        archive(value);
}

/**
 * Reads element by element, so that a false length makes reading fail at the end of the input
 * instead of allocating memory for that length.
 */
template<class Archive, class T> void load(Archive &archive, std::vector<T> &values)
{
    std::uint32_t count = 0;
    archive(count);
    if (count > maximumElements)
        throw Exception("a sequence has too many elements");
    values.clear();
    for (std::uint32_t i = 0; i < count; ++i)
        archive(values.emplace_back());
}

template<class Archive> void save(Archive &archive, const std::monostate &)
{
    archive(std::uint8_t {0});
}

template<class Archive> void load(Archive &archive, std::monostate &)
{
    std::uint8_t ignored = 0;
    archive(ignored);
}

} // namespace cereal

namespace ibiswell {

template<class A> void serialize(A &a, Endpoint &m)
{
    a(m.address, m.port);
}

template<class A> void serialize(A &a, Member &m)
{
    a(m.node, m.service, m.zone, m.endpoint, m.httpPort, m.incarnation, m.state, m.leases,
      m.takesWork);
}

template<class A> void serialize(A &a, HeaderField &m)
{
    a(m.name, m.value);
}

template<class A> void serialize(A &a, HttpRequest &m)
{
    a(m.method, m.path, m.headers, m.body);
}

template<class A> void serialize(A &a, HttpResponse &m)
{
    a(m.status, m.headers, m.body);
}

template<class A> void serialize(A &a, Refusal &m)
{
    a(m.kind, m.detail, m.execution, m.retryAfter);
}

template<class A> void serialize(A &a, CallContext &m)
{
    a(m.requestId, m.team, m.priority, m.admissionDraw, m.admittedFraction, m.remainingTime,
      m.depth, m.attempt, m.remainingRetries, m.callerService, m.unsheddable,
      m.inheritedRetryShare);
}

template<class A> void serialize(A &a, LoadReport &m)
{
    a(m.pathFraction, m.inFlight, m.queued, m.limit, m.serviceTime, m.completableFraction,
      m.retryHeadroom);
}

template<class A> void serialize(A &a, CallMessage &m)
{
    a(m.callId, m.service, m.route, m.context, m.request);
}

template<class A> void serialize(A &a, ResponseMessage &m)
{
    a(m.callId, m.result, m.load, m.remainingRetries, m.saturatedService);
}

template<class A> void serialize(A &a, HeartbeatMessage &m)
{
    a(m.callId);
}

template<class A> void serialize(A &a, RosterRequest &m)
{
    a(m.joiningNode);
}

template<class A> void serialize(A &a, RosterResponse &m)
{
    a(m.members);
}

template<class A> void serialize(A &a, StorePosition &m)
{
    a(m.era, m.revision);
}

template<class A> void serialize(A &a, PolicyPull &m)
{
    a(m.knownVersion, m.knownZones);
}

template<class A> void serialize(A &a, PolicyEdit &m)
{
    a(m.entry, m.json);
}

template<class A> void serialize(A &a, PolicyDelta &m)
{
    a(m.from, m.to, m.edits);
}

/** A PolicyDocument is encoded as its version and the sequence of its entries. */
template<class A> void save(A &a, const PolicyDocument &m)
{
    std::vector<HeaderField> entries;
    for (const auto &[name, text] : m.entries)
        entries.push_back({name, text});
    a(m.version, entries);
}

template<class A> void load(A &a, PolicyDocument &m)
{
    std::vector<HeaderField> entries;
    a(m.version, entries);
    m.entries.clear();
    for (HeaderField &entry : entries)
        m.entries[entry.name] = std::move(entry.value);
}

template<class A> void serialize(A &a, ZonesOut &m)
{
    a(m.position, m.zones);
}

template<class A> void serialize(A &a, PolicyResponse &m)
{
    a(m.update, m.zones);
}

template<class A> void serialize(A &a, KeyClaim &m)
{
    a(m.team, m.key, m.firstAttempt);
}

template<class A> void serialize(A &, KeyGranted &) { }

template<class A> void serialize(A &a, KeyDone &m)
{
    a(m.response);
}

template<class A> void serialize(A &a, KeyClaimResponse &m)
{
    a(m.decision);
}

template<class A> void serialize(A &a, KeySettlement &m)
{
    a(m.team, m.key, m.result);
}

template<class A> void serialize(A &, KeySettlementResponse &) { }

template<class A> void serialize(A &a, Probe &m)
{
    a(m.sequence);
}

template<class A> void serialize(A &a, ProbeAck &m)
{
    a(m.sequence);
}

template<class A> void serialize(A &a, ProbeRequest &m)
{
    a(m.sequence, m.node, m.endpoint);
}

template<class A> void serialize(A &, PolicyUpdateNotice &) { }

template<class A> void serialize(A &, MemberUpdate &) { }

template<class A> void serialize(A &a, TokenAmount &m)
{
    a(m.team, m.tokens);
}

template<class A> void serialize(A &a, GrantedTokens &m)
{
    a(m.team, m.tokens, m.fillLevel);
}

template<class A> void serialize(A &a, TokenRequest &m)
{
    a(m.sequence, m.share, m.wanted);
}

template<class A> void serialize(A &a, TokenGrant &m)
{
    a(m.sequence, m.share, m.granted, m.validFor);
}

template<class A> void serialize(A &a, StoreStatement &m)
{
    a(m.era, m.zonesPosition, m.zonesDigest, m.confirmationAge);
}

template<class A> void serialize(A &a, Datagram &m)
{
    a(m.sender, m.senderEndpoint, m.policyVersion, m.updates, m.body, m.store);
}

namespace {

/** Stream buffer that reads from bytes that it does not copy. */
class ViewBuffer : public std::streambuf
{
public:
    explicit ViewBuffer(std::string_view bytes)
    {
        // setg() takes pointers to non-const, but this buffer is only read.
        char *begin = const_cast<char *>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
    bool isAtEnd() const { return gptr() == egptr(); }
};

/** Stream buffer that appends to a string that it owns. */
class StringBuffer : public std::streambuf
{
public:
    std::string take() { return std::move(m_text); }

protected:
    std::streamsize xsputn(const char *bytes, std::streamsize count) override
    {
        m_text.append(bytes, static_cast<std::size_t>(count));
        return count;
    }
    int_type overflow(int_type byte) override
    {
        m_text.push_back(traits_type::to_char_type(byte));
        return byte;
    }

private:
    std::string m_text;
};

template<class Message> std::string encodeMessage(const Message &message)
{
    StringBuffer buffer;
    std::ostream stream(&buffer);
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
    return buffer.take();
}

template<class Message> std::optional<Message> decodeMessage(std::string_view bytes, Error &error)
{
    ViewBuffer buffer(bytes);
    std::istream stream(&buffer);
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        Message message;
        archive(message);
        if (buffer.isAtEnd())
            return message;
        error = {ErrorKind::MalformedMessage, "trailing bytes after the end of the message"};
    } catch (const std::exception &failure) {
        error = {ErrorKind::MalformedMessage, failure.what()};
    }
    return std::nullopt;
}

/**
 * Checks that the enumerations and numbers in a message from another process are in range, and that
 * responses in it are sound, which decoding alone does not ensure.
 */
struct RangeCheck
{
    bool isFraction(double value) const { return value >= 0 && value <= 1; }

    bool operator()(const CallMessage &m) const
    {
        return isFraction(m.context.admissionDraw) && m.context.admittedFraction > 0
            && isFraction(m.context.admittedFraction) && isFraction(m.context.inheritedRetryShare)
            && static_cast<std::size_t>(m.context.priority) < priorityClassCount;
    }
    bool operator()(const Refusal &m) const
    {
        return static_cast<std::size_t>(m.kind) < errorTable().size()
            && m.execution <= Execution::Run;
    }
    bool operator()(const HttpResponse &m) const { return !checkPassedOn(m); }
    bool operator()(const CallResult &result) const { return std::visit(*this, result); }
    bool operator()(const ResponseMessage &m) const
    {
        return (*this)(m.result) && isFraction(m.load.pathFraction)
            && isFraction(m.load.completableFraction) && isFraction(m.load.retryHeadroom);
    }
    bool operator()(const KeyDone &m) const { return (*this)(m.response); }
    bool operator()(const KeyClaimResponse &m) const { return std::visit(*this, m.decision); }
    bool operator()(const KeySettlement &m) const { return (*this)(m.result); }
    bool operator()(const RosterRequest &m) const { return haveValidStates({m.joiningNode}); }
    bool operator()(const RosterResponse &m) const { return haveValidStates(m.members); }
    bool operator()(const TokenRequest &m) const { return haveValidTokens(m.wanted); }
    bool operator()(const TokenGrant &m) const { return haveValidTokens(m.granted); }
    template<class Other> bool operator()(const Other &) const { return true; }

    bool haveValidStates(const std::vector<Member> &members) const
    {
        for (const Member &member : members) {
            if (member.state > MemberState::Dead)
                return false;
        }
        return true;
    }

private:
    template<class Amount> bool haveValidTokens(const std::vector<Amount> &amounts) const
    {
        for (const Amount &amount : amounts) {
            if (!(amount.tokens >= 0 && amount.tokens <= 1e9))
                return false;
        }
        return true;
    }
};

} // namespace

std::string encode(const PeerMessage &message)
{
    return encodeMessage(message);
}

std::string encode(const Datagram &datagram)
{
    return encodeMessage(datagram);
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes, Error &error)
{
    auto message = decodeMessage<PeerMessage>(bytes, error);
    if (message && !std::visit(RangeCheck {}, *message)) {
        error = {ErrorKind::MalformedMessage,
                 "a value is out of range, or a response is not sound"};
        return std::nullopt;
    }
    return message;
}

std::optional<std::uint64_t> decodeCallId(std::string_view bytes)
{
    std::int32_t index = -1; // of the alternative of PeerMessage, as cereal writes a variant
    std::uint64_t callId = 0;
    try {
        ViewBuffer buffer(bytes);
        std::istream stream(&buffer);
        cereal::PortableBinaryInputArchive archive(stream);
        archive(index);
        if (index != static_cast<std::int32_t>(PeerMessage(CallMessage {}).index()))
            return std::nullopt;
        archive(callId);
    } catch (const cereal::Exception &) {
        return std::nullopt; // fewer bytes than the id needs
    }
    return callId;
}

std::optional<Datagram> decodeDatagram(std::string_view bytes, Error &error)
{
    auto datagram = decodeMessage<Datagram>(bytes, error);
    RangeCheck check;
    if (datagram
        && !(check.haveValidStates(datagram->updates) && std::visit(check, datagram->body)
             && datagram->store.confirmationAge >= Duration::zero())) {
        error = {ErrorKind::MalformedMessage, "a value is out of range"};
        return std::nullopt;
    }
    return datagram;
}

} // namespace ibiswell
