#pragma once

#include "scripted_server.h"

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <vector>

/** Responses as bytes on the wire, sound and broken, for every reader of responses. */
namespace ibiswell::test {

/** A response and what its reader makes of it. */
struct ResponseCase
{
    std::string what;
    ScriptedResponse response;
    int status = 0; ///< That the reader returns; 0: it refuses the response.
    std::string body {};
    /** The close of the connection delimits the body, which only a target's response may use. */
    bool isUnframed = false;
};

inline constexpr std::string_view ownFields = "Attempt-Id: {id}\r\nResponse-Signature: s\r\n";

/** A head of a response to the request, with further @p fields. */
inline std::string headWith(std::string_view statusLine, std::string_view fields = {})
{
    return fmt::format("{}\r\n{}{}\r\n", statusLine, ownFields, fields);
}

inline std::string okWith(std::string_view fields)
{
    return headWith("HTTP/1.1 200 OK", fields);
}

inline constexpr std::string_view sizedField = "Content-Length: 4\r\n"; ///< Of the body "done".
inline constexpr std::string_view chunkedField = "Transfer-Encoding: chunked\r\n";
inline constexpr std::string_view doneInChunks = "4\r\ndone\r\n0\r\n\r\n";

/** Stands behind a broken message; it must never be taken for the response. */
inline std::string nextResponse()
{
    return okWith("Content-Length: 6\r\n") + "behind";
}

inline std::vector<ResponseCase> brokenStatuses()
{
    std::vector<ResponseCase> cases;
    for (const char *status :
         {"000", "000 Zero", "001 One", "099 Low", "600 High", "700 High", "999 High", "20 OK",
          "2000 OK", "-20 OK", "+20 OK", "2x0 OK", "OK", "200", " 200 OK", "200 a\x01"}) {
        std::string head = headWith(fmt::format("HTTP/1.1 {}", status), sizedField);
        cases.push_back({fmt::format("status \"{}\"", status), {head + "done" + nextResponse()}});
        head = headWith(fmt::format("HTTP/1.1 {}", status));
        cases.push_back({fmt::format("status \"{}\" without a body", status),
                         {head + nextResponse(), Ending::CloseSending}});
    }
    for (const char *line : {"HTTP/2.0 200 OK", "HTTPS/1.1 200 OK", "", " HTTP/1.1 200 OK"})
        cases.push_back(
            {fmt::format("status line \"{}\"", line), {headWith(line, sizedField) + "done"}});
    return cases;
}

inline std::vector<ResponseCase> soundStatuses()
{
    std::vector<ResponseCase> cases;
    for (const char *line :
         {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 226 IM Used",
          "HTTP/1.1 299 Any", "HTTP/1.1 302 Found", "HTTP/1.1 404 Not Found", "HTTP/1.1 499 Any",
          "HTTP/1.1 500 Failed", "HTTP/1.1 599 Any"}) {
        int status = std::stoi(std::string(line).substr(std::string_view("HTTP/1.1 ").size()));
        cases.push_back({line, {headWith(line, sizedField) + "done"}, status, "done"});
    }
    return cases;
}

inline std::vector<ResponseCase> brokenInterimResponses()
{
    std::vector<ResponseCase> cases {
        {"another protocol",
         {headWith("HTTP/1.1 101 Switching Protocols", "Upgrade: other\r\n") + nextResponse()}},
        {"no final response", {headWith("HTTP/1.1 103 Early Hints"), Ending::CloseSending}},
        {"a broken field", {headWith("HTTP/1.1 103 Early Hints", "X Y: z\r\n") + nextResponse()}}};
    std::string body = nextResponse();
    std::string lengthField = fmt::format("Content-Length: {}\r\n", body.size());
    for (const char *line : {"HTTP/1.1 100 Continue", "HTTP/1.1 103 Early Hints"}) {
        cases.push_back(
            {fmt::format("{} with a body by length", line), {headWith(line, lengthField) + body}});
        cases.push_back(
            {fmt::format("{} with a body in chunks", line), {headWith(line, chunkedField) + body}});
    }
    return cases;
}

inline std::vector<ResponseCase> soundInterimResponses()
{
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    const std::string final = okWith(sizedField) + "done";
    return {{"one", {hints + final}, 200, "done"},
            {"of length 0",
             {"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + final},
             200,
             "done"},
            {"several",
             {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + hints + hints
              + "HTTP/1.1 199 Other\r\n\r\n" + final},
             200,
             "done"}};
}

inline std::vector<ResponseCase> brokenFramings()
{
    std::vector<ResponseCase> cases;
    for (const char *field : {"Content-Length: 4\r\nContent-Length: 5",
                              "Content-Length: 4, 5",
                              "Content-Length: -4",
                              "Content-Length: +4",
                              "Content-Length: 4x",
                              "Content-Length: 0x4",
                              "Content-Length:",
                              "Content-Length: 99999999999999999999",
                              "Content-Length: 4\r\nTransfer-Encoding: chunked",
                              "Transfer-Encoding: chunked\r\nContent-Length: 4",
                              "Transfer-Encoding: gzip",
                              "Transfer-Encoding: gzip\r\nContent-Length: 4",
                              "Transfer-Encoding: identity",
                              "Transfer-Encoding: gzip, chunked",
                              "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
                              "Transfer-Encoding: chunked, gzip",
                              "Transfer-Encoding: chunked, chunked",
                              "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                              "Transfer-Encoding: chunked;q=1",
                              "Transfer-Encoding:"})
        cases.push_back(
            {fmt::format("framing by \"{}\"", field),
             {okWith(fmt::format("{}\r\n", field)).append(doneInChunks), Ending::CloseSending}});
    for (const char *body :
         {"x\r\ndone\r\n0\r\n\r\n", "-4\r\ndone\r\n0\r\n\r\n", "4\r\ndoneX\r\n0\r\n\r\n",
          "4\ndone\r\n0\r\n\r\n", "fffffffffffffffff\r\ndone\r\n0\r\n\r\n",
          "4 4\r\ndone\r\n0\r\n\r\n", "4\r\ndone\r\n0\r\nX Y: z\r\n\r\n",
          "4\r\ndone\r\n0\r\nX: \x01\r\n\r\n"})
        cases.push_back({fmt::format("chunks \"{}\"", body), {okWith(chunkedField) + body}});
    for (const char *line : {"HTTP/1.0 200 OK", "HTTP/1.1 204 No Content"})
        cases.push_back({fmt::format("chunks of {}", line),
                         {headWith(line, chunkedField).append(doneInChunks)}});
    cases.push_back(
        {"204 with a length", {headWith("HTTP/1.1 204 No Content", sizedField) + "done"}});
    return cases;
}

inline std::vector<ResponseCase> soundFramings()
{
    std::vector<ResponseCase> cases;
    for (const char *field : {"Content-Length: 4", "Content-Length: 4\r\nContent-Length: 4"})
        cases.push_back({field, {okWith(fmt::format("{}\r\n", field)) + "done"}, 200, "done"});
    for (const char *field : {"Transfer-Encoding: chunked", "Transfer-Encoding:  Chunked "})
        cases.push_back(
            {field, {okWith(fmt::format("{}\r\n", field)).append(doneInChunks)}, 200, "done"});
    for (const char *body : {"1\r\nd\r\n3\r\none\r\n0\r\n\r\n", "4;a=b\r\ndone\r\n0\r\n\r\n",
                             "4\r\ndone\r\n0\r\nX-Sum: 1\r\n\r\n"})
        cases.push_back({body, {okWith(chunkedField) + body}, 200, "done"});
    for (const char *field : {"Content-Length: 0\r\n", ""})
        cases.push_back({fmt::format("204 with \"{}\"", field),
                         {headWith("HTTP/1.1 204 No Content", field)},
                         204});
    cases.push_back({"no body", {okWith("Content-Length: 0\r\n")}, 200});
    cases.push_back({"304 with the length of the body that it does not have",
                     {headWith("HTTP/1.1 304 Not Modified", sizedField)},
                     304});
    return cases;
}

inline std::vector<ResponseCase> brokenFields()
{
    std::vector<ResponseCase> cases;
    for (std::string_view field :
         {"X Y: z", "X : z", " X: z", "\tX: z", " folded", "X\tY: z", "X\x01Y: z", "X\x7fY: z",
          "X\x80Y: z", ": z", "no colon", "X(Y): z", "X: a\x01z", "X: a\x7fz", "X: a\nz", "X: a\rz",
          "X: a\r\n folded", "X: a\r\n\tb\x01"}) {
        std::string line = fmt::format("{}\r\n", field);
        std::string what = fmt::format("field \"{}\"", field);
        cases.push_back({what, {okWith(line + std::string(sizedField)) + "done"}});
        cases.push_back(
            {what + " before the others",
             {fmt::format("HTTP/1.1 200 OK\r\n{}{}{}\r\ndone", line, ownFields, sizedField)}});
    }
    for (std::string_view field :
         {std::string_view("X\0Y: z\r\n", 8), std::string_view("X: a\0z\r\n", 8)})
        cases.push_back({"a zero byte", {okWith(std::string(field).append(sizedField)) + "done"}});
    return cases;
}

inline std::vector<ResponseCase> soundFields()
{
    std::vector<ResponseCase> cases;
    for (const char *field : {"X:", "X:z", "X: a b\tc", "X: \x80\xff", "!#$%&'*+-.^_`|~09aZ: z"})
        cases.push_back({fmt::format("field \"{}\"", field),
                         {okWith(fmt::format("{}\r\n{}", field, sizedField)) + "done"},
                         200,
                         "done"});
    return cases;
}

inline std::vector<ResponseCase> brokenEnds()
{
    std::vector<ResponseCase> cases;
    for (Ending ending : {Ending::CloseSending, Ending::Reset}) {
        for (const std::string &bytes :
             {std::string(), std::string("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n"),
              okWith(sizedField) + "do", okWith(chunkedField) + "4\r\ndo",
              okWith(chunkedField) + "4\r\ndone\r\n0\r\n"})
            cases.push_back({fmt::format("\"{}\" and end {}", bytes, static_cast<int>(ending)),
                             {bytes, ending}});
    }
    cases.push_back({"no length and a reset", {okWith("") + "do", Ending::Reset}});
    return cases;
}

inline std::vector<ResponseCase> soundEnds()
{
    std::vector<ResponseCase> cases;
    cases.push_back({"length", {okWith(sizedField) + "done"}, 200, "done"});
    // Without the field, the next request may be lost on a connection that is about to be closed.
    std::string closing = okWith(fmt::format("Connection: close\r\n{}", sizedField)) + "done";
    for (Ending ending : {Ending::Close, Ending::CloseSending})
        cases.push_back({"length and a close", {closing, ending}, 200, "done"});
    for (const char *line : {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK"}) {
        for (Ending ending : {Ending::Close, Ending::CloseSending})
            cases.push_back({fmt::format("no length of {}", line),
                             {headWith(line) + "done", ending},
                             200,
                             "done",
                             true});
    }
    return cases;
}

/** Final responses that arrive while the body of the request is still being sent. */
inline std::vector<ResponseCase> brokenResponsesDuringUpload()
{
    const std::string unframed = okWith("") + "a part of the body";
    return {{"no length and a reset", {unframed, Ending::Reset}},
            {"no length and a close with unread bytes", {unframed, Ending::CloseUnread}},
            {"no length, no body and a reset", {okWith(""), Ending::Reset}},
            {"no length and a reset behind an interim response",
             {"HTTP/1.1 100 Continue\r\n\r\n" + unframed, Ending::Reset}},
            {"failure without a length and a reset",
             {headWith("HTTP/1.1 500 Failed") + "a part", Ending::Reset}},
            {"length and a reset",
             {okWith("Content-Length: 40\r\n") + "a part of the body", Ending::Reset}},
            {"chunks and a reset",
             {okWith("Transfer-Encoding: chunked\r\n") + "4\r\ndone\r\n", Ending::Reset}},
            {"status 000", {headWith("HTTP/1.1 000 Zero", "Content-Length: 4\r\n") + "done"}}};
}

inline std::vector<ResponseCase> soundResponsesDuringUpload()
{
    const std::string sized = okWith("Content-Length: 4\r\n") + "done";
    const std::string chunked = okWith("Transfer-Encoding: chunked\r\n") + "4\r\ndone\r\n0\r\n\r\n";
    const std::string unframed = okWith("") + "done";
    std::vector<ResponseCase> cases;
    for (Ending ending : {Ending::KeepOpen, Ending::Close, Ending::CloseSending, Ending::Reset,
                          Ending::CloseUnread}) {
        cases.push_back({"length", {sized, ending}, 200, "done"});
        cases.push_back({"chunks", {chunked, ending}, 200, "done"});
    }
    cases.push_back(
        {"no length and the end of sending", {unframed, Ending::CloseSending}, 200, "done", true});
    cases.push_back({"no length and a close behind the whole request",
                     {unframed, Ending::Close, true},
                     200,
                     "done",
                     true});
    cases.push_back({"interim response, no length and the end of sending",
                     {"HTTP/1.1 100 Continue\r\n\r\n" + unframed, Ending::CloseSending},
                     200,
                     "done",
                     true});
    return cases;
}

/** Responses that state by their head that the request was not run, whatever becomes of the body.
 */
inline std::vector<ResponseCase> notRunDuringUpload()
{
    const std::string refusal = headWith("HTTP/1.1 503 Full", "Not-Executed: 1\r\n");
    const std::string sized =
        headWith("HTTP/1.1 503 Full", "Not-Executed: 1\r\nContent-Length: 4\r\n") + "full";
    std::vector<ResponseCase> cases;
    for (Ending ending :
         {Ending::KeepOpen, Ending::CloseSending, Ending::Reset, Ending::CloseUnread})
        cases.push_back({"not run, with a length", {sized, ending}, 503, "full"});
    for (Ending ending : {Ending::CloseSending, Ending::Reset, Ending::CloseUnread})
        cases.push_back({"not run, without a length", {refusal, ending}, 503, "", true});
    return cases;
}

} // namespace ibiswell::test
