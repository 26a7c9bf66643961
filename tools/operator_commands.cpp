#include "operator_commands.h"

#include "ibiswell/core/hash.h"
#include "ibiswell/transport/settings.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

#include <map>

namespace ibiswell {

namespace json = boost::json;

int reportUsageError(std::string_view text)
{
    fmt::print(stderr, "ibiswell: {}\nTry \"ibiswell help\".\n", text);
    return UsageError;
}

namespace {

int reportError(const Error &error)
{
    fmt::print(stderr, "ibiswell: {}: {}\n", responseFor(error.kind).name, error.detail);
    switch (error.kind) {
    case ErrorKind::InvalidPolicy:
    case ErrorKind::InvalidSetting:
        return InvalidInput;
    case ErrorKind::PlatformUnavailable:
    case ErrorKind::ConnectFailed:
    case ErrorKind::ConnectionLost:
    case ErrorKind::DeadlineExceeded:
        return Unreachable;
    case ErrorKind::VersionConflict:
        return Conflict;
    default:
        return Failed;
    }
}

std::optional<PolicyDocument> readDocument(const std::string &path, Error &error)
{
    std::optional<std::string> text = readFile(path, error);
    if (!text)
        return std::nullopt;
    std::optional<PolicyDocument> document = parsePolicyDocument(*text, error);
    if (!document)
        error.detail = fmt::format("{}: {}", path, error.detail);
    return document;
}

/** Submits a change, waits until it is in force everywhere, and prints how long that took. */
int submitAndReport(OperatorSession &session, const Arguments &arguments,
                    const PolicyChange &change)
{
    std::optional<std::uint64_t> version = session.submitChange(change);
    if (!version)
        return reportError(*session.lastError());
    if (arguments.waitSeconds <= 0) {
        fmt::print("version {} stored\n", *version);
        return Ok;
    }
    auto rollout = session.waitForRollout(*version, fromSeconds(arguments.waitSeconds));
    if (!rollout) {
        fmt::print("version {} stored; no node responded, so where it is in force is unknown\n",
                   *version);
        reportError(*session.lastError());
        return RolloutIncomplete;
    }
    if (arguments.asJson)
        fmt::print("{{\"version\":{},\"nodes\":{},\"behind\":{},\"seconds\":{:.3f}}}\n", *version,
                   rollout->nodes, rollout->pending, inSeconds(rollout->elapsed));
    else
        fmt::print("version {} in force on {} of {} nodes after {:.3f} s\n", *version,
                   rollout->nodes - rollout->pending, rollout->nodes, inSeconds(rollout->elapsed));
    return rollout->pending == 0 ? Ok : RolloutIncomplete;
}

int checkConfig(const Arguments &arguments)
{
    Error error;
    std::optional<PolicyDocument> document = readDocument(arguments.words[2], error);
    if (!document || !compilePolicy(*document, error))
        return reportError(error);
    fmt::print("{}: valid, {} entries\n", arguments.words[2], document->entries.size());
    return Ok;
}

int showConfig(OperatorSession &session)
{
    std::optional<StoredPolicy> stored = session.readPolicy();
    if (!stored)
        return reportError(*session.lastError());
    fmt::print("// version {}\n{}\n", stored->document.version,
               serializePolicyDocument(stored->document));
    return Ok;
}

int diffConfig(OperatorSession &session, const Arguments &arguments)
{
    Error error;
    std::optional<PolicyDocument> document = readDocument(arguments.words[2], error);
    std::optional<StoredPolicy> stored;
    if (!document)
        return reportError(error);
    if (!(stored = session.readPolicy()))
        return reportError(*session.lastError());
    PolicyDocument next = stored->document;
    if (!applyChange(next, ReplaceSections {*document}, error))
        return reportError(error);
    for (const PolicyEdit &edit : computeDelta(stored->document, next).edits) {
        auto old = stored->document.entries.find(edit.entry);
        if (old != stored->document.entries.end())
            fmt::print("- {} {}\n", edit.entry, old->second);
        if (edit.json)
            fmt::print("+ {} {}\n", edit.entry, *edit.json);
    }
    return Ok;
}

int applyConfig(OperatorSession &session, const Arguments &arguments)
{
    Error error;
    std::optional<PolicyDocument> document = readDocument(arguments.words[2], error);
    if (!document)
        return reportError(error);
    return submitAndReport(session, arguments, ReplaceSections {std::move(*document)});
}

int listExceptions(OperatorSession &session, const Arguments &arguments)
{
    std::optional<StoredPolicy> stored = session.readPolicy();
    if (!stored)
        return reportError(*session.lastError());
    constexpr std::string_view section = "exceptions/";
    for (const auto &[entry, text] : stored->document.entries) {
        if (!entry.starts_with(section))
            continue;
        json::value value = json::parse(text);
        if (arguments.asJson)
            fmt::print("{}\n", text);
        else
            fmt::print("{:<24} {:<28} {}\n", entry.substr(section.size()),
                       std::string(value.at("applies_to").as_string()),
                       std::string(value.at("reason").as_string()));
    }
    return Ok;
}

int addException(OperatorSession &session, const Arguments &arguments)
{
    if (arguments.reason.empty())
        return reportUsageError("an exception needs --reason");
    Error error;
    boost::system::error_code ec;
    json::value set = json::parse(arguments.set.empty() ? "{}" : arguments.set, ec);
    if (ec)
        return reportUsageError(fmt::format("--set is not JSON: {}", ec.message()));
    json::object object {
        {"reason", arguments.reason}, {"applies_to", arguments.appliesTo}, {"set", set}};
    return submitAndReport(session, arguments,
                           SetEntry {"exceptions/" + arguments.words[2], json::serialize(object)});
}

int grantKey(OperatorSession &session, const Arguments &arguments)
{
    if (arguments.team.empty())
        return reportUsageError("a key needs --team");
    json::object object {{"team", arguments.team}};
    return submitAndReport(
        session, arguments,
        SetEntry {"keys/" + sha256Hex(arguments.words[2]), json::serialize(object)});
}

int takeZoneOut(OperatorSession &session, const Arguments &arguments)
{
    if (arguments.reason.empty())
        return reportUsageError("taking a zone out needs --reason");
    json::object object {{"reason", arguments.reason}};
    return submitAndReport(session, arguments,
                           SetEntry {"zones_out/" + arguments.words[2], json::serialize(object)});
}

void printNode(const json::value &page)
{
    fmt::print("node {}  policy version {}  limit {}  in flight {}  queued {}  lowest "
               "admitted fraction {}\n",
               json::serialize(page.at("node")), json::serialize(page.at("policy_version")),
               json::serialize(page.at("limit")), json::serialize(page.at("in_flight")),
               json::serialize(page.at("queued")), page.at("worst_fraction").to_number<double>());
}

void printMembers(const json::value &page)
{
    fmt::print("{:<20} {:<14} {:<14} {:<22} {:<8} {}\n", "NODE", "SERVICE", "ZONE", "HTTP", "STATE",
               "LEASES");
    for (const json::value &member : page.at("members").as_array()) {
        auto text = [&](std::string_view field) {
            return std::string(
                member.at(json::string_view(field.data(), field.size())).as_string());
        };
        fmt::print("{:<20} {:<14} {:<14} {:<22} {:<8} {}\n", text("node"), text("service"),
                   text("zone"),
                   fmt::format("{}:{}", text("address"), json::serialize(member.at("http_port"))),
                   text("state"), json::serialize(member.at("leases")));
    }
    for (const auto &zone : page.at("zones_out").as_object())
        fmt::print("zone out: {}  {}\n", std::string(zone.key()), json::serialize(zone.value()));
}

int printStatus(OperatorSession &session, const Arguments &arguments)
{
    auto print = [&](const json::value &page) {
        if (arguments.asJson) {
            fmt::print("{}\n", json::serialize(page));
            return;
        }
        printNode(page);
        printMembers(page);
    };
    bool isRead = session.readPage(session.node(), "/-/status", print);
    return isRead ? Ok : reportError(*session.lastError());
}

int explainRequest(OperatorSession &session, const Arguments &arguments)
{
    std::optional<std::vector<Endpoint>> nodes = session.fetchMembers();
    if (!nodes)
        return reportError(*session.lastError());
    bool found = false;
    auto printLines = [&](const json::value &page) {
        for (const json::value &line : page.at("lines").as_array()) {
            found = true;
            fmt::print("{}: {}\n", std::string(page.at("node").as_string()),
                       std::string(line.as_string()));
        }
    };
    // What other nodes recorded is of use also where one does not respond.
    for (const Endpoint &node : *nodes)
        session.readPage(node, "/-/explain?request=" + arguments.words[1], printLines);
    if (!found)
        fmt::print(stderr, "ibiswell: no node has a record of request \"{}\"\n",
                   arguments.words[1]);
    return found ? Ok : Failed;
}

const std::map<std::string, CommandEntry> &commands()
{
    auto makeRemoval = [](const std::string &section) {
        return [section](OperatorSession &session, const Arguments &arguments) {
            return submitAndReport(session, arguments, RemoveEntry {section + arguments.words[2]});
        };
    };
    static const std::map<std::string, CommandEntry> entries {
        {"config check", {3, [](OperatorSession &, const Arguments &a) { return checkConfig(a); }}},
        {"config show", {2, [](OperatorSession &s, const Arguments &) { return showConfig(s); }}},
        {"config diff", {3, diffConfig}},
        {"config apply", {3, applyConfig}},
        {"exception list", {2, listExceptions}},
        {"exception add", {3, addException}},
        {"exception remove", {3, makeRemoval("exceptions/")}},
        {"key grant", {3, grantKey}},
        {"key withdraw",
         {3,
          [](OperatorSession &session, const Arguments &arguments) {
              return submitAndReport(session, arguments,
                                     RemoveEntry {"keys/" + sha256Hex(arguments.words[2])});
          }}},
        {"zone out", {3, takeZoneOut}},
        {"zone in", {3, makeRemoval("zones_out/")}},
        {"status", {1, printStatus}},
        {"explain", {2, explainRequest}},
    };
    return entries;
}

} // namespace

const CommandEntry *findCommand(const std::vector<std::string> &words)
{
    const auto &entries = commands();
    auto found = words.empty() ? entries.end() : entries.find(words[0]);
    if (found == entries.end() && words.size() > 1)
        found = entries.find(words[0] + " " + words[1]);
    return found == entries.end() ? nullptr : &found->second;
}

} // namespace ibiswell
