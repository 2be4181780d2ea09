// Bytes that servers in trouble send in place of an answer: heads that look like one at first.
#pragma once

#include <string>
#include <vector>

namespace burdock {

struct OddAnswer
{
    std::string name; // for messages of failed checks
    std::string text;
};

/// @param headers lines of a sound answer's head, each with its line end
/// @return answers with these lines that are none; a connection is closed after each
inline std::vector<OddAnswer> oddAnswers(const std::string &headers)
{
    const std::string end = "\r\n";
    const std::string ok = "HTTP/1.1 200 OK" + end;
    const std::string length = "Content-Length: 5" + end;
    const std::string chunks = "5" + end + "hello" + end + "0" + end + end;
    std::vector<OddAnswer> answers;
    const auto add = [&](const std::string &name, const std::string &text) {
        answers.push_back({ name, text });
    };
    for (const char *status : { "000", "001", "099", "101", "600", "999" })
        add(std::string("status ") + status,
            std::string("HTTP/1.1 ") + status + " X" + end + headers + length + end + "hello");
    add("an interim answer alone", "HTTP/1.1 102 X" + end + headers + end);
    add("an interim answer with a body", "HTTP/1.1 102 X" + end + headers + length + end + "hello");
    for (const char *coding :
         { "xchunked", "gzip, chunked", "chunked, chunked", "identity", "gzip", "chunked;q=1", "" })
        add(std::string("coding ") + coding,
            ok + headers + "Transfer-Encoding: " + coding + end + end + chunks);
    add("two codings",
        ok + headers + "Transfer-Encoding: chunked" + end + "Transfer-Encoding: gzip" + end + end
                + chunks);
    add("a coding and a length",
        ok + headers + "Transfer-Encoding: chunked" + end + length + end + chunks);
    add("a length and a coding",
        ok + headers + length + "Transfer-Encoding: xchunked" + end + end + "hello");
    add("chunks in version 1.0",
        "HTTP/1.0 200 OK" + end + headers + "Transfer-Encoding: chunked" + end + end + chunks);
    for (const char *value : { "+5", "-5", "5, 5", "5 5", "0x5", "5a", "99999999999999999999", "" })
        add(std::string("length ") + value,
            ok + headers + "Content-Length: " + value + end + end + "hello");
    add("two lengths", ok + headers + length + "Content-Length: 4" + end + end + "hello");
    for (const char *version :
         { "HTTP/2.0", "HTTP/0.9", "HTTP/1.2", "HTTP/11", "http/1.1", "HTTP" })
        add(std::string("version ") + version,
            std::string(version) + " 200 OK" + end + headers + length + end + "hello");
    const std::string names[] = { "X Y: a",
                                  "X\tY: a",
                                  "X\x01Y: a",
                                  "X\x7fY: a",
                                  "X\x80Y: a",
                                  "X : a",
                                  "X\t: a",
                                  ": a",
                                  "X",
                                  "X(Y): a",
                                  "X: a\x01"
                                  "b",
                                  "X: a\x7f",
                                  "X: a\rb",
                                  "X@Y: a",
                                  "\"X\": a" };
    for (const std::string &line : names)
        add("line " + line, ok + headers + line + end + length + end + "hello");
    add("a zero byte in a name",
        ok + headers + "X" + std::string(1, '\0') + "Y: a" + end + length + end + "hello");
    add("a zero byte in a value",
        ok + headers + "X: a" + std::string(1, '\0') + end + length + end + "hello");
    add("a blank before the first line", " " + ok + headers + length + end + "hello");
    return answers;
}

} // namespace burdock
